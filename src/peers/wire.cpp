#include "peers/wire.hpp"

#include <sodium.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace docklift::peers {
namespace {

using nlohmann::json;
using members::Incarnation;
using members::MemberUpdate;

constexpr std::size_t kMacBytes = 16;

json binary(const std::string& s) { return json::binary(std::vector<std::uint8_t>(s.begin(), s.end())); }
std::string string_of(const json& j) {
  const auto& b = j.get_binary();
  return {b.begin(), b.end()};
}

json to_json(const MemberUpdate& r) {
  return json::array({r.who.name, r.who.start, r.who.number, r.who.address, r.who.zone, r.refutations,
                      static_cast<unsigned>(r.state)});
}
MemberUpdate parse_update(const json& j) {
  MemberUpdate r;
  r.who = {j.at(0).get<std::string>(), j.at(1).get<std::uint64_t>(), j.at(2).get<std::uint64_t>(), j.at(3).get<std::string>(),
           j.at(4).get<std::string>()};
  r.refutations = j.at(5).get<std::uint32_t>();
  const auto state = j.at(6).get<unsigned>();
  if (state > static_cast<unsigned>(members::State::left)) throw std::invalid_argument("state");
  r.state = static_cast<members::State>(state);
  return r;
}

json to_json(const members::Message& m) {
  json updates = json::array();
  for (const auto& r : m.updates) updates.push_back(to_json(r));
  return json::array({static_cast<unsigned>(m.kind), m.number, to_json(m.from), m.to, m.target, m.address,
                      std::move(updates)});
}
members::Message members_message(const json& j) {
  members::Message m;
  const auto kind = j.at(0).get<unsigned>();
  if (kind > static_cast<unsigned>(members::Message::Kind::table)) throw std::invalid_argument("kind");
  m.kind = static_cast<members::Message::Kind>(kind);
  m.number = j.at(1).get<std::uint32_t>();
  m.from = parse_update(j.at(2));
  m.to = j.at(3).get<std::string>();
  m.target = j.at(4).get<std::string>();
  m.address = j.at(5).get<std::string>();
  for (const auto& r : j.at(6)) m.updates.push_back(parse_update(r));
  return m;
}

json to_json(const replica::Message& m) {
  json entries = json::array(), pages = json::array();
  for (const auto& e : m.entries) entries.push_back(json::array({e.origin.name, e.origin.life, e.number}));
  for (const auto& p : m.pages) {
    json records = json::array();
    for (const auto& r : p.records)
      records.push_back(json::array({r.number, static_cast<unsigned>(r.kind), binary(r.key), binary(r.value), r.ends.count()}));
    pages.push_back(json::array({p.origin.name, p.origin.life, p.from, p.upto, p.more, std::move(records), p.goal}));
  }
  return json::array({static_cast<unsigned>(m.kind), m.sums, std::move(entries), m.ranges, m.origins, std::move(pages)});
}
replica::Message replica_message(const json& j) {
  replica::Message m;
  const auto kind = j.at(0).get<unsigned>();
  if (kind > static_cast<unsigned>(replica::Message::Kind::pages)) throw std::invalid_argument("kind");
  m.kind = static_cast<replica::Message::Kind>(kind);
  m.sums = j.at(1).get<std::vector<std::uint64_t>>();
  for (const auto& e : j.at(2)) m.entries.push_back({{e.at(0).get<std::string>(), e.at(1).get<std::uint64_t>()}, e.at(2).get<std::uint64_t>()});
  m.ranges = j.at(3).get<std::uint16_t>();
  m.origins = j.at(4).get<std::uint32_t>();
  for (const auto& p : j.at(5)) {
    replica::Page page{{p.at(0).get<std::string>(), p.at(1).get<std::uint64_t>()}, p.at(2).get<std::uint64_t>(),
                       p.at(3).get<std::uint64_t>(), p.at(4).get<bool>(), {}};
    // An older version sends no goal and counts the copy as complete at `upto`.
    page.goal = p.size() > 6 ? p.at(6).get<std::uint64_t>() : page.upto;
    for (const auto& r : p.at(5)) {
      const auto k = r.at(1).get<unsigned>();
      // Records of a kind added by a later version are skipped; the page's range still covers their numbers,
      // so no gap is seen.
      if (k == 0 || k > static_cast<unsigned>(replica::kLastKind)) continue;
      page.records.push_back({r.at(0).get<std::uint64_t>(), static_cast<replica::Kind>(k), string_of(r.at(2)),
                              string_of(r.at(3)), replica::Instant(r.at(4).get<std::int64_t>())});
    }
    m.pages.push_back(std::move(page));
  }
  return m;
}

}  // namespace

