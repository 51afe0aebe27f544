#include "framing_input.hpp"

#include <cstdlib>
#include <string>
#include <vector>

#include "framing/framing.hpp"

namespace docklift::fuzz {
namespace {

using stream::BodyDecoder;
using stream::BodyKind;
using stream::Coding;
using Status = BodyDecoder::Status;

struct Read {
  std::string body;
  Status status = Status::more;
  stream::Trailers trailers;
};

Read read(BodyKind kind, std::string_view text, std::size_t piece) {
  BodyDecoder d(kind);
  Read r;
  for (std::size_t at = 0; r.status == Status::more;) {
    auto part = text.substr(at, piece);
    for (;;) {
      const auto step = d.next(part);
      if (step.used > part.size() || step.data.size() > step.used) std::abort();
      if (step.status == Status::data && step.data.empty()) std::abort();  // it would never end
      if (step.status == Status::more && step.used != part.size()) std::abort();
      part.remove_prefix(step.used);
      at += step.used;
      r.body += step.data;
      r.status = step.status;
      if (step.status != Status::data) break;
    }
    if (at >= text.size()) break;
  }
  if (r.status != Status::bad) r.trailers = d.trailers();
  return r;
}

}  // namespace

void check_framing(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return;
  constexpr std::size_t kSplits = 64;
  const bool chunked = data[0] % 2 == 0;
  const std::size_t piece = 1 + data[0] / 2 % kSplits;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  const BodyKind kind = chunked ? BodyKind{Coding::chunked, 0} : BodyKind{Coding::length, size / 2};
  const auto whole = read(kind, text, text.size() + 1), split = read(kind, text, piece);
  if (whole.status != split.status || whole.body != split.body || whole.trailers != split.trailers) std::abort();
  if (!chunked || whole.status != Status::done) return;
  // Written anew and read again it is the same.
  std::string again;
  if (!whole.body.empty()) again = stream::chunk_head(whole.body.size()) + whole.body + "\r\n";
  std::vector<std::string> names;
  for (const auto& [name, value] : whole.trailers) names.push_back(name);
  again += stream::last_chunk(whole.trailers, names);
  const auto second = read(kind, again, piece);
  if (second.status != Status::done || second.body != whole.body || second.trailers != whole.trailers) std::abort();
}

}  // namespace docklift::fuzz
