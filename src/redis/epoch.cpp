#include "redis/epoch.hpp"

#include <algorithm>
#include <charconv>

#include "redis/counts.hpp"

namespace docklift::redis {

using snowknot::Time;

namespace {

constexpr int kBits = 21;                     // of looks in a millisecond's step
constexpr std::int64_t kMostLooks = 1 << 20;  // of a whole fleet between two of ours: more is another epoch

std::int64_t milliseconds(Time t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}
std::optional<std::int64_t> number(const Reply& r) {
  std::int64_t n = 0;
  const auto* end = r.text.data() + r.text.size();
  const auto [at, failed] = std::from_chars(r.text.data(), end, n);
  return failed == std::errc{} && at == end ? std::optional(n) : std::nullopt;
}

}  // namespace

std::string Epoch::look(Time now) const {
  const auto life = std::to_string(milliseconds_of(life_));
  return command({"MULTI"}) +
         command({"SET", key_, std::to_string(milliseconds(now) << kBits), "NX", "PX", life}) +
         command({"INCRBY", key_, "1"}) + command({"PEXPIRE", key_, life}) + command({"TIME"}) +
         command({"EXEC"});
}

Epoch::Verdict Epoch::begin_anew(Time now, std::string why) {
  last_ = milliseconds(now) << kBits;
  return {
      .lost = now,
      .why = std::move(why),
      .write = command({"SET", key_, std::to_string(*last_), "PX", std::to_string(milliseconds_of(life_))}),
      .error = {}};
}

Epoch::Verdict Epoch::take(Time sent, Time now, const std::vector<Reply>& replies) {
  Verdict v;
  for (const auto& r : replies)
    if (r.is_error() && v.error.empty()) v.error = r.text;
  if (!v.error.empty()) return v;
  const bool whole = replies.size() == kReplies && replies.back().kind == Reply::Kind::array &&
                     replies.back().items.size() == 4 &&
                     replies.back().items[1].kind == Reply::Kind::integer &&
                     replies.back().items[3].items.size() == 2;
  if (!whole) {
    v.error = "ERR the look at the epoch was answered by something else";
    for (const auto& r : replies)
      for (const auto& i : r.items)
        if (i.is_error()) v.error = i.text;
    return v;
  }
  const auto& items = replies.back().items;
  const auto value = items[1].integer;
  const auto began = value >> kBits;
  const auto seconds = number(items[3].items[0]), micros = number(items[3].items[1]);
  const auto last = std::exchange(last_, value);
  if (seconds && micros) {
    const auto clock = *seconds * 1000 + *micros / 1000;
    const std::pair<std::int64_t, std::int64_t> ahead{clock - milliseconds(now) - 1,
                                                      clock - milliseconds(sent) + 1};
    const auto before = std::exchange(ahead_, ahead);
    if (before && ahead.first - before->second > milliseconds_of(step_))
      return begin_anew(now, "the store's clock was set forward");
  }
  if (items[0].kind == Reply::Kind::simple) {  // it was not there: this look began it
    v.lost = now, v.why = last ? "the store lost its epoch" : "the store has no epoch yet";
  } else if (!last) {
    // New here: windows that began before the epoch, as far as they are still open, may have been lost.
    v.lost = Time(std::chrono::milliseconds(began + 1)),
    v.why = "an epoch that was begun before this node came";
    v.lost = std::min(*v.lost, now);
  } else if (value - *last > kMostLooks) {
    v.lost = now, v.why = "another epoch has begun";
  } else if (value <= *last) {
    return begin_anew(now, "the store has older counts");
  }
  return v;
}

}  // namespace docklift::redis
