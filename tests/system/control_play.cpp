#include "control_play.hpp"

#include <algorithm>
#include <array>

#include "control_operator.hpp"

namespace docklift::test {

using namespace std::chrono_literals;
using configuration::ChangeKind;

namespace {

constexpr Duration kSync = 4s;             // after which a machine that is back no longer counts as lost
constexpr Duration kHealedWithin = 5s;     // from the healing to an acknowledged order
constexpr std::array kZones = {"a", "b"};  // that are evacuated
constexpr std::size_t kMostMembers = 6;
constexpr Duration kLeastBehind = 2s, kMostBehind = 6s;  // that a machine misses changes
constexpr Duration kLeastDark = 3s, kMostDark = 6s;      // that the others are without power meanwhile

constexpr std::array kAllFaults = {Fault::kill,
                                   Fault::power_loss,
                                   Fault::disk_loss,
                                   Fault::freeze,
                                   Fault::cut_off,
                                   Fault::cut_one_way,
                                   Fault::cut_pair,
                                   Fault::core_split,
                                   Fault::zone_power_loss,
                                   Fault::zone_disk_loss,
                                   Fault::kill_all,
                                   Fault::power_loss_all,
                                   Fault::disk_loss_and_power_loss,
                                   Fault::replace,
                                   Fault::replace_planned,
                                   Fault::learner,
                                   Fault::disk_stall,
                                   Fault::disk_slow,
                                   Fault::link_reset};

// Brings faults about and counts which machines are lost, as the operators' page does.
class Faults {
 public:
  Faults(ControlFleet& fleet, const PlayOptions& options, PlayResult& result)
      : fleet_(fleet), options_(options), result_(result) {
    for (MemberIndex i = 0; i < fleet.size(); ++i) back_at_[i] = fleet.now();
    if (options.faults.empty()) {
      faults_.assign(kAllFaults.begin(), kAllFaults.end());
    } else {
      faults_ = options.faults;
    }
  }

  void start() { schedule(); }
  void stop() { stopped_ = true; }

  // The next fault comes in the very moment of the next acknowledgement.
  void acknowledged() {
    note_recovery();
    if (!std::exchange(at_acknowledgement_, false)) return;
    fleet_.later(Duration::zero(), [this] {
      if (!stopped_) any_fault();
    });
  }

  // Ends everything that is under way.
  void heal() {
    fleet_.join_all();
    for (MemberIndex i = 0; i < fleet_.size(); ++i) {
      fleet_.thaw(i);
      fleet_.stall_disk(i, Duration::zero());
      fleet_.slow_disk(i, 1ms);
      if (!fleet_.is_up(i)) fleet_.start(i);
    }
  }

  bool bring_about(Fault fault);

 private:
  void schedule() {
    fleet_.later(fleet_.drawn(options_.least_pause, options_.most_pause), [this] {
      if (stopped_) return;
      if (fleet_.drawn(3) == 0) {
        at_acknowledgement_ = true;
      } else {
        any_fault();
      }
      schedule();
    });
  }

  // What strikes all at once is always allowed, and then nothing else for seconds: it comes seldom.
  void any_fault() {
    for (int tries = 0; tries < 6; ++tries) {
      const auto fault = faults_[fleet_.drawn(faults_.size())];
      const bool strikes_all = fault == Fault::kill_all || fault == Fault::power_loss_all;
      if (strikes_all && faults_.size() > 2 && fleet_.drawn(6) != 0) continue;
      if (bring_about(fault)) return;
    }
  }

  // ---- what counts as lost

  bool is_lost(MemberIndex index) const {
    const auto& member = fleet_.member(index);
    if (member.removed) return false;
    if (!fleet_.is_up(index) || member.frozen || is_lost_by_cuts(index)) return true;
    const auto back = back_at_.find(index);
    return back != back_at_.end() && fleet_.now() < back->second + kSync;
  }

  // Without a way both ways to more than half of the machines, or of the voters.
  bool is_cut_off(MemberIndex index) const {
    const auto voters = voters_now();
    return !reaches_most(index, all()) || !reaches_most(index, voters);
  }

  bool reaches_most(MemberIndex index, const std::set<MemberIndex>& members) const {
    const auto reached = std::ranges::count_if(members,
                                               [&](MemberIndex other) { return !is_pair_cut(index, other); });
    return static_cast<std::size_t>(reached) * 2 > members.size();
  }

