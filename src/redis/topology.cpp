#include "redis/topology.hpp"

#include <algorithm>
#include <charconv>

namespace docklift::redis {

namespace {

template <class N>
std::optional<N> number(std::string_view text) {
  N n{};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (failed != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}

std::optional<Endpoint> endpoint(std::string_view host, std::string_view port) {
  const auto p = number<std::uint16_t>(port);
  if (!p || *p == 0) return std::nullopt;
  snowknot::error_code failed;
  const auto address = snowknot::asio::ip::make_address(std::string(host), failed);
  if (failed) return std::nullopt;
  return Endpoint(address, *p);
}

std::vector<std::string_view> words_of(std::string_view text) {
  std::vector<std::string_view> words;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find(' ', at), text.size());
    if (end > at) words.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return words;
}

std::string value_of(std::string_view text, std::string_view key) {
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find("\r\n", at), text.size());
    const auto line = text.substr(at, end - at);
    if (line.size() > key.size() && line.starts_with(key) && line[key.size()] == ':')
      return std::string(line.substr(key.size() + 1));
    at = end + 2;
  }
  return {};
}

}  // namespace

std::uint16_t SlotMap::index_of(const Endpoint& owner) {
  const auto it = std::ranges::find(owners_, owner);
  if (it != owners_.end()) return static_cast<std::uint16_t>(it - owners_.begin() + 1);
  owners_.push_back(owner);
  return static_cast<std::uint16_t>(owners_.size());
}

bool SlotMap::read(const Reply& r, const Endpoint& from) {
  if (r.kind != Reply::Kind::array) return false;
  SlotMap next;
  for (const auto& range : r.items) {
    if (range.kind != Reply::Kind::array || range.items.size() < 3) return false;
    const auto& first = range.items[0];
    const auto& last = range.items[1];
    const auto& master = range.items[2];
    if (first.kind != Reply::Kind::integer || last.kind != Reply::Kind::integer || first.integer < 0 ||
        last.integer < first.integer || last.integer >= kSlots || master.kind != Reply::Kind::array ||
        master.items.size() < 2 || master.items[1].kind != Reply::Kind::integer)
      return false;
    // A null or empty address is that of the server which answered, as its clients know it.
    const auto& host = master.items[0].text;
    const auto at = endpoint(host.empty() ? from.address().to_string() : host,
                             std::to_string(master.items[1].integer));
    if (!at) {
      ++next.unread_;
      continue;
    }
    const auto index = next.index_of(*at);
    std::fill(next.of_.begin() + first.integer, next.of_.begin() + last.integer + 1, index);
  }
  *this = std::move(next);
  return true;
}

void SlotMap::set(std::uint16_t slot, const Endpoint& owner) { of_.at(slot) = index_of(owner); }

const Endpoint* SlotMap::owner(std::uint16_t slot) const {
  const auto index = of_.at(slot);
  return index == 0 ? nullptr : &owners_.at(index - 1U);
}

std::size_t SlotMap::covered() const {
  return static_cast<std::size_t>(std::ranges::count_if(of_, [](auto i) { return i != 0; }));
}

std::optional<Redirect> redirect_of(std::string_view error, const Endpoint& from) {
  const auto words = words_of(error);
  if (words.size() < 3 || (words[0] != "MOVED" && words[0] != "ASK")) return std::nullopt;
  const auto slot = number<std::uint16_t>(words[1]);
  const auto colon = words[2].rfind(':');
  if (!slot || *slot >= kSlots || colon == std::string_view::npos) return std::nullopt;
  auto host = words[2].substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  const auto own = from.address().to_string();
  const auto to = endpoint(host.empty() ? std::string_view(own) : host, words[2].substr(colon + 1));
  if (!to) return std::nullopt;
  return Redirect{words[0] == "ASK", *slot, *to};
}

Identity identity_of(const Reply& server, const Reply& replication) {
  Identity i;
  if (!server.is_error()) i.run_id = value_of(server.text, "run_id");
  if (replication.is_error()) return i;
  i.role = value_of(replication.text, "role");
  i.history = value_of(replication.text, "master_replid");
  return i;
}

std::optional<Endpoint> master_of(const Reply& r) {
  if (r.kind != Reply::Kind::array || r.items.size() != 2) return std::nullopt;
  return endpoint(r.items[0].text, r.items[1].text);
}

std::optional<Endpoint> switched_master(const Reply& push, std::string_view name) {
  if (push.items.size() != 3 || push.items[0].text != "message" || push.items[1].text != "+switch-master")
    return std::nullopt;
  const auto words = words_of(push.items[2].text);
  if (words.size() != 5 || words[0] != name) return std::nullopt;
  return endpoint(words[3], words[4]);
}

}  // namespace docklift::redis
