// The encoding of a message on a link: a four-byte little-endian length in bytes, followed by the body. The
// highest bit of the length marks a compressed body (one zstd frame that declares its content size).
#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift {

inline constexpr std::size_t kFrameHeaderBytes = 4;

// The length field of a frame.
struct FrameHeader {
  std::uint32_t bytes = 0;  // size of the body
  bool compressed = false;
};
FrameHeader read_frame_header(const unsigned char (&header)[kFrameHeaderBytes]);

// A message that is encoded once and shared by all links it is sent on. Not thread-safe.
class EncodedFrame {
 public:
  explicit EncodedFrame(capnp::MessageBuilder& message);
  const std::string& plain() const { return plain_; }
  // The shorter of the plain and the compressed encoding, for peers that accept compressed frames. Compresses
  // on first use.
  const std::string& shortest() const;

 private:
  std::string plain_;
  mutable std::optional<std::string> compressed_;  // empty if it isn't shorter than `plain_`
};
using EncodedFramePtr = std::shared_ptr<const EncodedFrame>;

// Decompresses a body. Returns none if it is invalid or larger than `max_bytes` uncompressed.
std::optional<std::vector<capnp::word>> decompress(std::string_view body, std::size_t max_bytes);

}  // namespace docklift