  // As the member knows them that is furthest.
  std::set<MemberIndex> voters_now() const {
    const configuration::State* newest = nullptr;
    for (const auto index : all())
      if (fleet_.is_up(index) && (!newest || fleet_.replica(index).state().position > newest->position))
        newest = &fleet_.replica(index).state();
    std::set<MemberIndex> voters;
    for (const auto index : all())
      if (newest && std::ranges::find(newest->voters, fleet_.member(index).address,
                                      &configuration::Voter::address) != newest->voters.end())
        voters.insert(index);
    return voters;
  }

  bool is_pair_cut(MemberIndex index, MemberIndex other) const {
    return fleet_.cuts().contains({index, other}) || fleet_.cuts().contains({other, index});
  }

  // Cut from a member, while both have a way to more than half.
  bool is_partly_cut(MemberIndex index) const {
    return std::ranges::any_of(
        all(), [&](MemberIndex other) { return is_pair_cut(index, other) && !is_cut_off(other); });
  }

  bool is_lost_by_cuts(MemberIndex index) const {
    return is_cut_off(index) || (options_.partial_cuts_count && is_partly_cut(index));
  }

  // Whether these may be lost besides those that are. A machine that is gone for good and has no successor yet
  // counts as one of another zone, unless the play asks for more: a voter that never answers again can't be
  // told from one that is cut off.
  bool may_lose(const std::set<MemberIndex>& more) const {
    if (fleet_.now() < disks_kept_until_) return false;
    std::set<std::string> zones;
    std::size_t count = 0;
    for (MemberIndex i = 0; i < fleet_.size(); ++i) {
      if (!is_lost(i) && !more.contains(i)) continue;
      ++count;
      zones.insert(fleet_.member(i).zone);
    }
    for (const auto& [zone, until] : gone_) {
      if (fleet_.now() >= until) continue;
      ++count;
      zones.insert(options_.disks_beside_replacement ? zone : "gone from " + zone);
    }
    return count <= options_.tolerated || zones.size() <= 1;
  }

  bool may(const std::set<MemberIndex>& more) const { return options_.beyond_tolerance || may_lose(more); }

  void note_back(MemberIndex index) { back_at_[index] = std::max(fleet_.now(), disks_well_at_); }

  // Whoever is on the way back can get its vote only with the others' disks: a stall makes that later.
  void stall_disk(MemberIndex index) {
    const auto span = fleet_.drawn(50ms, 3s);
    fleet_.stall_disk(index, span);
    disks_well_at_ = std::max(disks_well_at_, fleet_.now() + span);
    for (auto& [member, back] : back_at_)
      if (fleet_.now() < back + kSync) back = std::max(back, disks_well_at_);
    for (auto& [zone, until] : gone_)
      if (fleet_.now() < until && until != Time::max()) until = std::max(until, disks_well_at_ + kSync);
  }

  // ---- measuring

  void note_loss(Fault fault) {
    ++result_.faults[fault];
    last_loss_ = fault;
    last_loss_at_ = fleet_.now();
  }
  void note_recovery() {
    if (!last_loss_) return;
    result_.recoveries[*last_loss_].push_back(fleet_.now() - last_loss_at_);
    last_loss_.reset();
  }

  // ---- single faults

  std::optional<MemberIndex> any_up() {
    std::vector<MemberIndex> up;
    for (MemberIndex i = 0; i < fleet_.size(); ++i)
      if (fleet_.is_up(i) && !fleet_.member(i).frozen && !fleet_.member(i).leaving) up.push_back(i);
    if (up.empty()) return std::nullopt;
    return up[fleet_.drawn(up.size())];
  }

  std::set<MemberIndex> members_of(const std::string& zone) const {
    std::set<MemberIndex> found;
    for (MemberIndex i = 0; i < fleet_.size(); ++i)
      if (!fleet_.member(i).removed && fleet_.member(i).zone == zone) found.insert(i);
    return found;
  }

  std::set<MemberIndex> all() const {
    std::set<MemberIndex> found;
    for (MemberIndex i = 0; i < fleet_.size(); ++i)
      if (!fleet_.member(i).removed) found.insert(i);
    return found;
  }

  void start_later(MemberIndex index, Duration least, Duration most) {
    fleet_.later(fleet_.drawn(least, most), [this, index] {
      if (fleet_.is_up(index)) return;
      fleet_.start(index);
      note_back(index);
    });
  }

