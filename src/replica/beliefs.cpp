#include "replica/beliefs.hpp"

#include <algorithm>
#include <cmath>

namespace docklift::replica {
namespace {

std::string key_of(std::uint32_t id) { return number_key(id); }

std::uint8_t tenths_of(double part) { return static_cast<std::uint8_t>(std::lround(std::clamp(part, 0.0, 1.0) * 10)); }

constexpr std::uint8_t kWell = 10;

}  // namespace

double Beliefs::faded(const Sightings& s, Instant now) const {
  const auto gone = std::max(Instant{}, now - s.at);
  return std::exp(-static_cast<double>(gone.count()) / static_cast<double>(limits_.memory.count()));
}

double Beliefs::success(const Sightings& s, Instant now) const {
  const double part = faded(s, now);
  return (s.good * part + limits_.prior) / (s.all * part + limits_.prior);
}

void Beliefs::seen(Instant now, Server server, bool good) {
  auto it = met_.find(server.id);
  if (it == met_.end()) {
    if (met_.size() >= limits_.most_servers) return;
    it = met_.emplace(server.id, Sightings{.start = server.start, .at = now}).first;
  }
  auto& s = it->second;
  if (s.start != server.start) {  // another process
    say(now, server.id, s, Sight::kNothing);
    s = {.start = server.start, .at = now};
  }
  const double part = faded(s, now);
  s.good = s.good * part + (good ? 1 : 0), s.all = s.all * part + 1, s.at = std::max(s.at, now);
}

// Whether somebody else speaks ill of it.
bool Beliefs::disputed(std::uint32_t id, std::uint64_t start) const {
  bool so = false;
  records_.each(Kind::seen, key_of(id), [&](const Origin& o, const Record& r) {
    if (o == records_.self()) return;
    const auto s = sight_of(r.value);
    so = so || (s && s->start == start && s->tenths < kWell);
  });
  return so;
}

bool Beliefs::say(Instant now, std::uint32_t id, Sightings& s, std::uint8_t tenths) {
  if (s.said == tenths) return false;
  s.said = tenths;
  const bool back = tenths == Sight::kNothing;
  records_.put(Kind::seen, key_of(id), to_text(Sight{s.start, tenths}), back ? now + limits_.kept : Instant{});
  ++(back ? figures_.taken_back : tenths == kWell ? figures_.contradicted : figures_.said);
  return true;
}

bool Beliefs::write(Instant now) {
  bool fresh = false;
  std::vector<double> all;
  for (const auto& [id, s] : met_)
    if (s.all * faded(s, now) >= limits_.least) all.push_back(success(s, now));
  double usual = 1;  // of the servers met, the middle one
  if (!all.empty()) {
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    usual = *middle;
  }
  for (auto it = met_.begin(); it != met_.end();) {
    auto& [id, s] = *it;
    if (now - s.at > limits_.stand) {
      fresh = say(now, id, s, Sight::kNothing) || fresh;
      it = met_.erase(it);
      continue;
    }
    if (s.said == Sight::kNothing && s.all * faded(s, now) < limits_.least) {
      ++it;
      continue;
    }
    // Where all are bad alike it is not the servers: what counts is what is worse than usual here.
    const double part = std::min(1.0, success(s, now) / usual);
    const auto tenths = tenths_of(part);
    const bool complains = s.said < kWell;
    if (part < limits_.ill) {
      // Not for each tenth up and down.
      if (!complains || std::abs(int{tenths} - int{s.said}) >= 2) fresh = say(now, id, s, tenths) || fresh;
    } else if (disputed(id, s.start)) {
      fresh = say(now, id, s, kWell) || fresh;
    } else if (complains) {
      fresh = say(now, id, s, Sight::kNothing) || fresh;
    }
    ++it;
  }
  return fresh;
}

std::vector<Beliefs::Told> Beliefs::believed(const std::vector<Server>& servers, const std::vector<Origin>& alive) const {
  std::vector<Told> told;
  for (const auto& server : servers) {
    std::vector<std::uint8_t> words;
    records_.each(Kind::seen, key_of(server.id), [&](const Origin& o, const Record& r) {
      const auto s = sight_of(r.value);
      if (!s || s->start != server.start || s->tenths == Sight::kNothing) return;
      if (std::ranges::find(alive, o) == alive.end() && !injected(TestFault::dead_believed)) return;
      words.push_back(s->tenths);
    });
    if (words.size() < 2 && !(injected(TestFault::one_voice_believed) && words.size() == 1)) continue;
    std::ranges::sort(words, std::greater<>());
    const auto middle = injected(TestFault::one_voice_believed) ? words.back() : words[(words.size() - 1) / 2];
    if (middle < kWell) told.push_back({server.id, middle / 10.0});
  }
  std::ranges::stable_sort(told, {}, &Told::success);
  if (told.size() > servers.size() / 2) told.resize(servers.size() / 2);
  return told;
}

Beliefs::Figures Beliefs::figures() const {
  auto f = figures_;
  f.met = met_.size();
  f.complaints = static_cast<std::size_t>(std::ranges::count_if(met_, [](const auto& e) { return e.second.said < kWell; }));
  return f;
}

}  // namespace docklift::replica
