#include "daemon/parts.hpp"

#include <algorithm>
#include <sstream>

namespace docklift {

using snowknot::error_code;
using snowknot::shown;
using snowknot::Tcp;

// ---- Listeners ------------------------------------------------------------------------------------------

void ListenPart::prepare(const Config& next, Done done) {
  std::vector<Tcp::endpoint> wanted{main_};
  for (const auto& at : next.list("listen.extra"))
    if (const auto e = snowknot::endpoint_of(at)) wanted.push_back(*e);
  added_.clear(), dropped_.clear();
  for (const auto& l : front_.listeners())
    if (std::ranges::find(wanted, l->at) == wanted.end()) dropped_.push_back(l);
  for (const auto& at : wanted) {
    if (std::ranges::any_of(front_.listeners(), [&](const auto& l) { return l->at == at; })) continue;
    try {
      added_.push_back(front_.bind(at));
    } catch (const boost::system::system_error& x) {
      return done("listen.extra: " + shown(at) + ": " + x.code().message());
    }
  }
  done({});
}

void ListenPart::commit() noexcept {
  for (const auto& l : added_) front_.serve(l);
  for (const auto& l : dropped_) front_.end(l);
  added_.clear(), dropped_.clear();
}

void ListenPart::revert() noexcept { added_.clear(), dropped_.clear(); }

// ---- The platform's file --------------------------------------------------------------------------------

struct PlatformPart::Check {
  std::vector<std::unique_ptr<snowknot::Socket>> sockets;
  std::size_t left = 0;
  Done done;
};

void PlatformPart::prepare(const Config& config, Done done) {
  if (!next_) return done({});
  std::vector<std::pair<const char*, Tcp::endpoint>> moved;
  if (next_->discovery != discovery_) moved.emplace_back("discovery", next_->discovery);
  if (next_->counter && next_->counter != counter_) moved.emplace_back("counter", *next_->counter);
  if (moved.empty() || !config.boolean("daemon.check_upstreams")) return done({});
  check_ = std::make_shared<Check>();
  check_->left = moved.size();
  check_->done = std::move(done);
  for (const auto& [name, at] : moved) {
    auto& socket = *check_->sockets.emplace_back(std::make_unique<snowknot::Socket>(io_.get_executor()));
    socket.async_connect(at, [check = check_, what = std::string(name), to = at](const error_code& failed) {
      if (!check->done) return;  // given up, or refused already
      if (failed) return std::exchange(check->done, nullptr)(what + " " + shown(to) + ": " + failed.message());
      if (--check->left == 0) std::exchange(check->done, nullptr)({});
    });
  }
}

void PlatformPart::commit() noexcept {
  if (const auto check = std::exchange(check_, nullptr)) check->done = nullptr, check->sockets.clear();
  if (!next_) return;
  discovery_ = next_->discovery;
  counter_ = next_->counter;
  node_.move_to(*next_);
  next_.reset();
}

void PlatformPart::revert() noexcept {
  if (const auto check = std::exchange(check_, nullptr)) check->done = nullptr, check->sockets.clear();
  next_.reset();
}

}  // namespace docklift
