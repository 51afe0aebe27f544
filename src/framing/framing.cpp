#include "framing/framing.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace docklift::stream {
namespace {

bool is_token(char c) {
  static constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         others.find(c) != std::string_view::npos;
}
char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }
std::string lowered(std::string_view s) {
  std::string all(s);
  std::ranges::transform(all, all.begin(), lower);
  return all;
}
bool no_controls(std::string_view s) {
  return std::ranges::all_of(s, [](char c) { return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != 0x7f); });
}

}  // namespace

std::optional<BodyKind> body_kind(const std::vector<std::string_view>& lengths,
                                  const std::vector<std::string_view>& codings) {
  if (!codings.empty()) {
    if (!lengths.empty() || codings.size() > 1 || lowered(codings[0]) != "chunked") return std::nullopt;
    return BodyKind{Coding::chunked, 0};
  }
  if (lengths.empty()) return BodyKind{};
  if (lengths.size() > 1) return std::nullopt;
  const auto text = lengths[0];
  if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos) return std::nullopt;
  BodyKind kind{Coding::length, 0};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), kind.length);
  if (failed != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return kind;
}

BodyDecoder::BodyDecoder(BodyKind kind, FramingLimits limits) : kind_(kind), limits_(limits) {
  if (kind.coding == Coding::chunked) at_ = At::size;
  if (kind.coding == Coding::length && kind.length > 0) at_ = At::data, left_ = kind.length;
}

// Lines end with CR LF: a bare one of either is no end to some and one to others.
bool BodyDecoder::line(std::string_view& in, std::size_t limit) {
  while (!in.empty()) {
    const char c = in.front();
    in.remove_prefix(1);
    if (std::exchange(cr_, false)) {
      if (c != '\n') too_long_ = true;
      return true;
    }
    if (c == '\r') {
      cr_ = true;
    } else if (c == '\n' || line_.size() >= limit) {
      too_long_ = true;
      return true;
    } else {
      line_.push_back(c);
    }
  }
  return false;
}

bool BodyDecoder::size_line() {
  const auto text = std::exchange(line_, {});
  const auto digits = std::string_view(text).substr(0, text.find(';'));
  if (too_long_ || digits.empty() || !no_controls(text)) return false;
  if (digits.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos) return false;
  constexpr int kHex = 16;
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), left_, kHex);
  if (failed != std::errc{} || end != digits.data() + digits.size()) return false;
  at_ = left_ > 0 ? At::data : At::trailer;
  return true;
}

bool BodyDecoder::trailer_line() {
  const auto text = std::exchange(line_, {});
  if (too_long_) return false;
  if (text.empty()) {
    at_ = At::done;
    return true;
  }
  trailer_bytes_ += text.size();
  const auto colon = text.find(':');
  if (colon == std::string::npos || colon == 0 || trailers_.size() >= limits_.trailer_fields) return false;
  const auto name = std::string_view(text).substr(0, colon);
  if (!std::ranges::all_of(name, is_token) || !no_controls(text)) return false;
  auto value = std::string_view(text).substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
  trailers_.emplace_back(lowered(name), value);
  return true;
}

BodyDecoder::Step BodyDecoder::next(std::string_view in) {
  const auto whole = in.size();
  const auto step = [&](Status s, std::string_view data = {}) { return Step{s, whole - in.size(), data}; };
  const auto bad = [&] {
    at_ = At::bad;
    return step(Status::bad);
  };
  for (;;) {
    if (at_ == At::done) return step(Status::done);
    if (at_ == At::bad) return bad();
    if (in.empty()) return step(Status::more);
    switch (at_) {
      case At::data: {
        const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, in.size()));
        const auto data = in.substr(0, n);
        in.remove_prefix(n);
        left_ -= n;
        if (left_ == 0) at_ = kind_.coding == Coding::chunked ? At::data_cr : At::done;
        return step(Status::data, data);
      }
      case At::data_cr:
      case At::data_lf: {
        if (in.front() != (at_ == At::data_cr ? '\r' : '\n')) return bad();
        in.remove_prefix(1);
        at_ = at_ == At::data_cr ? At::data_lf : At::size;
        break;
      }
      case At::size:
        if (line(in, limits_.chunk_line) && !size_line()) return bad();
        break;
      case At::trailer:
        if (line(in, limits_.trailer - std::min(limits_.trailer, trailer_bytes_)) && !trailer_line()) return bad();
        break;
      default: return bad();
    }
  }
}

std::string chunk_head(std::size_t bytes) {
  std::array<char, 20> text{};
  constexpr int kHex = 16;
  const auto end = std::to_chars(text.data(), text.data() + text.size(), bytes, kHex).ptr;
  return std::string(text.data(), end) + "\r\n";
}

std::string last_chunk(const Trailers& trailers, const std::vector<std::string>& passed) {
  std::string all = "0\r\n";
  for (const auto& [name, value] : trailers)
    if (std::ranges::find(passed, name) != passed.end()) all += name + ": " + value + "\r\n";
  return all + "\r\n";
}

}  // namespace docklift::stream
