#include "system/fleet/change_log.hpp"

namespace docklift::fleet {
namespace {
constexpr std::size_t kLast = 64;  // changes kept for followers that are behind a little
}

void ChangeLog::reread() {
  if (state_.document.is_null()) return;
  auto read = configuration::read(state_.document);
  if (!failed(read)) configuration_ = std::move(value(read));
}

ChangeLog::News ChangeLog::take(wire::Snapshot::Reader snapshot) {
  readmitted_.clear();
  if (snapshot.getPosition() <= state_.position) return News::none;
  auto next = get(snapshot);
  for (const auto& zone : state_.evacuated)
    if (!std::ranges::binary_search(next.evacuated, zone)) readmitted_.push_back(zone);
  state_ = std::move(next);
  last_.clear();
  reread();
  return News::taken;
}

ChangeLog::News ChangeLog::take(capnp::List<wire::Entry>::Reader entries) {
  readmitted_.clear();
  bool taken = false, document = false;
  for (const auto r : entries) {
    if (r.getPosition() <= state_.position) continue;
    if (r.getPosition() != state_.position + 1) return News::gap;
    auto e = get(r);
    const bool effect = apply(state_, e);
    document = document || (effect && (e.change == wire::Change::REPLACE || e.change == wire::Change::PATCH));
    if (effect && e.change == wire::Change::READMIT) readmitted_.push_back(e.text);
    taken = true;
    last_.push_back(std::move(e));
    if (last_.size() > kLast) last_.pop_front();
  }
  if (document) reread();
  return taken ? News::taken : News::none;
}

bool ChangeLog::frame_after(std::uint64_t place, Outgoing& out) const {
  if (place >= state_.position) return false;
  if (place == 0 || last_.empty() || last_.front().position > place + 1) {
    put(out.frame().initSnapshot(), state_);
    return true;
  }
  const auto n = static_cast<unsigned>(state_.position - place);
  auto list = out.frame().initEntries(n);
  for (unsigned i = 0; i < n; ++i) put(list[i], last_[last_.size() - n + i]);
  return true;
}

}  // namespace docklift::fleet