  bool lose(MemberIndex index, Fault fault) {
    if (fault == Fault::disk_loss ? !may_lose({index}) : !may({index})) return false;
    if (fault == Fault::kill) fleet_.kill(index);
    if (fault == Fault::power_loss) fleet_.lose_power(index);
    if (fault == Fault::disk_loss) fleet_.lose_disk(index);
    start_later(index, 100ms, fleet_.drawn(3) == 0 ? Duration(8s) : Duration(1s));
    return true;
  }

  bool freeze(MemberIndex index) {
    if (!may({index})) return false;
    fleet_.freeze(index);
    fleet_.later(fleet_.drawn(50ms, 7s), [this, index] {
      if (!fleet_.member(index).frozen) return;
      note_back(index);
      fleet_.thaw(index);
    });
    return true;
  }

  void join_later(std::set<MemberIndex> members) {
    fleet_.later(fleet_.drawn(100ms, 8s), [this, members = std::move(members)] {
      std::set<MemberIndex> were_lost;
      for (const auto index : all())
        if (is_lost_by_cuts(index)) were_lost.insert(index);
      for (const auto index : members) fleet_.join(index);
      for (const auto index : were_lost) note_back(index);
    });
  }

  bool cut_off(MemberIndex index) {
    if (!may({index})) return false;
    fleet_.cut_off(index);
    join_later({index});
    return true;
  }

  bool cut_pair(MemberIndex index, bool both_ways) {
    const MemberIndex other = fleet_.drawn(fleet_.size());
    if (other == index || fleet_.member(other).removed) return false;
    if (!may({index})) return false;
    fleet_.cut(index, other);
    if (both_ways) fleet_.cut(other, index);
    join_later({index});
    return true;
  }

  // A side without more than half of the machines and of the voters.
  std::set<MemberIndex> lost_by_split(const std::set<MemberIndex>& side) const {
    const auto members = all();
    const auto voters = voters_now();
    std::set<MemberIndex> lost;
    for (const auto index : members) {
      const auto is_on_this_side = [&](MemberIndex other) {
        return side.contains(other) == side.contains(index);
      };
      const bool most_members = static_cast<std::size_t>(std::ranges::count_if(members, is_on_this_side)) *
                                    2 >
                                members.size();
      const bool most_voters = static_cast<std::size_t>(std::ranges::count_if(voters, is_on_this_side)) * 2 >
                               voters.size();
      if (!most_members || !most_voters) lost.insert(index);
    }
    return lost;
  }

  bool split(const std::string& zone) {
    const auto side = members_of(zone);
    if (!may(lost_by_split(side))) return false;
    for (const auto in : side)
      for (const auto out : all())
        if (!side.contains(out)) {
          fleet_.cut(in, out);
          fleet_.cut(out, in);
        }
    join_later(side);
    return true;
  }

  bool lose_zone(const std::string& zone, bool disks) {
    const auto side = members_of(zone);
    if (disks ? !may_lose(side) : !may(side)) return false;
    for (const auto index : side) {
      disks ? fleet_.lose_disk(index) : fleet_.lose_power(index);
      start_later(index, 100ms, 4s);
    }
    return true;
  }

  bool lose_all(bool power) {
    for (const auto index : all()) {
      power ? fleet_.lose_power(index) : fleet_.kill(index);
      start_later(index, 100ms, 1s);
    }
    return true;
  }

  bool lose_disks_and_power(const std::string& zone) {
    std::set<MemberIndex> disks;
    if (fleet_.drawn(2) == 0) {
      disks = members_of(zone);
    } else {
      const auto candidates = all();
      for (std::size_t i = 0; i < options_.tolerated; ++i)
        disks.insert(
            *std::next(candidates.begin(), static_cast<std::ptrdiff_t>(fleet_.drawn(candidates.size()))));
    }
    if (!may_lose(disks)) return false;
    for (const auto index : all()) {
      disks.contains(index) ? fleet_.lose_disk(index) : fleet_.lose_power(index);
      start_later(index, 100ms, 1s);
    }
    return true;
  }

  bool replace(MemberIndex old, bool planned) {
    if (all().size() >= kMostMembers || fleet_.member(old).leaving) return false;
    return planned ? replace_planned(old) : replace_lost(old);
  }

  bool replace_lost(MemberIndex old) {
    const auto zone = fleet_.member(old).zone;
    gone_.push_back({zone, Time::max()});
    const auto gone = gone_.size() - 1;
    if (!may_lose({})) {
      gone_.pop_back();
      return false;
    }
    fleet_.remove(old);
    const auto successor = fleet_.add(zone);
    fleet_.later(fleet_.drawn(100ms, 3s), [this, successor, gone] {
      if (!fleet_.is_up(successor)) fleet_.start(successor);
      note_back(successor);
      gone_[gone].second = back_at_[successor] + kSync;
    });
    return true;
  }

