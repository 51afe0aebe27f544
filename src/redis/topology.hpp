// Where the slots of a cluster lie, and what its servers say of themselves, read from their replies. No I/O. After the
// Redis cluster specification and the command reference (CLUSTER SLOTS, INFO, SENTINEL).
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/net.hpp"
#include "redis/counts.hpp"

namespace docklift::redis {

using Endpoint = snowknot::Tcp::endpoint;

inline constexpr std::uint16_t kSlots = 16384;

class SlotMap {
 public:
  // The reply to CLUSTER SLOTS as `from` gave it, all of it or nothing: false if it can't be read. Masters whose address is
  // not an IP address are left out, with `unread` counted: names are not resolved.
  bool read(const Reply& reply, const Endpoint& from);
  void set(std::uint16_t slot, const Endpoint& owner);  // MOVED
  const Endpoint* owner(std::uint16_t slot) const;
  std::set<Endpoint> owners() const { return {owners_.begin(), owners_.end()}; }
  std::size_t covered() const;  // slots that have an owner
  std::size_t unread() const { return unread_; }

 private:
  std::uint16_t index_of(const Endpoint& owner);

  std::vector<Endpoint> owners_;
  std::array<std::uint16_t, kSlots> of_{};  // 0: none, else index in owners_ + 1
  std::size_t unread_ = 0;
};

// "MOVED 3999 127.0.0.1:6381", "ASK ...". An empty host means the one that answered.
struct Redirect {
  bool ask = false;
  std::uint16_t slot = 0;
  Endpoint to;
};
std::optional<Redirect> redirect_of(std::string_view error, const Endpoint& from);

// From the texts of INFO server and INFO replication; what is missing is empty.
struct Identity {
  std::string run_id;   // of this life of the process
  std::string history;  // master_replid: of the data, new when a replica takes over
  std::string role;     // master, slave
};
Identity identity_of(const Reply& server, const Reply& replication);

// What SENTINEL GET-MASTER-ADDR-BY-NAME answers; none: not known there, or not an IP address.
std::optional<Endpoint> master_of(const Reply& reply);
// A message of +switch-master, "NAME OLD-IP OLD-PORT NEW-IP NEW-PORT", if it is about `name`.
std::optional<Endpoint> switched_master(const Reply& push, std::string_view name);

}  // namespace docklift::redis
