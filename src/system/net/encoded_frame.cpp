#include "system/net/encoded_frame.hpp"

#include <zstd.h>

#include <cstring>

namespace docklift {
namespace {

constexpr int kCompressionLevel = 1;  // the fastest: hundreds of peers wait while a registry encodes
constexpr std::size_t kMinCompressedBytes = 512;  // compression hardly shrinks shorter messages
constexpr std::uint32_t kCompressedFlag = 1u << 31;

struct FreeCompressor {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct FreeDecompressor {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

void put_header(std::string& frame, std::uint32_t value) {
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) frame[i] = static_cast<char>((value >> (8 * i)) & 0xff);
}

}  // namespace

FrameHeader read_frame_header(const unsigned char (&header)[kFrameHeaderBytes]) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
    value |= static_cast<std::uint32_t>(header[i]) << (8 * i);
  return {value & ~kCompressedFlag, (value & kCompressedFlag) != 0};
}

EncodedFrame::EncodedFrame(capnp::MessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  plain_.resize(kFrameHeaderBytes + bytes.size());
  put_header(plain_, static_cast<std::uint32_t>(bytes.size()));
  std::memcpy(plain_.data() + kFrameHeaderBytes, bytes.begin(), bytes.size());
}

const std::string& EncodedFrame::shortest() const {
  const auto body = std::string_view(plain_).substr(kFrameHeaderBytes);
  if (body.size() < kMinCompressedBytes) return plain_;
  if (!compressed_) {
    thread_local const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
    std::string out(kFrameHeaderBytes + ZSTD_compressBound(body.size()), '\0');
    const auto size = ZSTD_compressCCtx(context.get(), out.data() + kFrameHeaderBytes,
                                        out.size() - kFrameHeaderBytes, body.data(), body.size(),
                                        kCompressionLevel);
    const bool shorter = ZSTD_isError(size) == 0 && size < body.size();
    out.resize(shorter ? kFrameHeaderBytes + size : 0);
    if (shorter) put_header(out, static_cast<std::uint32_t>(size) | kCompressedFlag);
    out.shrink_to_fit();
    compressed_ = std::move(out);
  }
  return compressed_->empty() ? plain_ : *compressed_;
}

std::optional<std::vector<capnp::word>> decompress(std::string_view body, std::size_t max_bytes) {
  const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) return std::nullopt;
  if (size == 0 || size > max_bytes || size % sizeof(capnp::word) != 0) return std::nullopt;
  thread_local const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
  std::vector<capnp::word> words(size / sizeof(capnp::word));
  const auto read = ZSTD_decompressDCtx(context.get(), words.data(), size, body.data(), body.size());
  if (ZSTD_isError(read) != 0 || read != size) return std::nullopt;
  return words;
}

}  // namespace docklift
