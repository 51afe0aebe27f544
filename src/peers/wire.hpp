// Datagrams between nodes: MessagePack, sealed with a key that the cluster shares. No I/O.
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

inline constexpr std::uint64_t kVersion = 1;       // a datagram of another is counted and passed over
inline constexpr std::size_t kMostDatagram = 1400; // bytes; fits an Ethernet frame

using Body = std::variant<members::Message, replica::Message>;

struct Datagram {
  std::string cluster{}, name{};   // the sender's
  std::uint64_t life = 0;
  std::uint64_t counter = 0;   // grows with each datagram of a life
  Body body{};
};

std::string encode(const Datagram& d);
// None: not of this version, or not of this form.
std::optional<Datagram> decode(std::string_view bytes);

using Key = std::array<unsigned char, 32>;
// Any text as a key: its hash.
Key key_of(std::string_view secret);

// A mark of 16 bytes ahead of the bytes: keyed BLAKE2b (libsodium).
std::string add_mac(const Key& key, std::string_view bytes);
// What is behind the mark, if the mark is right.
std::optional<std::string_view> verify_mac(const Key& key, std::string_view datagram);

// Counters that have been seen of each life, so that a datagram counts once: the last 1024, bounded in lives.
class ReplayFilter {
 public:
  explicit ReplayFilter(std::size_t most_lives = 4096) : most_(most_lives) {}
  bool accept(const std::string& name, std::uint64_t life, std::uint64_t counter);

 private:
  static constexpr std::size_t kWindow = 1024;
  struct Window {
    std::uint64_t highest = 0, used = 0;
    std::array<std::uint64_t, kWindow / 64> bits{};
  };
  std::map<std::pair<std::string, std::uint64_t>, Window> lives_{};
  std::uint64_t clock_ = 0;
  std::size_t most_;
};

}  // namespace docklift::peers
