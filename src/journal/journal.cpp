#include "journal/journal.hpp"

#include <algorithm>
#include <utility>

namespace docklift::journal {

std::optional<Commit> Journal::begin(Instant now, const Recovered& found) {
  state_ = found.state;
  number_ = found.number;
  generation_ = found.generation;
  // The file that was read is kept until two newer generations are complete; all others are removed with the
  // next one.
  whole_ = found.read;
  old_files_ = found.files;
  started_ = roll_ = true;
  return next(now);
}

std::optional<Commit> Journal::put(Instant now, const std::string& key, std::string value) {
  const auto it = state_.find(key);
  if (it != state_.end() && it->second == value) return std::nullopt;
  state_[key] = value;
  add(now, {++number_, Kind::put, key, std::move(value)});
  return next(now);
}

std::optional<Commit> Journal::erase(Instant now, const std::string& key) {
  if (state_.erase(key) == 0) return std::nullopt;
  add(now, {++number_, Kind::erase, key, {}});
  return next(now);
}

void Journal::add(Instant now, Record r) {
  ++figures_.records;
  if (roll_) return;  // the next generation's snapshot contains it
  if (pending_.empty()) pending_since_ = now;
  append(pending_, r, salt_of(node_, generation_));
  if (pending_.size() <= limits_.most_waiting) return;
  pending_.clear();
  roll_ = true;
}

std::size_t Journal::roll_size() const {
  const auto grown = static_cast<std::size_t>(static_cast<double>(snapshot_bytes_) * limits_.grow);
  return std::min(limits_.most_bytes, std::max(limits_.least_bytes, grown));
}

Commit Journal::new_generation() {
  Commit c{.id = ++ids_, .file = {}, .create = true, .bytes = {}, .remove = {}};
  const auto g = ++generation_;
  const auto salt = salt_of(node_, g);
  c.file = file_name(g);
  append(c.bytes, {++number_, Kind::header, node_, {}}, salt);
  for (const auto& [key, value] : state_) append(c.bytes, {++number_, Kind::put, key, value}, salt);
  append(c.bytes, {++number_, Kind::end_of_snapshot, {}, {}}, salt);
  for (const auto o : old_files_)
    if (o != whole_) c.remove.push_back(file_name(o));
  file_bytes_ = snapshot_bytes_ = c.bytes.size();
  pending_.clear();
  roll_ = false;
  ++figures_.generations;
  return c;
}

std::optional<Commit> Journal::next(Instant now) {
  if (!started_ || in_flight_) return std::nullopt;
  if (!roll_ && file_bytes_ + pending_.size() > roll_size()) roll_ = true;
  if (roll_) {
    if (not_before_ && now < *not_before_) return std::nullopt;
    not_before_.reset();
    auto c = new_generation();
    in_flight_ = InFlight{c.id, number_, true};
    return c;
  }
  if (pending_.empty() || now < pending_since_ + limits_.commit) return std::nullopt;
  Commit c{.id = ++ids_, .file = file_name(generation_), .create = false, .bytes = std::exchange(pending_, {}), .remove = {}};
  file_bytes_ += c.bytes.size();
  in_flight_ = InFlight{c.id, number_, false};
  return c;
}

std::optional<Commit> Journal::done(Instant now, std::uint64_t id, bool ok) {
  if (!in_flight_ || in_flight_->id != id) return std::nullopt;
  const auto u = *std::exchange(in_flight_, std::nullopt);
  ++figures_.commits;
  if (ok) {
    failures_ = 0;
    durable_ = std::max(durable_, u.upto);
    if (u.create) {
      std::erase_if(old_files_, [&](auto o) { return o != whole_; });
      whole_ = generation_;
      old_files_.push_back(generation_);
    }
    return next(now);
  }
  ++figures_.failed;
  ++failures_;
  // How much of the file is on the disk is not known, so nothing more is written to it. After a first failure a new file is tried at once.
  roll_ = true;
  pending_.clear();
  if (u.create) old_files_.push_back(generation_);
  if (failures_ > 1) not_before_ = now + limits_.again;
  return next(now);
}

std::optional<Commit> Journal::last() {
  if (!started_ || (!roll_ && pending_.empty())) return std::nullopt;
  if (roll_) return new_generation();
  return Commit{.id = ++ids_, .file = file_name(generation_), .create = false, .bytes = std::exchange(pending_, {}), .remove = {}};
}

std::optional<Instant> Journal::due() const {
  if (!started_ || in_flight_) return std::nullopt;
  if (roll_) return not_before_.value_or(Instant{});
  if (pending_.empty()) return std::nullopt;
  return pending_since_ + limits_.commit;
}

Journal::Figures Journal::figures() const {
  auto f = figures_;
  f.keys = state_.size(), f.waiting = pending_.size(), f.broken = failures_ > 1;
  return f;
}

}  // namespace docklift::journal
