#include "replica/words.hpp"

#include <algorithm>

namespace docklift::replica {
namespace {

constexpr Instant kKeepRemoved = std::chrono::hours(24);  // a list that is older than this is not used

std::string key_of(std::uint32_t id) { return number_key(id); }

}  // namespace

std::optional<ServerStatus> ServerPhases::newest(std::uint32_t id) const {
  std::optional<ServerStatus> best;
  records_.each(Kind::server_status, key_of(id), [&](const Origin&, const Record& r) {
    const auto w = parse_server_status(r.value);
    if (!w) return;
    if (!best || *w > *best) best = w;
  });
  return best;
}

// This node's list counts as a status of each server, at the list's revision.
bool ServerPhases::drained_by_others(std::uint32_t id) const {
  const auto it = list_.find(id);
  if (it == list_.end() || it->second.phase != ServerPhase::ready) return false;
  const auto best = newest(id);
  if (!best || best->phase == ServerPhase::ready) return false;
  return *best > ServerStatus{it->second.start, revision_, ServerPhase::ready};
}

bool ServerPhases::publish(Instant now, std::uint32_t id, const ServerStatus& status, std::optional<std::uint64_t> ready_as_of) {
  const auto best = newest(id);
  if (best && best->phase != ServerPhase::ready && best->start == status.start &&
      (!ready_as_of || best->revision > *ready_as_of) && best->phase == status.phase)
    return false;  // already published
  ++figures_.published;
  records_.put(Kind::server_status, key_of(id), to_text(status), status.phase == ServerPhase::gone ? now + kKeepRemoved : Instant{});
  return true;
}

std::vector<ServerPhases::Override> ServerPhases::listed(Instant now, bool whole, std::uint64_t revision, const std::vector<Entry>& entries, bool& fresh) {
  std::vector<Override> overrides;
  fresh = false;
  const auto before = revision_;
  revision_ = revision;  // may be lower: an older list has no information on later changes
  if (whole) {
    for (auto& [id, e] : list_) {
      if (std::ranges::any_of(entries, [&, i = id](const Entry& n) { return n.id == i; })) continue;
      fresh = publish(now, id, {e.start, revision, ServerPhase::gone}, before) || fresh;
    }
  }
  std::map<std::uint32_t, Entry> former;
  if (whole) former.swap(list_);
  else former = list_;
  for (const auto& e : entries) {
    const auto was = former.find(e.id);
    std::optional<std::uint64_t> ready_as_of;
    if (was != former.end() && was->second.phase == ServerPhase::ready && was->second.start == e.start) ready_as_of = before;
    if (e.phase != ServerPhase::ready) fresh = publish(now, e.id, {e.start, revision, e.phase}, ready_as_of) || fresh;
    if (e.phase == ServerPhase::gone) {
      list_.erase(e.id);
      held_.erase(e.id);
    } else {
      list_[e.id] = e;
    }
  }
  // Applies others' records on servers that this list shows as ready, and drops overrides that this list
  // supersedes.
  for (const auto& [id, e] : list_) {
    const bool named = std::ranges::any_of(entries, [&, i = id](const Entry& n) { return n.id == i; });
    if (drained_by_others(id) && !injected(TestFault::drain_undone)) {
      const bool is_new = held_.insert(id).second;
      if (is_new || named) overrides.push_back({id, true});
    } else if (held_.erase(id) > 0) {
      ++figures_.undone;
      if (!named) overrides.push_back({id, false});
    }
  }
  std::erase_if(held_, [&](std::uint32_t id) { return !list_.contains(id); });
  return overrides;
}

std::vector<ServerPhases::Override> ServerPhases::record_received(const std::string& key) {
  const auto id = static_cast<std::uint32_t>(number_of_key(key));
  if (drained_by_others(id)) {
    if (!held_.insert(id).second) return {};
    ++figures_.learnt;
    return {{id, true}};
  }
  return {};
}

ServerPhases::Figures ServerPhases::figures() const {
  auto f = figures_;
  f.held = held_.size();
  return f;
}

}  // namespace docklift::replica
