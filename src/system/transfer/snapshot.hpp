// Snapshots as bytes: one encoding of a state, equal on every node that holds the same position, and what is
// said to carry it in parts. Pure.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "system/configuration/configuration.hpp"
#include "system/wire/fleet.capnp.h"

namespace docklift::transfer {

inline constexpr std::size_t kPartBytes = 32u << 10;          // 0.13 s at 2 Mbit/s
inline constexpr std::size_t kMostPartBytes = 64u << 10;      // that a sender serves at once
inline constexpr std::size_t kMostSnapshotBytes = 96u << 20;  // a larger one is refused

// XXH3, 128 bits. Against mistakes and mixed versions, not against forgery: links are inside the fleet.
struct Digest {
  std::uint64_t low = 0, high = 0;
  bool operator==(const Digest&) const = default;
};
Digest digest_of(std::string_view bytes);

struct SnapshotId {
  std::uint64_t position = 0;  // of the last change in it
  Digest digest;
  bool operator==(const SnapshotId&) const = default;
};

struct Snapshot {
  SnapshotId id;
  std::string bytes;
};

// Canonical: equal states give equal bytes. JSON objects are dumped in the order of their names, lists of the
// state are sorted or in the order of the log, and Cap'n Proto's canonical form has one layout.
std::shared_ptr<const Snapshot> encode(const configuration::State& state);
std::optional<configuration::State> decode(std::string_view bytes);  // none: not a state

struct Part {
  SnapshotId id;
  std::uint64_t total = 0, offset = 0;
  std::string_view bytes;  // owned by who built or received the frame
  bool replaces = false;   // the answer to a request for a snapshot that the sender does not hold
};
struct PartRequest {
  SnapshotId id;
  std::uint64_t offset = 0;
  std::uint32_t length = kPartBytes;
};

void put(wire::SnapshotPart::Builder to, const Part& part);
Part get(wire::SnapshotPart::Reader from);
void put(wire::SnapshotPartRequest::Builder to, const PartRequest& request);
PartRequest get(wire::SnapshotPartRequest::Reader from);

}  // namespace docklift::transfer
