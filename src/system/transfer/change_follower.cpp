#include "system/transfer/change_follower.hpp"

namespace docklift::transfer {
namespace {
using namespace std::chrono_literals;
constexpr Duration kLagNoted = 1s;  // a copy that is behind for so long is told of in the log
constexpr Duration
    kStalled = 1500ms;  // behind, and neither a change nor a part of a snapshot: something was lost
}  // namespace

void ChangeFollower::follow(const std::string& source) {
  fleet::Outgoing out;
  out.frame().setFollow(changes_.position());
  send_(source, out);
}

// Sources wait for a word after what was not the last they have.
void ChangeFollower::follow_all() {
  for (const auto& source : sources_) follow(source);
}

void ChangeFollower::on_linked(const std::string& source) {
  sources_.insert(source);
  follow(source);
}

void ChangeFollower::on_source_lost(Time now, const std::string& source) {
  sources_.erase(source);
  carry_out(receiver_.on_source_lost(now, source));
  const bool was_pulled = pulled_ == source;
  if (was_pulled) pulled_.clear();
  if ((was_pulled && !receiver_.fetching()) || receiver_.paused()) follow_all();
}

void ChangeFollower::on_newer_position(const std::string& source) {
  if (!catching_up()) follow(source);
}

ChangeFollower::Outcome ChangeFollower::on_frame(Time now, const std::string& source,
                                                 wire::Frame::Reader frame) {
  auto news = Outcome::unchanged;
  if (frame.isChanges()) news = on_batch(source, frame.getChanges());
  if (frame.isSnapshotPart()) news = on_part(now, source, frame.getSnapshotPart());
  lag_.advanced(changes_.position());
  return news;
}

ChangeFollower::Outcome ChangeFollower::on_batch(const std::string& source, wire::ChangeBatch::Reader batch) {
  const auto news = changes_.accept(batch);
  if (news == Outcome::diverged) return on_other_history(source);
  const bool was_fetching = receiver_.fetching();
  receiver_.on_position(changes_.position());
  const bool was_pulled = pulled_ == source;
  if (was_pulled) pulled_.clear();
  if (news == Outcome::gap) {
    on_newer_position(source);
  } else if (changes_.position() < batch.getNewest()) {
    if (!catching_up()) {
      pulled_ = source;
      follow(source);
    }
  } else if (was_pulled || (was_fetching && !receiver_.fetching())) {
    follow_all();
  }
  return news;
}

// The sources hold what the core has agreed on: what is here is given up for theirs.
ChangeFollower::Outcome ChangeFollower::on_other_history(const std::string& source) {
  give_up("the log of " + source + " holds other changes than the " + std::to_string(changes_.position()) +
          " here");
  return Outcome::diverged;
}

void ChangeFollower::on_core_regressed(std::uint64_t position) {
  give_up("the core stands at change " + std::to_string(position) + ", before the " +
          std::to_string(changes_.position()) + " here");
}

void ChangeFollower::give_up(const std::string& why) {
  note_(why + ": something that was agreed is lost; the core's state is taken");
  changes_.forget();
  pulled_.clear();
  follow_all();
}

ChangeFollower::Outcome ChangeFollower::on_part(Time now, const std::string& source,
                                                wire::SnapshotPart::Reader frame) {
  const auto part = get(frame);
  if (pulled_ == source) pulled_.clear();
  auto step = receiver_.on_part(now, source, part, changes_.position() + 1);
  carry_out(step);
  // An offer of what has come by other means: the source waits for a word after it.
  if (part.id.position <= changes_.position() && part.offset == 0) on_newer_position(source);
  if (step.failed) follow_all();
  if (!step.whole) return Outcome::unchanged;
  const auto news = changes_.accept(std::move(*step.whole));
  follow_all();
  return news;
}

// ---- the watch on what is missing

void ChangeFollower::on_core_position(Time now, std::uint64_t position) {
  lag_.reported(now, position, changes_.position());
}

void ChangeFollower::check_progress(Time now) {
  if (changes_.position() != seen_position_ || receiver_.received() != seen_bytes_) progress_at_ = now;
  seen_position_ = changes_.position();
  seen_bytes_ = receiver_.received();
  const auto since = lag_.lagging_since(now);
  if (!since) {
    if (std::exchange(lag_noted_, false))
      note_("has caught up with change " + std::to_string(seen_position_));
    return;
  }
  if (now - *since >= kLagNoted && !std::exchange(lag_noted_, true)) note_lag(now, *since);
  if (now - std::max(*since, progress_at_) >= kStalled) ask_anew(now);
}

void ChangeFollower::note_lag(Time now, Time since) {
  note_("the core stands at change " + std::to_string(lag_.newest()) + ", the copy here at change " +
        std::to_string(changes_.position()) + " for " + std::to_string(millis(now - since)) + " ms; " +
        waits_for());
}

void ChangeFollower::ask_anew(Time now) {
  note_("nothing has come for " + std::to_string(millis(kStalled)) + " ms; " + waits_for() +
        "; all sources are asked anew");
  progress_at_ = now;
  pulled_.clear();
  if (receiver_.fetching()) carry_out(receiver_.on_source_lost(now, receiver_.source()));
  follow_all();
}

std::string ChangeFollower::waits_for() const {
  if (receiver_.paused()) return "no source is left for the snapshot that it fetches";
  if (receiver_.fetching())
    return "fetches a snapshot from " + receiver_.source() + ", " + std::to_string(receiver_.received()) +
           " bytes so far";
  if (!pulled_.empty()) return "waits for the next changes from " + pulled_;
  return "waits for news from " + std::to_string(sources_.size()) + " sources";
}

void ChangeFollower::carry_out(const SnapshotReceiver::Step& step) {
  for (const auto& note : step.notes) note_(note);
  for (const auto& request : step.requests) {
    fleet::Outgoing out;
    put(out.frame().initSnapshotPartRequest(), request.part);
    send_(request.source, out);
  }
}

}  // namespace docklift::transfer
