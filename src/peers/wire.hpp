// Encoding of the datagrams between nodes: MessagePack, authenticated with a key that the cluster shares. No
// I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "members/members.hpp"
#include "replica/replica.hpp"

namespace docklift::peers {

inline constexpr std::uint64_t kVersion = 1;            // datagrams of other versions are counted and dropped
inline constexpr std::size_t kMaxDatagramBytes = 1400;  // fits an Ethernet frame

using Body = std::variant<members::Message, replica::Message>;

struct Datagram {
  std::string cluster{}, name{};  // of the sender
  std::uint64_t life = 0;         // number of the sender's incarnation
  std::uint64_t counter = 0;      // grows with each datagram of an incarnation
  Body body{};
};

std::string encode(const Datagram& d);
// Returns nothing for another version or a malformed datagram.
std::optional<Datagram> decode(std::string_view bytes);

using Key = std::array<unsigned char, 32>;
// Derives the key from a secret of any length by hashing it.
Key key_of(std::string_view secret);

// Prepends a MAC of 16 bytes: keyed BLAKE2b (libsodium).
std::string add_mac(const Key& key, std::string_view bytes);
// Returns the bytes after the MAC, or nothing if the MAC is wrong.
std::optional<std::string_view> verify_mac(const Key& key, std::string_view datagram);

// Drops replayed datagrams: remembers which of the last kWindowSize counters of each incarnation have been
// received, for a bounded number of incarnations (the least recently used one is evicted).
class ReplayFilter {
 public:
  explicit ReplayFilter(std::size_t max_incarnations = 4096) : max_incarnations_(max_incarnations) {}
  // Whether the datagram is new; it is then recorded as received. Counters older than the window are
  // rejected.
  bool accept(const std::string& name, std::uint64_t life, std::uint64_t counter);

 private:
  static constexpr std::size_t kWindowSize = 1024;
  struct Window {
    std::uint64_t highest = 0, last_used = 0;
    std::array<std::uint64_t, kWindowSize / 64> bits{};
  };
  std::map<std::pair<std::string, std::uint64_t>, Window> windows_{};
  std::uint64_t use_counter_ = 0;
  std::size_t max_incarnations_;
};

}  // namespace docklift::peers
