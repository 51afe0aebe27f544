#include "system/transfer/change_follower.hpp"

namespace docklift::transfer {
namespace {
using namespace std::chrono_literals;
constexpr Duration kLagLogThreshold = 1s;  // a longer lag is logged
// A lagging copy that receives neither a change nor a part of a snapshot for this long: a frame was lost.
constexpr Duration kStallTimeout = 1500ms;
}  // namespace

void ChangeFollower::follow(const std::string& source) {
  fleet::Outgoing out;
  out.frame().setFollow(changes_.position());
  send_(source, out);
}

// After sending less than everything it has, a source waits for a follow frame.
void ChangeFollower::follow_all() {
  if (retry_pause_.pausing()) return;
  for (const auto& source : sources_) follow(source);
}

void ChangeFollower::on_linked(const std::string& source) {
  sources_.insert(source);
  follow(source);
}

void ChangeFollower::on_source_lost(Time now, const std::string& source) {
  sources_.erase(source);
  execute(receiver_.on_source_lost(now, source));
  const bool was_pull_source = pull_source_ == source;
  if (was_pull_source) pull_source_.clear();
  if ((was_pull_source && !receiver_.fetching()) || receiver_.paused()) follow_all();
}

void ChangeFollower::on_newer_position(const std::string& source) {
  if (!catching_up() && !retry_pause_.pausing()) follow(source);
}

ChangeFollower::Outcome ChangeFollower::on_frame(Time now, const std::string& source,
                                                 wire::Frame::Reader frame) {
  auto outcome = Outcome::unchanged;
  if (frame.isChanges()) outcome = on_batch(source, frame.getChanges());
  if (frame.isSnapshotPart()) outcome = on_part(now, source, frame.getSnapshotPart());
  lag_.advanced(changes_.position());
  return outcome;
}

ChangeFollower::Outcome ChangeFollower::on_batch(const std::string& source, wire::ChangeBatch::Reader batch) {
  const auto outcome = changes_.accept(batch);
  if (outcome == Outcome::diverged) return on_diverged(source);
  const bool was_pausing = outcome == Outcome::applied && retry_pause_.pausing();
  if (outcome == Outcome::applied) retry_pause_.on_success();
  const bool was_fetching = receiver_.fetching();
  receiver_.on_position(changes_.position());
  const bool was_pull_source = pull_source_ == source;
  if (was_pull_source) pull_source_.clear();
  if (outcome == Outcome::gap) {
    on_newer_position(source);
  } else if (changes_.position() < batch.getNewest()) {
    if (!catching_up()) {
      pull_source_ = source;
      follow(source);
    }
  } else if (was_pull_source || was_pausing || (was_fetching && !receiver_.fetching())) {
    follow_all();
  }
  return outcome;
}

// The sources hold the changes committed by the core: this copy is replaced by theirs.
ChangeFollower::Outcome ChangeFollower::on_diverged(const std::string& source) {
  discard_copy("the log of " + source + " holds other changes than the " +
               std::to_string(changes_.position()) + " here");
  return Outcome::diverged;
}

void ChangeFollower::on_core_regressed(std::uint64_t position) {
  discard_copy("the core stands at change " + std::to_string(position) + ", before the " +
               std::to_string(changes_.position()) + " here");
}

void ChangeFollower::discard_copy(const std::string& reason) {
  log_(reason + ": committed changes were lost; fetching the core's state");
  changes_.forget();
  pull_source_.clear();
  follow_all();
}

ChangeFollower::Outcome ChangeFollower::on_part(Time now, const std::string& source,
                                                wire::SnapshotPart::Reader frame) {
  const auto part = get(frame);
  if (pull_source_ == source) pull_source_.clear();
  auto step = receiver_.on_part(now, source, part, changes_.position() + 1);
  execute(step);
  // The offered snapshot is not newer than the copy; the source still waits for a follow frame.
  if (part.id.position <= changes_.position() && part.offset == 0) on_newer_position(source);
  if (step.failed) pause_after_unreadable(now, source);
  if (!step.completed) return Outcome::unchanged;
  retry_pause_.on_success();
  const auto outcome = changes_.accept(std::move(*step.completed));
  follow_all();
  return outcome;
}

// ---- snapshots that can't be read

// The copy here stays in force. The sources were all asked when they connected, so each has had its turn
// once.
void ChangeFollower::pause_after_unreadable(Time now, const std::string& source) {
  unreadable_source_ = source;
  const auto pause = retry_pause_.on_failure(now);
  if (!pause) return;
  log_("can't read the state of " + source + "; the copy here stays at change " +
       std::to_string(changes_.position()) + "; asks " + source_after(source) + " again in " +
       std::to_string(millis(*pause)) + " ms");
}

// Asks one source, not the one that sent the unreadable snapshot if there is another.
void ChangeFollower::end_pause() {
  const auto source = source_after(unreadable_source_);
  if (source.empty()) return;
  pull_source_ = source;
  follow(source);
}

// The next connected source in order; empty: there is none.
std::string ChangeFollower::source_after(const std::string& source) const {
  if (sources_.empty()) return {};
  const auto next = sources_.upper_bound(source);
  return next == sources_.end() ? *sources_.begin() : *next;
}

// ---- lag and stall detection

void ChangeFollower::on_core_position(Time now, std::uint64_t position) {
  lag_.reported(now, position, changes_.position());
}

void ChangeFollower::check_progress(Time now) {
  if (changes_.position() != last_position_ || receiver_.received() != last_received_) progress_at_ = now;
  last_position_ = changes_.position();
  last_received_ = receiver_.received();
  if (retry_pause_.ends(now)) {
    progress_at_ = now;
    end_pause();
  }
  const auto since = lag_.lagging_since(now);
  if (!since) {
    if (std::exchange(lag_logged_, false))
      log_("has caught up with change " + std::to_string(last_position_));
    return;
  }
  if (now - *since >= kLagLogThreshold && !std::exchange(lag_logged_, true)) log_lag(now, *since);
  if (!retry_pause_.pausing() && now - std::max(*since, progress_at_) >= kStallTimeout) restart_fetch(now);
}

void ChangeFollower::log_lag(Time now, Time since) {
  log_("the core stands at change " + std::to_string(lag_.newest()) + ", the copy here at change " +
       std::to_string(changes_.position()) + " for " + std::to_string(millis(now - since)) + " ms; " +
       describe_wait());
}

void ChangeFollower::restart_fetch(Time now) {
  log_("nothing has come for " + std::to_string(millis(kStallTimeout)) + " ms; " + describe_wait() +
       "; all sources are asked anew");
  progress_at_ = now;
  pull_source_.clear();
  if (receiver_.fetching()) execute(receiver_.on_source_lost(now, receiver_.source()));
  follow_all();
}

std::string ChangeFollower::describe_wait() const {
  if (receiver_.paused()) return "no source is left for the snapshot being fetched";
  if (receiver_.fetching())
    return "fetching a snapshot from " + receiver_.source() + ", " + std::to_string(receiver_.received()) +
           " bytes so far";
  if (!pull_source_.empty()) return "waiting for the next changes from " + pull_source_;
  return "waiting for updates from " + std::to_string(sources_.size()) + " sources";
}

void ChangeFollower::execute(const SnapshotReceiver::Step& step) {
  for (const auto& message : step.log_messages) log_(message);
  for (const auto& request : step.requests) {
    fleet::Outgoing out;
    put(out.frame().initSnapshotPartRequest(), request.part);
    send_(request.source, out);
  }
}

}  // namespace docklift::transfer
