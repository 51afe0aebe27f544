#include "replica/beliefs.hpp"

#include <algorithm>
#include <cmath>

namespace docklift::replica {
namespace {

std::string key_of(std::uint32_t id) { return number_key(id); }

std::uint8_t tenths_of(double fraction) { return static_cast<std::uint8_t>(std::lround(std::clamp(fraction, 0.0, 1.0) * 10)); }

constexpr std::uint8_t kHealthy = 10;

}  // namespace

double Beliefs::decay_factor(const Observations& s, Instant now) const {
  const auto elapsed = std::max(Instant{}, now - s.at);
  return std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(limits_.decay.count()));
}

double Beliefs::success(const Observations& s, Instant now) const {
  const double decay = decay_factor(s, now);
  return (s.good * decay + limits_.prior) / (s.all * decay + limits_.prior);
}

void Beliefs::record_attempt(Instant now, Server server, bool good) {
  auto it = observed_.find(server.id);
  if (it == observed_.end()) {
    if (observed_.size() >= limits_.max_servers) return;
    it = observed_.emplace(server.id, Observations{.start = server.start, .at = now}).first;
  }
  auto& s = it->second;
  if (s.start != server.start) {  // the server was restarted
    publish(now, server.id, s, ServerHealth::kWithdrawn);
    s = {.start = server.start, .at = now};
  }
  const double decay = decay_factor(s, now);
  s.good = s.good * decay + (good ? 1 : 0), s.all = s.all * decay + 1, s.at = std::max(s.at, now);
}

// Whether another node reports this server as failing.
bool Beliefs::disputed(std::uint32_t id, std::uint64_t start) const {
  bool found = false;
  records_.each(Kind::server_health, key_of(id), [&](const Origin& o, const Record& r) {
    if (o == records_.self()) return;
    const auto s = parse_server_health(r.value);
    found = found || (s && s->start == start && s->tenths < kHealthy);
  });
  return found;
}

bool Beliefs::publish(Instant now, std::uint32_t id, Observations& s, std::uint8_t tenths) {
  if (s.reported == tenths) return false;
  s.reported = tenths;
  const bool withdrawn = tenths == ServerHealth::kWithdrawn;
  records_.put(Kind::server_health, key_of(id), to_text(ServerHealth{s.start, tenths}), withdrawn ? now + limits_.keep_withdrawn : Instant{});
  ++(withdrawn ? figures_.taken_back : tenths == kHealthy ? figures_.contradicted : figures_.said);
  return true;
}

bool Beliefs::write(Instant now) {
  bool fresh = false;
  std::vector<double> all;
  for (const auto& [id, s] : observed_)
    if (s.all * decay_factor(s, now) >= limits_.min_weight) all.push_back(success(s, now));
  double median = 1;  // the median success of the observed servers
  if (!all.empty()) {
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    median = *middle;
  }
  for (auto it = observed_.begin(); it != observed_.end();) {
    auto& [id, s] = *it;
    if (now - s.at > limits_.hold) {
      fresh = publish(now, id, s, ServerHealth::kWithdrawn) || fresh;
      it = observed_.erase(it);
      continue;
    }
    if (s.reported == ServerHealth::kWithdrawn && s.all * decay_factor(s, now) < limits_.min_weight) {
      ++it;
      continue;
    }
    // If all servers fail alike, the cause is not a server: each is compared with the median.
    const double fraction = std::min(1.0, success(s, now) / median);
    const auto tenths = tenths_of(fraction);
    const bool complains = s.reported < kHealthy;
    if (fraction < limits_.report_below) {
      // Changes of a single tenth are not published.
      if (!complains || std::abs(int{tenths} - int{s.reported}) >= 2)
        fresh = publish(now, id, s, tenths) || fresh;
    } else if (disputed(id, s.start)) {
      fresh = publish(now, id, s, kHealthy) || fresh;
    } else if (complains) {
      fresh = publish(now, id, s, ServerHealth::kWithdrawn) || fresh;
    }
    ++it;
  }
  return fresh;
}

std::vector<Beliefs::Report> Beliefs::aggregate(const std::vector<Server>& servers, const std::vector<Origin>& alive) const {
  std::vector<Report> result;
  for (const auto& server : servers) {
    std::vector<std::uint8_t> reports;
    records_.each(Kind::server_health, key_of(server.id), [&](const Origin& o, const Record& r) {
      const auto s = parse_server_health(r.value);
      if (!s || s->start != server.start || s->tenths == ServerHealth::kWithdrawn) return;
      if (std::ranges::find(alive, o) == alive.end() && !injected(TestFault::dead_believed)) return;
      reports.push_back(s->tenths);
    });
    if (reports.size() < 2 && !(injected(TestFault::one_voice_believed) && reports.size() == 1)) continue;
    std::ranges::sort(reports, std::greater<>());
    const auto middle =
        injected(TestFault::one_voice_believed) ? reports.back() : reports[(reports.size() - 1) / 2];
    if (middle < kHealthy) result.push_back({server.id, middle / 10.0});
  }
  std::ranges::stable_sort(result, {}, &Report::success);
  if (result.size() > servers.size() / 2) result.resize(servers.size() / 2);
  return result;
}

Beliefs::Figures Beliefs::figures() const {
  auto f = figures_;
  f.met = observed_.size();
  f.complaints = static_cast<std::size_t>(std::ranges::count_if(observed_, [](const auto& e) { return e.second.reported < kHealthy; }));
  return f;
}

}  // namespace docklift::replica