std::string encode(const Datagram& d) {
  const bool is_membership = std::holds_alternative<members::Message>(d.body);
  const auto j = json::array({kVersion, d.cluster, d.name, d.life, d.counter, is_membership,
                              is_membership ? to_json(std::get<members::Message>(d.body))
                                            : to_json(std::get<replica::Message>(d.body))});
  std::string out;
  json::to_msgpack(j, out);
  return out;
}

std::optional<Datagram> decode(std::string_view bytes) {
  if (bytes.size() > 2 * kMaxDatagramBytes) return std::nullopt;  // the parser recurses into nested values
  try {
    const auto j = json::from_msgpack(bytes, true, true);
    if (j.at(0).get<std::uint64_t>() != kVersion) return std::nullopt;
    Datagram d{j.at(1).get<std::string>(), j.at(2).get<std::string>(), j.at(3).get<std::uint64_t>(), j.at(4).get<std::uint64_t>(), {}};
    if (j.at(5).get<bool>())
      d.body = members_message(j.at(6));
    else
      d.body = replica_message(j.at(6));
    return d;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Key key_of(std::string_view secret) {
  Key key{};
  crypto_generichash(key.data(), key.size(), reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), nullptr, 0);
  return key;
}

std::string add_mac(const Key& key, std::string_view bytes) {
  std::string out(kMacBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(out.data()), kMacBytes,
                     reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), key.data(),
                     key.size());
  out.append(bytes);
  return out;
}

std::optional<std::string_view> verify_mac(const Key& key, std::string_view datagram) {
  if (datagram.size() <= kMacBytes) return std::nullopt;
  const auto bytes = datagram.substr(kMacBytes);
  const auto expected = add_mac(key, bytes);
  if (sodium_memcmp(expected.data(), datagram.data(), kMacBytes) != 0 &&
      !injected(TestFault::any_mark_accepted))
    return std::nullopt;
  return bytes;
}

bool ReplayFilter::accept(const std::string& name, std::uint64_t life, std::uint64_t counter) {
  if (counter == 0) return false;
  auto it = windows_.find({name, life});
  if (it == windows_.end()) {
    if (windows_.size() >= max_incarnations_)
      windows_.erase(
          std::ranges::min_element(windows_, {}, [](const auto& e) { return e.second.last_used; }));
    it = windows_.emplace(std::pair(name, life), Window{}).first;
  }
  auto& w = it->second;
  w.last_used = ++use_counter_;
  const auto bit = [&](std::uint64_t n) -> std::uint64_t& { return w.bits[n % kWindowSize / 64]; };
  if (counter > w.highest) {
    const auto from = std::max(w.highest + 1, counter >= kWindowSize ? counter - kWindowSize + 1 : 1);
    for (auto n = from; n <= counter; ++n) bit(n) &= ~(1ULL << (n % 64));
    w.highest = counter;
  } else if (w.highest - counter >= kWindowSize || (bit(counter) >> (counter % 64) & 1U)) {
    return false;
  }
  bit(counter) |= 1ULL << (counter % 64);
  return true;
}

}  // namespace docklift::peers