  // The new machine counts as lost for its first seconds; the old one is asked to leave after them.
  bool replace_planned(MemberIndex old) {
    if (!may_lose({old})) return false;
    const auto successor = fleet_.add(fleet_.member(old).zone);
    fleet_.start(successor);
    note_back(successor);
    fleet_.later(kSync + fleet_.drawn(1ms, 1s), [this, old, successor] {
      if (fleet_.is_up(old) && !is_lost(successor) && !stopped_) fleet_.leave(old);
    });
    return true;
  }

  bool learner(const std::string& zone) {
    if (all().size() >= kMostMembers) return false;
    const auto index = fleet_.add(zone);
    if (!may_lose({index})) {
      fleet_.remove(index);
      return false;
    }
    fleet_.start(index);
    note_back(index);
    return true;
  }

  bool any_lost_but(MemberIndex index) const {
    const auto now = fleet_.now();
    return std::ranges::any_of(all(), [&](MemberIndex i) { return i != index && is_lost(i); }) ||
           std::ranges::any_of(gone_, [&](const auto& gone) { return now < gone.second; });
  }

  bool leave_behind(MemberIndex index) {
    if (is_lost(index) || any_lost_but(index)) return false;
    fleet_.cut_off(index);
    disks_kept_until_ = fleet_.now() + kMostBehind;
    fleet_.later(fleet_.drawn(kLeastBehind, kMostBehind), [this, index] {
      if (!stopped_ && !any_lost_but(index)) lose_one_disk_and_darken_rest(index);
      fleet_.join(index);
      note_back(index);
    });
    return true;
  }

  void lose_one_disk_and_darken_rest(MemberIndex behind) {
    disks_kept_until_ = fleet_.now() + kMostDark + 2 * kSync;
    auto others = all();
    others.erase(behind);
    const auto victim = *std::next(others.begin(), static_cast<std::ptrdiff_t>(fleet_.drawn(others.size())));
    for (const auto index : others) {
      if (index == victim) {
        fleet_.lose_disk(index);
        start_later(index, 100ms, 1s);
      } else {
        fleet_.lose_power(index);
        start_later(index, kLeastDark, kMostDark);
      }
    }
  }

