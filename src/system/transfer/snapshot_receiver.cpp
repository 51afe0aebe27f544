#include "system/transfer/snapshot_receiver.hpp"

#include <algorithm>

namespace docklift::transfer {
namespace {

bool well_formed(const Part& part) {
  if (part.total == 0 || part.total > kMaxSnapshotBytes || part.bytes.empty()) return false;
  return part.offset <= part.total && part.bytes.size() <= part.total - part.offset;
}

std::string describe(const SnapshotId& id) { return "the snapshot of change " + std::to_string(id.position); }

}  // namespace

SnapshotReceiver::Step SnapshotReceiver::on_part(Time now, const std::string& source, const Part& part,
                                                 std::uint64_t min_position) {
  Step step;
  if (!well_formed(part)) return step;
  if (part.id.position < min_position) {
    // The source has no useful snapshot in place of the requested one.
    if (part.replaces && fetching_from(source)) return on_source_lost(now, source);
    return step;
  }
  if (part.offset == 0) offers_[source] = part.id;
  if (!fetching_) {
    if (part.offset == 0) start(now, source, part, step);
    return step;
  }
  if (part.id == id_) {
    if (source_.empty()) resume_at(source);
    if (part.offset == bytes_.size()) append(now, part, step);
    if (fetching_) request_more(now, step);
    return step;
  }
  if (source_.empty() && part.offset == 0) {  // the source may still hold the one being fetched
    resume_at(source);
    request_more(now, step);
  } else if (part.replaces && source == source_) {
    const auto alternative = std::ranges::find_if(
        offers_, [&](const auto& offer) { return offer.first != source && offer.second == id_; });
    if (alternative == offers_.end()) {
      start(now, source, part, step);
    } else {
      resume_at(alternative->first);
      request_more(now, step);
    }
  }
  return step;
}

SnapshotReceiver::Step SnapshotReceiver::on_source_lost(Time now, const std::string& source) {
  Step step;
  offers_.erase(source);
  if (!fetching_from(source)) return step;
  auto next = std::ranges::find_if(offers_, [&](const auto& offer) { return offer.second == id_; });
  if (next == offers_.end()) next = offers_.begin();
  resume_at(next == offers_.end() ? std::string() : next->first);
  if (!source_.empty()) request_more(now, step);
  return step;
}

void SnapshotReceiver::on_position(std::uint64_t position) {
  if (fetching_ && id_.position <= position) reset();
}

void SnapshotReceiver::start(Time now, const std::string& source, const Part& part, Step& step) {
  bytes_.clear();
  fetching_ = true;
  id_ = part.id;
  total_ = part.total;
  parts_ = 0;
  started_at_ = now;
  resume_at(source);
  if (part.bytes.size() < part.total)
    step.log_messages.push_back("fetches " + describe(id_) + ", " + std::to_string(total_) + " bytes, from " +
                                source);
  append(now, part, step);
  if (fetching_) request_more(now, step);
}

void SnapshotReceiver::resume_at(const std::string& source) {
  source_ = source;
  requested_ = bytes_.size();
  requested_at_.clear();
  window_ = limits_.first_window;
}

void SnapshotReceiver::append(Time now, const Part& part, Step& step) {
  bytes_.append(part.bytes);
  ++parts_;
  adjust_window(now);
  requested_ = std::max<std::uint64_t>(requested_, bytes_.size());
  if (bytes_.size() == total_) finish(now, step);
}

void SnapshotReceiver::adjust_window(Time now) {
  if (requested_at_.empty()) return;
  const auto elapsed = now - requested_at_.front();
  requested_at_.pop_front();
  if (elapsed <= limits_.quick) window_ = std::min(window_ + 1, limits_.max_window);
  if (elapsed > limits_.slow) window_ = std::max<std::size_t>(window_ - 1, 1);
}

void SnapshotReceiver::finish(Time now, Step& step) {
  const bool matches = digest_of(bytes_) == id_.digest;
  if (matches) step.completed = decode(bytes_);
  step.failed = !step.completed || step.completed->position != id_.position;
  if (step.failed) {
    step.completed.reset();
    step.log_messages.push_back(
        describe(id_) + " from " + source_ +
        (matches ? " can't be decoded: dropped" : " does not fit its digest: dropped"));
  } else if (parts_ > 1) {
    step.log_messages.push_back(describe(id_) + " is whole: " + std::to_string(total_) + " bytes in " +
                                std::to_string(parts_) + " parts, " +
                                std::to_string(millis(now - started_at_)) + " ms");
  }
  reset();
}

void SnapshotReceiver::request_more(Time now, Step& step) {
  while (requested_at_.size() < window_ && requested_ < total_) {
    PartRequest request{id_, requested_, static_cast<std::uint32_t>(kPartBytes)};
    requested_ += std::min<std::uint64_t>(kPartBytes, total_ - requested_);
    requested_at_.push_back(now);
    step.requests.push_back({source_, request});
  }
}

void SnapshotReceiver::reset() {
  fetching_ = false;
  source_.clear();
  std::string().swap(bytes_);
  requested_at_.clear();
  requested_ = total_ = 0;
}

}  // namespace docklift::transfer
