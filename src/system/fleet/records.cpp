#include "system/fleet/records.hpp"

#include <algorithm>

#include "system/base/hash.hpp"

namespace docklift::fleet {
namespace {

// Remaining times of one record differ by network delays alone.
constexpr Duration kColdTolerance = std::chrono::milliseconds(250);

bool cold_differs(const Server& a, const Server& b, Time now) {
  const bool a_is_cold = a.cold_until > now;
  const bool b_is_cold = b.cold_until > now;
  if (a_is_cold != b_is_cold) return true;
  return a_is_cold &&
         std::max(a.cold_until, b.cold_until) - std::min(a.cold_until, b.cold_until) > kColdTolerance;
}

}  // namespace

MergeResult Servers::merge(const Server& s) {
  const auto [it, fresh] = all_.try_emplace(s.id, s);
  auto& known = it->second;
  if (fresh) {
    known.left = s.phase == Phase::GONE;  // silent servers are not exchanged
    return MergeResult::changed;
  }
  if (known.phase == Phase::GONE || s.from_cache) return MergeResult::unchanged;
  if (s.phase == Phase::GONE) {  // a leave carries only the id
    known.phase = Phase::GONE, known.left = true, known.received_at = s.received_at,
    known.heartbeat_sequence = std::max(known.heartbeat_sequence, s.heartbeat_sequence);
    known.from_cache = false;
    return MergeResult::changed;
  }
  const bool same_heartbeat = s.heartbeat_sequence == known.heartbeat_sequence;
  const bool newer = s.heartbeat_sequence > known.heartbeat_sequence ||
                     (same_heartbeat && s.phase > known.phase);
  const bool confirms_cache = known.from_cache && same_heartbeat && s.phase == known.phase;
  if (newer || confirms_cache) return replace(known, s);
  if (s.phase > known.phase) {  // an older heartbeat, but a phase is never reverted
    known.phase = s.phase, known.from_cache = false;
    return MergeResult::changed;
  }
  if (!same_heartbeat || s.received_at <= known.received_at) return MergeResult::unchanged;
  known.received_at = s.received_at;
  return MergeResult::refreshed;
}

// Phases only advance: a server that drains never becomes ready again.
MergeResult Servers::replace(Server& known, const Server& newer) {
  const auto phase = std::max(known.phase, newer.phase);
  const bool changed = known.phase != phase || known.address != newer.address ||
                       known.service != newer.service || known.cap != newer.cap ||
                       cold_differs(known, newer, newer.received_at);
  known = newer;
  known.phase = phase;
  return changed ? MergeResult::changed : MergeResult::refreshed;
}

const Server* Servers::find(const std::string& id) const {
  const auto it = all_.find(id);
  return it == all_.end() ? nullptr : &it->second;
}

std::vector<Server> Servers::expire(Time now, Duration timeout, Duration retention) {
  std::vector<Server> expired;
  for (auto it = all_.begin(); it != all_.end();) {
    auto& s = it->second;
    if (s.phase == Phase::GONE) {
      it = now - s.received_at > retention ? all_.erase(it) : std::next(it);
      continue;
    }
    if (timeout > Duration{} && now - s.received_at > timeout) {
      expired.push_back(s);
      if (s.phase == Phase::DRAINING) {
        s.phase = Phase::GONE, s.left = true, s.received_at = now;
        expired.back().left = true;
        ++it;
      } else {
        it = all_.erase(it);  // no tombstone: the server returns with its next heartbeat
      }
      continue;
    }
    ++it;
  }
  return expired;
}

std::size_t Servers::range_of(const std::string& id, std::size_t ranges) { return hash_of(id) % ranges; }

std::vector<std::uint64_t> Servers::digests(std::size_t ranges) const {
  std::vector<std::uint64_t> result(ranges);
  for (const auto& [id, s] : all_) {
    if (s.from_cache) continue;
    result[range_of(id, ranges)] ^= mix(hash_of(id) ^ hash_of(s.address, 7) ^
                                        static_cast<std::uint64_t>(s.phase));
  }
  return result;
}

MergeResult Nodes::merge(const Node& n) {
  if (const auto ended = ended_.find(n.id);
      ended != ended_.end() && !all_.contains(n.id) && n.incarnation < ended->second)
    return MergeResult::unchanged;
  const auto [it, fresh] = all_.try_emplace(n.id, n);
  if (fresh) return MergeResult::changed;
  auto& known = it->second;
  if (n.incarnation < known.incarnation || (n.incarnation == known.incarnation && n.stamp <= known.stamp))
    return MergeResult::unchanged;
  const bool changed = n.incarnation != known.incarnation || n.ready != known.ready ||
                       n.leaving != known.leaving || n.address != known.address;
  known = n;
  return changed ? MergeResult::changed : MergeResult::refreshed;
}

std::vector<Node> Nodes::expire(Time now, Duration lease) {
  std::vector<Node> result;
  for (auto it = all_.begin(); it != all_.end();) {
    if (now - it->second.received_at <= lease) {
      ++it;
      continue;
    }
    ended_[it->first] = it->second.incarnation;
    result.push_back(it->second);
    it = all_.erase(it);
  }
  if (ended_.size() > 4096) ended_.clear();
  return result;
}

void put(wire::Server::Builder to, const Server& s, Time now) {
  to.setId(s.id), to.setService(s.service), to.setAddress(s.address), to.setZone(s.zone);
  to.setCap(s.cap), to.setPhase(s.phase), to.setCalls(s.heartbeat_sequence);
  to.setColdMs(s.cold_until > now ? millis(s.cold_until - now) : 0);
  to.setAgeMs(millis(now - s.received_at));
  to.setLeft(s.left);
}

Server get(wire::Server::Reader r, Time now) {
  Server s;
  s.id = r.getId().cStr(), s.service = r.getService().cStr(), s.address = r.getAddress().cStr();
  s.zone = r.getZone().cStr(), s.cap = r.getCap(), s.phase = r.getPhase(),
  s.heartbeat_sequence = r.getCalls();
  s.received_at = now - from_millis(r.getAgeMs());
  s.left = r.getLeft();
  s.cold_until = r.getColdMs() > 0 ? now + from_millis(r.getColdMs()) : Time{};
  return s;
}

void put(wire::Node::Builder to, const Node& n, Time now) {
  to.setId(n.id), to.setLife(n.incarnation), to.setStamp(n.stamp), to.setRole(n.role), to.setZone(n.zone);
  to.setAddress(n.address), to.setReady(n.ready), to.setLeaving(n.leaving),
      to.setAgeMs(millis(now - n.received_at)), to.setTerm(n.term);
}

Node get(wire::Node::Reader r, Time now) {
  Node n;
  n.id = r.getId().cStr(), n.incarnation = r.getLife(), n.stamp = r.getStamp(), n.role = r.getRole();
  n.zone = r.getZone().cStr(), n.address = r.getAddress().cStr();
  n.ready = r.getReady(), n.leaving = r.getLeaving(), n.received_at = now - from_millis(r.getAgeMs());
  n.term = r.getTerm();
  return n;
}

}  // namespace docklift::fleet