  ControlFleet& fleet_;
  const PlayOptions& options_;
  PlayResult& result_;
  std::vector<Fault> faults_;
  std::map<MemberIndex, Time> back_at_;
  std::vector<std::pair<std::string, Time>> gone_;  // zone; until when the replaced machine counts as lost
  Time disks_well_at_{};                            // the end of all stalls
  Time disks_kept_until_{};                         // no disk may be lost beside one that was
  bool stopped_ = false;
  bool at_acknowledgement_ = false;
  std::optional<Fault> last_loss_;
  Time last_loss_at_{};
};

bool Faults::bring_about(Fault fault) {
  const auto member = any_up();
  if (!member) return false;
  const auto zone = fleet_.member(*member).zone;
  bool done = false;
  switch (fault) {
    case Fault::kill:
    case Fault::power_loss:
    case Fault::disk_loss: done = lose(*member, fault); break;
    case Fault::freeze: done = freeze(*member); break;
    case Fault::cut_off: done = cut_off(*member); break;
    case Fault::cut_one_way: done = cut_pair(*member, false); break;
    case Fault::cut_pair: done = cut_pair(*member, true); break;
    case Fault::core_split: done = split(zone); break;
    case Fault::zone_power_loss: done = lose_zone(zone, false); break;
    case Fault::zone_disk_loss: done = lose_zone(zone, true); break;
    case Fault::kill_all: done = lose_all(false); break;
    case Fault::power_loss_all: done = lose_all(true); break;
    case Fault::disk_loss_and_power_loss: done = lose_disks_and_power(zone); break;
    case Fault::replace: done = replace(*member, false); break;
    case Fault::replace_planned: done = replace(*member, true); break;
    case Fault::learner: done = learner(zone); break;
    case Fault::disk_stall:
      stall_disk(*member);
      done = true;
      break;
    case Fault::disk_slow:
      fleet_.slow_disk(*member, fleet_.drawn(1ms, 80ms));
      done = true;
      break;
    case Fault::left_behind: done = leave_behind(*member); break;
    case Fault::link_reset:
      fleet_.reset_link(*member, fleet_.drawn(fleet_.size()));
      done = true;
      break;
  }
  if (done) note_loss(fault);
  return done;
}

// At the end: one history, the same everywhere, and everything that was told fits it.
void check_end(ControlFleet& fleet, const Records& records, PlayResult& result) {
  for (const auto& contradiction : fleet.contradictions()) result.violations.push_back(contradiction);
  std::optional<MemberIndex> first;
  for (MemberIndex i = 0; i < fleet.size(); ++i) {
    if (fleet.member(i).removed) continue;
    if (!fleet.is_up(i)) {
      result.violations.push_back(fleet.member(i).address + " is down at the end");
      continue;
    }
    if (!first) first = i;
    const auto& state = fleet.replica(i).state();
    const auto& other = fleet.replica(*first).state();
    if (state.version() != other.version() || state.evacuated != other.evacuated ||
        state.voters != other.voters)
      result.violations.push_back("members differ at the end: " + fleet.member(i).address + " at " +
                                  std::to_string(state.position) + ", " + fleet.member(*first).address +
                                  " at " + std::to_string(other.position));
  }
  for (auto& violation : records.history.violations()) result.violations.push_back(std::move(violation));
}

void close_play(ControlFleet& fleet, Faults& faults) {
  constexpr std::array kClosing = {Fault::kill_all, Fault::power_loss_all, Fault::disk_loss_and_power_loss,
                                   Fault::zone_disk_loss};
  if (fleet.drawn(2) == 0) faults.bring_about(kClosing[fleet.drawn(kClosing.size())]);
  faults.stop();
  fleet.run(1s);
  faults.heal();
}

}  // namespace

const char* name_of(Fault fault) {
  switch (fault) {
    case Fault::kill: return "kill";
    case Fault::power_loss: return "power loss";
    case Fault::disk_loss: return "disk loss";
    case Fault::freeze: return "freeze";
    case Fault::cut_off: return "cut off";
    case Fault::cut_one_way: return "cut one way";
    case Fault::cut_pair: return "cut of a pair";
    case Fault::core_split: return "core split by zone";
    case Fault::zone_power_loss: return "zone power loss";
    case Fault::zone_disk_loss: return "zone disk loss";
    case Fault::kill_all: return "kill of all";
    case Fault::power_loss_all: return "power loss of all";
    case Fault::disk_loss_and_power_loss: return "disks lost, the others' power lost";
    case Fault::replace: return "replacement";
    case Fault::replace_planned: return "planned replacement";
    case Fault::learner: return "machine more";
    case Fault::disk_stall: return "disk stall";
    case Fault::disk_slow: return "slow disk";
    case Fault::link_reset: return "link reset";
    case Fault::left_behind: return "left behind";
  }
  return "";
}

PlayResult play(const PlayOptions& options) {
  FleetOptions fleet_options;
  fleet_options.zones = options.zones;
  fleet_options.tolerated = options.tolerated;
  fleet_options.seed = options.seed;
  fleet_options.trace_messages = options.trace_messages;
  fleet_options.disks = options.disks;
  std::mt19937_64 random(options.seed * 31);
  fleet_options.loss = random() % 3 == 0 ? 0.05 : 0;
  fleet_options.duplicate = random() % 3 == 0 ? 0.05 : 0;
  fleet_options.most_delay = random() % 2 == 0 ? 3ms : 40ms;
  ControlFleet fleet(fleet_options);
  fleet.on_trace = options.trace;
  if (options.plant) options.plant(fleet);

  PlayResult result;
  Records records;
  std::deque<Operator> operators;
  for (std::size_t i = 0; i < options.operators; ++i)
    operators.emplace_back(fleet, records, options.zone_orders && i < kZones.size() ? kZones[i] : "").start();
  Faults faults(fleet, options, result);
  records.on_acknowledged = [&] { faults.acknowledged(); };
  fleet.later(1s, [&] { faults.start(); });
  fleet.run_until([&] { return records.acknowledged >= options.changes; }, options.longest);
  close_play(fleet, faults);
  for (auto& each : operators) each.stop();

  const Time healed = fleet.now();
  bool acknowledged = false;
  operators.front().change_now([&] { acknowledged = true; });
  if (!fleet.run_until([&] { return acknowledged; }, kHealedWithin))
    result.violations.push_back("no order was acknowledged within 5 s after all had healed");
  result.last_recovery = fleet.now() - healed;
  for (auto& each : operators) each.stop();
  fleet.run(8s);
  check_end(fleet, records, result);
  result.acknowledged = records.acknowledged;
  return result;
}

}  // namespace docklift::test
