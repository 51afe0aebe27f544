#include "store/cut_over.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace docklift::store {

using snowknot::CountOutcome;
using snowknot::Duration;
using snowknot::Time;

std::optional<Time> time_of(std::string_view text) {
  // YYYY-MM-DDTHH:MM:SS[.fraction]Z
  constexpr std::string_view kShape = "dddd-dd-ddTdd:dd:dd";
  if (text.size() <= kShape.size() || text.back() != 'Z') return std::nullopt;
  std::array<int, 6> part{};
  std::size_t field = 0;
  for (std::size_t i = 0; i < kShape.size(); ++i) {
    if (kShape[i] != 'd') {
      if (text[i] != kShape[i]) return std::nullopt;
      ++field;
    } else {
      if (text[i] < '0' || text[i] > '9') return std::nullopt;
      part.at(field) = part.at(field) * 10 + (text[i] - '0');
    }
  }
  Duration fraction{};
  auto rest = text.substr(kShape.size(), text.size() - kShape.size() - 1);
  if (!rest.empty()) {
    if (rest[0] != '.' || rest.size() < 2 || rest.size() > 10) return std::nullopt;
    Duration unit = std::chrono::seconds(1);
    for (const char c : rest.substr(1)) {
      if (c < '0' || c > '9') return std::nullopt;
      unit /= 10;
      fraction += unit * (c - '0');
    }
  }
  const std::chrono::year_month_day day{std::chrono::year(part[0]),
                                        std::chrono::month(static_cast<unsigned>(part[1])),
                                        std::chrono::day(static_cast<unsigned>(part[2]))};
  if (!day.ok() || part[3] > 23 || part[4] > 59 || part[5] > 59) return std::nullopt;
  const auto days = std::chrono::sys_days(day).time_since_epoch();
  return Time(days + std::chrono::hours(part[3]) + std::chrono::minutes(part[4]) +
              std::chrono::seconds(part[5]) + fraction);
}

void CutOver::report_switch(Time now, Out& out) {
  if (!decides_after(now) || std::exchange(switched_, true)) return;
  // What this node or its predecessor has admitted without the new store's knowledge lies in windows that began
  // before.
  std::optional<Time> since = incomplete_until_;
  if (start_ > at_ - overlap_ && start_ < at_ && (!since || *since < start_)) since = start_;
  for (const auto& [name, b] : after_)
    if (b.missing != 0 || b.uncertain) since = std::max(since.value_or(now), now);
  if (since) out.lost = snowknot::CountsLost{*since};
}

CutOver::Out CutOver::add(Time now, snowknot::CountName name, double amount, Duration lifetime) {
  Out out;
  sweep(now);
  report_switch(now, out);
  const bool after_decides = decides_after(now);
  for (const auto side : {Side::before, Side::after}) {
    const bool deciding = (side == Side::after) == after_decides;
    if (!deciding && !both(now)) continue;
    auto& b = ledgers(side)[name];
    b.until = std::max(b.until, now + lifetime);
    // Amounts the non-deciding store refused are added with the next call that it does not decide.
    const double all = amount + (deciding ? 0 : std::exchange(b.missing, 0));
    b.out.push_back({deciding, all});
    out.adds.push_back({side, name, all, lifetime});
  }
  return out;
}

CutOver::Out CutOver::answered(Time now, Side side, const snowknot::CountAnswer& a) {
  Out out;
  report_switch(now, out);
  auto& all = ledgers(side);
  const auto it = all.find(a.name);
  if (it == all.end() || it->second.out.empty()) return out;
  auto& b = it->second;
  const auto call = b.out.front();
  b.out.pop_front();
  if (call.deciding) {
    out.answers.push_back(a);
  } else if (a.outcome == CountOutcome::refused) {
    b.missing += call.amount;
  } else if (a.outcome == CountOutcome::timeout) {
    b.uncertain = true;
  }
  return out;
}

CutOver::Out CutOver::lost(Time now, Side side, const snowknot::CountsLost& l) {
  Out out;
  report_switch(now, out);
  if ((side == Side::after) == decides_after(now))
    out.lost = l;
  else if (side == Side::after)
    incomplete_until_ = std::max(incomplete_until_.value_or(l.at), l.at);
  return out;
}

// Removes names whose windows have ended, at most once a second.
void CutOver::sweep(Time now) {
  if (now < swept_ + std::chrono::seconds(1)) return;
  swept_ = now;
  for (auto* all : {&before_, &after_})
    std::erase_if(*all, [&](const auto& e) { return e.second.out.empty() && e.second.until < now; });
}

}  // namespace docklift::store
