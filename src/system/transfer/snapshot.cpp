#include "system/transfer/snapshot.hpp"

#define XXH_INLINE_ALL
#include <capnp/message.h>
#include <xxhash.h>

#include <cstring>
#include <vector>

#include "system/fleet/frames.hpp"

namespace docklift::transfer {
namespace {

constexpr std::uint64_t kMaxWords = kMaxSnapshotBytes / sizeof(capnp::word);

void put(wire::SnapshotId::Builder to, const SnapshotId& id) {
  to.setPosition(id.position);
  to.setDigestLow(id.digest.low);
  to.setDigestHigh(id.digest.high);
}

SnapshotId get(wire::SnapshotId::Reader from) {
  return {from.getPosition(), {from.getDigestLow(), from.getDigestHigh()}};
}

}  // namespace

Digest digest_of(std::string_view bytes) {
  const auto hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.low64, hash.high64};
}

std::shared_ptr<const Snapshot> encode(const configuration::State& state) {
  capnp::MallocMessageBuilder builder;
  fleet::put(builder.initRoot<wire::Snapshot>(), state);
  const auto words = capnp::canonicalize(builder.getRoot<wire::Snapshot>().asReader());
  const auto bytes = words.asBytes();
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->bytes.assign(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
  snapshot->id = {state.position, digest_of(snapshot->bytes)};
  return snapshot;
}

std::optional<configuration::State> decode(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));  // copied, as `bytes` may be unaligned
  std::memcpy(words.data(), bytes.data(), bytes.size());
  const kj::ArrayPtr<const capnp::word> segment(words.data(), words.size());
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxWords;
    capnp::SegmentArrayMessageReader reader(kj::arrayPtr(&segment, 1), options);
    return fleet::get(reader.getRoot<wire::Snapshot>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

void put(wire::SnapshotPart::Builder to, const Part& part) {
  put(to.initId(), part.id);
  to.setTotal(part.total);
  to.setOffset(part.offset);
  to.setBytes(fleet::data_of(part.bytes));
  to.setReplaces(part.replaces);
}

Part get(wire::SnapshotPart::Reader from) {
  const auto bytes = from.getBytes();
  return {get(from.getId()),
          from.getTotal(),
          from.getOffset(),
          {reinterpret_cast<const char*>(bytes.begin()), bytes.size()},
          from.getReplaces()};
}

void put(wire::SnapshotPartRequest::Builder to, const PartRequest& request) {
  put(to.initId(), request.id);
  to.setOffset(request.offset);
  to.setLength(request.length);
}

PartRequest get(wire::SnapshotPartRequest::Reader from) {
  return {get(from.getId()), from.getOffset(), from.getLength()};
}

}  // namespace docklift::transfer
