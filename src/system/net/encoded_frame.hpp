// A message as it goes over a link: four bytes that tell its length, lowest first, and its body. The highest bit of the
// length says that the body is compressed (zstd, one frame that states its content's size). Lengths are in bytes.
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

struct FrameHeader {
  std::uint32_t bytes = 0;  // of the body
  bool compressed = false;
};
FrameHeader read_frame_header(const unsigned char (&header)[kFrameHeaderBytes]);

// Encoded once and shared by the links that it is sent on. Of one thread.
class EncodedFrame {
 public:
  explicit EncodedFrame(capnp::MessageBuilder& message);
  const std::string& plain() const { return plain_; }
  // For a peer that reads compressed frames: the shorter of both. Compressed at the first call.
  const std::string& shortest() const;

 private:
  std::string plain_;
  mutable std::optional<std::string> compressed_;  // empty text: it is no shorter
};
using EncodedFramePtr = std::shared_ptr<const EncodedFrame>;

// The words of a compressed body; none: it is none, or has more than `most_bytes` uncompressed.
std::optional<std::vector<capnp::word>> decompress(std::string_view body, std::size_t most_bytes);

}  // namespace docklift
