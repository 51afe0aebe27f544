#include "recovery/memory.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "replica/values.hpp"

namespace docklift::recovery {
namespace {

using replica::get_number;
using replica::Kind;
using replica::number_key;
using replica::Origin;
using replica::put_number;
using replica::Record;

constexpr char kRecord = 'r', kNumber = 'n';
const std::string kStart = "s", kLongest = "l", kLargest = "a";

std::string origin_key(char what, const Origin& o) {
  std::string key(1, what);
  put_number(key, o.life);
  put_number(key, o.name.size());
  return key + o.name;
}
// The origin in a key, and the offset after it.
std::optional<std::pair<Origin, std::size_t>> origin_of(const std::string& key) {
  constexpr std::size_t kName = 17;
  if (key.size() < kName) return std::nullopt;
  const auto size = get_number(key, 9);
  if (size > key.size() - kName) return std::nullopt;
  return std::pair(Origin{key.substr(kName, size), get_number(key, 1)}, kName + size);
}
std::uint64_t number_at(const std::map<std::string, std::string>& state, const std::string& key) {
  const auto it = state.find(key);
  return it == state.end() ? 0 : replica::number_of_key(it->second);
}
bool is_journaled(Kind k) { return k != Kind::server_health; }

}  // namespace

std::vector<Change> changes_of(replica::Replica& records) {
  std::vector<Change> all;
  auto changes = records.take_changes();
  // Ordered by number, as a torn commit leaves a prefix.
  std::vector<std::tuple<std::uint64_t, Origin, std::pair<Kind, std::string>>> order;
  for (const auto& [origin, key] : changes.records) {
    if (!is_journaled(key.first)) continue;
    const auto* r = records.find(origin, key.first, key.second);
    order.emplace_back(r ? r->number : 0, origin, key);
  }
  std::ranges::sort(order);
  for (const auto& [number, origin, key] : order) {
    auto name = origin_key(kRecord, origin);
    name.push_back(static_cast<char>(key.first));
    name += key.second;
    const auto* r = records.find(origin, key.first, key.second);
    if (!r) {
      all.emplace_back(std::move(name), std::nullopt);
      continue;
    }
    std::string value;
    put_number(value, r->number);
    put_number(value, static_cast<std::uint64_t>(r->ends.count()));
    all.emplace_back(std::move(name), value + r->value);
  }
  for (const auto& o : changes.origins) {
    const auto number = records.number_of(o);
    all.emplace_back(origin_key(kNumber, o), number == 0 ? std::nullopt : std::optional(number_key(number) + number_key(records.goal_of(o))));
  }
  return all;
}

Change start_of(std::uint64_t start) { return {kStart, number_key(start)}; }
Change longest_count(Instant lifetime) { return {kLongest, number_key(static_cast<std::uint64_t>(lifetime.count()))}; }
Change largest_add(std::uint64_t thousandths) { return {kLargest, number_key(thousandths)}; }

RestoredState restore_state(const journal::Recovered& found, const std::string& name) {
  RestoredState r;
  r.damaged = found.missing > 0;
  r.start = number_at(found.state, kStart);
  r.longest = Instant(static_cast<std::int64_t>(number_at(found.state, kLongest)));
  r.largest = number_at(found.state, kLargest);
  std::map<Origin, replica::Page> pages;
  for (const auto& [key, value] : found.state) {
    const auto named = key.empty() ? std::nullopt : origin_of(key);
    if (!named) continue;
    const auto& [origin, at] = *named;
    auto& page = pages[origin];
    page.origin = origin;
    if (key[0] == kNumber && value.size() == 16)
      page.upto = std::max(page.upto, get_number(value, 0)), page.goal = std::max(page.goal, get_number(value, 8));
    if (key[0] != kRecord || at >= key.size() || value.size() < 16) continue;
    const auto kind = static_cast<unsigned char>(key[at]);
    if (kind == 0 || kind > static_cast<unsigned char>(replica::kLastKind)) continue;
    Record record{get_number(value, 0), static_cast<Kind>(kind), key.substr(at + 1), value.substr(16),
                  Instant(static_cast<std::int64_t>(get_number(value, 8)))};
    // An origin's number is written after its records. If it was lost, only the number is missing, not the
    // records.
    if (origin.name == name) page.upto = std::max(page.upto, record.number);
    if (record.kind == Kind::epoch) r.epoch = std::max(r.epoch, replica::number_of_key(record.value));
    if (record.kind == Kind::server_status && r.damaged) r.words.push_back(record);
    page.records.push_back(std::move(record));
  }
  for (auto& [origin, page] : pages) {
    const bool own = origin.name == name;
    std::ranges::sort(page.records, {}, &Record::number);
    if (own) page.goal = page.upto;  // this node was the only writer
    if (own) {
      const auto state = std::ranges::find(page.records, Kind::node, &Record::kind);
      const bool left = state != page.records.end() && !state->value.empty() && state->value[0] == 'l';
      r.former.push_back({origin.life, page.upto, left});
    }
    // If records in the middle are missing, a copy of another origin would look complete and never be requested again.
    if (r.damaged && !own) continue;
    // Records above the number known to be complete are dropped; peers send them again.
    std::erase_if(page.records, [&](const Record& x) { return x.number > page.upto; });
    if (page.upto > 0) r.pages.push_back(std::move(page));
  }
  return r;
}

}  // namespace docklift::recovery
