// Encoding of snapshots: the same bytes on every node at the same position, and the messages that carry them
// in parts. Performs no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "system/configuration/configuration.hpp"
#include "system/wire/fleet.capnp.h"

namespace docklift::transfer {

inline constexpr std::size_t kPartBytes = 32u << 10;         // 0.13 s at 2 Mbit/s
inline constexpr std::size_t kMaxPartBytes = 64u << 10;      // upper bound of a part that is served
inline constexpr std::size_t kMaxSnapshotBytes = 96u << 20;  // larger ones are rejected

// XXH3, 128 bits. Detects faults and mixed versions, not forgery: links are internal to the fleet.
struct Digest {
  std::uint64_t low = 0, high = 0;
  bool operator==(const Digest&) const = default;
};
Digest digest_of(std::string_view bytes);

// Identifies a snapshot by its position and content.
struct SnapshotId {
  std::uint64_t position = 0;  // of the last change included
  Digest digest;
  bool operator==(const SnapshotId&) const = default;
};

// An encoded state.
struct Snapshot {
  SnapshotId id;
  std::string bytes;
};

// Canonical: equal states give equal bytes. JSON objects are written with sorted keys, the lists of a state
// are sorted or in log order, and Cap'n Proto's canonical form has a single layout.
std::shared_ptr<const Snapshot> encode(const configuration::State& state);
std::optional<configuration::State> decode(std::string_view bytes);  // none: not a valid state

// A chunk of an encoded snapshot.
struct Part {
  SnapshotId id;
  std::uint64_t total = 0, offset = 0;
  std::string_view bytes;  // owned by the builder or receiver of the frame
  bool replaces = false;   // the requested snapshot is not held by the sender; this is another one
};

// A request for a chunk of a snapshot.
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
