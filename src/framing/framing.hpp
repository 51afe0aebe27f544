// Where a body of HTTP/1.1 ends (RFC 9112), piece by piece and without I/O. What is in doubt is refused, as what is passed on
// could hide another message: bare LF, blanks about a chunk's size, sizes past 64 bits, lines without end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace docklift::stream {

enum class Coding { none, length, chunked };
struct BodyKind {
  Coding coding = Coding::none;
  std::uint64_t length = 0;  // bytes, where that is told
};

// By the header fields that say so, each with all its values. None: in doubt (two lengths, length and chunked, a coding that
// is not "chunked" alone, no number).
std::optional<BodyKind> body_kind(const std::vector<std::string_view>& lengths,
                                  const std::vector<std::string_view>& codings);

struct FramingLimits {
  std::size_t chunk_line = 128;  // bytes of a line that tells a chunk's size, with extensions (which are dropped)
  std::size_t trailer = 4096;    // bytes of all trailer fields
  std::size_t trailer_fields = 32;
};

using Trailers = std::vector<std::pair<std::string, std::string>>;

class BodyDecoder {
 public:
  explicit BodyDecoder(BodyKind kind = {}, FramingLimits limits = {});

  enum class Status { more, data, done, bad };
  struct Step {
    Status status = Status::more;
    std::size_t used = 0;     // bytes of the input that are done with, those of `data` among them
    std::string_view data{};  // of the body: a part of the input
  };
  // Takes what it can up to the end of one run of data. `more` only when all of the input is used; after `done` nothing is
  // used any more: what is left belongs to the next message.
  Step next(std::string_view in);
  bool done() const { return at_ == At::done; }
  const Trailers& trailers() const { return trailers_; }

 private:
  enum class At { data, size, data_cr, data_lf, trailer, done, bad };
  bool line(std::string_view& in, std::size_t limit);  // one is whole in line_
  bool size_line();
  bool trailer_line();

  BodyKind kind_;
  FramingLimits limits_;
  At at_ = At::done;
  std::uint64_t left_ = 0;  // bytes of the body, or of the chunk
  std::string line_;
  bool cr_ = false, too_long_ = false;
  std::size_t trailer_bytes_ = 0;
  Trailers trailers_;
};

// The line ahead of a chunk of that many bytes (more than none); "\r\n" goes behind its bytes.
std::string chunk_head(std::size_t bytes);
// What ends a chunked body, with those trailers whose names are in `passed` (lower case).
std::string last_chunk(const Trailers& trailers = {}, const std::vector<std::string>& passed = {});

}  // namespace docklift::stream
