#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>

#include "graphql/document.hpp"

namespace docklift::graphql {

namespace {

constexpr bool name_start(char c) { return c == '_' || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
constexpr bool digit(char c) { return c >= '0' && c <= '9'; }
constexpr auto kNamePart = [] {
  std::array<bool, 256> all{};
  for (int c = 0; c < 128; ++c)
    all[static_cast<std::size_t>(c)] = name_start(static_cast<char>(c)) || digit(static_cast<char>(c));
  return all;
}();
bool name_part(char c) { return kNamePart[static_cast<unsigned char>(c)]; }

int hex(char c) {
  if (digit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

void append_utf8(std::string& out, std::uint32_t c) {
  const auto byte = [&](std::uint32_t b) { out += static_cast<char>(b); };
  if (c < 0x80) return byte(c);
  if (c < 0x800) return byte(0xC0 | (c >> 6U)), byte(0x80 | (c & 0x3FU));
  if (c < 0x10000) return byte(0xE0 | (c >> 12U)), byte(0x80 | ((c >> 6U) & 0x3FU)), byte(0x80 | (c & 0x3FU));
  byte(0xF0 | (c >> 18U)), byte(0x80 | ((c >> 12U) & 0x3FU)), byte(0x80 | ((c >> 6U) & 0x3FU)),
      byte(0x80 | (c & 0x3FU));
}

std::string shown(char c) {
  const auto byte = static_cast<unsigned char>(c);
  if (byte >= 0x20 && byte < 0x7F) return std::string("\"") + c + "\"";
  char text[8];
  std::snprintf(text, sizeof text, "U+%04X", byte);
  return text;
}

}  // namespace

bool valid_utf8(std::string_view s) {
  for (std::size_t i = 0; i < s.size();) {
    if (i + 8 <= s.size()) {  // most texts are ASCII
      std::uint64_t eight = 0;
      std::memcpy(&eight, s.data() + i, 8);
      if ((eight & 0x8080808080808080U) == 0) {
        i += 8;
        continue;
      }
    }
    const auto c = static_cast<unsigned char>(s[i]);
    const std::size_t n = c < 0x80                ? 1
                          : c >= 0xC2 && c < 0xE0 ? 2
                          : c >= 0xE0 && c < 0xF0 ? 3
                          : c >= 0xF0 && c < 0xF5 ? 4
                                                  : 0;
    if (n == 0 || i + n > s.size()) return false;
    for (std::size_t k = 1; k < n; ++k)
      if ((static_cast<unsigned char>(s[i + k]) & 0xC0U) != 0x80) return false;
    const auto second = n > 1 ? static_cast<unsigned char>(s[i + 1]) : 0;
    // Longer than need be, surrogates, beyond U+10FFFF.
    if ((c == 0xE0 && second < 0xA0) || (c == 0xED && second > 0x9F) || (c == 0xF0 && second < 0x90) ||
        (c == 0xF4 && second > 0x8F))
      return false;
    i += n;
  }
  return true;
}

void Lexer::advance(std::size_t bytes) {
  for (const char c : text_.substr(at_, bytes))
    if ((static_cast<unsigned char>(c) & 0xC0U) != 0x80) ++column_;
  at_ += bytes;
}

void Lexer::skip_ignored() {
  for (;;) {
    const char c = peek();
    if (at_ >= text_.size()) return;
    if (c == '\n' || c == '\r') {
      at_ += c == '\r' && peek(1) == '\n' ? 2 : 1;
      ++line_, column_ = 1;
    } else if (c == ' ' || c == '\t' || c == ',') {
      ++at_, ++column_;
    } else if (c == '\xEF' && text_.substr(at_, 3) == "\xEF\xBB\xBF") {
      advance(3);
    } else if (c == '#') {
      const auto end = std::min(text_.find_first_of("\r\n", at_), text_.size());
      advance(end - at_);
    } else {
      return;
    }
  }
}

Token Lexer::wrong(Location at, std::string why) {
  why_ = std::move(why);
  return {TokenKind::wrong, {}, at, 0};
}

Token Lexer::next() {
  skip_ignored();
  const auto at = here();
  if (at_ >= text_.size()) return {TokenKind::end, {}, at, 0};
  const char c = peek();
  const auto take = [&](TokenKind kind, std::size_t n) {
    const auto text = text_.substr(at_, n);
    advance(n);
    return Token{kind, text, at, 0};
  };
  if (name_start(c)) {
    const auto* const begin = text_.data() + at_;
    const auto* const end = text_.data() + text_.size();
    const auto* to = begin;
    auto hash = kHashBegin;
    for (; to != end && name_part(*to); ++to) hash = hashed(hash, *to);
    const auto n = static_cast<std::size_t>(to - begin);
    at_ += n, column_ += static_cast<std::uint32_t>(n);  // a name is ASCII
    return {TokenKind::name, {begin, n}, at, hash};
  }
  if (digit(c) || c == '-') return number(at);
  if (c == '"') return text_.substr(at_, 3) == "\"\"\"" ? block_string(at) : string(at);
  if (c == '.') {
    if (text_.substr(at_, 3) == "...") return take(TokenKind::punctuator, 3);
    return wrong(at, "Unexpected \".\"");
  }
  if (std::string_view("!$&()=:@[]{|}").find(c) != std::string_view::npos) {
    const auto text = text_.substr(at_, 1);
    ++at_, ++column_;
    return {TokenKind::punctuator, text, at, 0};
  }
  return wrong(at, "Unexpected character " + shown(c));
}

Token Lexer::number(Location at) {
  std::size_t n = peek() == '-' ? 1 : 0;
  bool real = false;
  if (!digit(peek(n))) return wrong(at, "A number needs a digit after \"-\"");
  if (peek(n) == '0') {
    ++n;
    if (digit(peek(n))) return wrong(at, "A number has no leading zeros");
  } else {
    while (digit(peek(n))) ++n;
  }
  const auto digits = [&] {
    if (!digit(peek(n))) return false;
    while (digit(peek(n))) ++n;
    return true;
  };
  if (peek(n) == '.') {
    real = true;
    ++n;
    if (!digits()) return wrong(at, "A number needs a digit after \".\"");
  }
  if (peek(n) == 'e' || peek(n) == 'E') {
    real = true;
    ++n;
    if (peek(n) == '+' || peek(n) == '-') ++n;
    if (!digits()) return wrong(at, "A number needs a digit in its exponent");
  }
  if (name_start(peek(n)) || peek(n) == '.')
    return wrong(at, "A number may not be followed by " + shown(peek(n)));
  const auto text = text_.substr(at_, n);
  advance(n);
  return {real ? TokenKind::real : TokenKind::integer, text, at, 0};
}

Token Lexer::string(Location at) {
  std::size_t n = 1;
  for (;; ++n) {
    if (at_ + n >= text_.size()) return wrong(at, "Unterminated string");
    const char c = peek(n);
    if (c == '"') break;
    if (c == '\n' || c == '\r') return wrong(at, "Unterminated string");
    if (static_cast<unsigned char>(c) < 0x20 && c != '\t')
      return wrong(at, "Character " + shown(c) + " in a string");
    if (c == '\\') ++n;
  }
  const auto text = text_.substr(at_ + 1, n - 1);
  advance(n + 1);
  return {TokenKind::string, text, at, 0};
}

Token Lexer::block_string(Location at) {
  const auto begin = at_ + 3;
  advance(3);
  for (;;) {
    if (at_ >= text_.size()) return wrong(at, "Unterminated block string");
    if (text_.substr(at_, 4) == "\\\"\"\"") {
      advance(4);
    } else if (text_.substr(at_, 3) == "\"\"\"") {
      const auto text = text_.substr(begin, at_ - begin);
      advance(3);
      return {TokenKind::block_string, text, at, 0};
    } else if (peek() == '\n' || peek() == '\r') {
      at_ += peek() == '\r' && peek(1) == '\n' ? 2 : 1;
      ++line_, column_ = 1;
    } else if (static_cast<unsigned char>(peek()) < 0x20 && peek() != '\t') {
      return wrong(at, "Character " + shown(peek()) + " in a block string");
    } else {
      advance(1);
    }
  }
}

bool unescape(std::string_view text, std::string& value, std::string& why) {
  value.clear();
  value.reserve(text.size());
  const auto four = [&](std::size_t at) -> std::int64_t {
    std::uint32_t c = 0;
    if (at + 4 > text.size()) return -1;
    for (std::size_t i = at; i < at + 4; ++i) {
      const int h = hex(text[i]);
      if (h < 0) return -1;
      c = c * 16 + static_cast<std::uint32_t>(h);
    }
    return c;
  };
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\') {
      value += text[i];
      continue;
    }
    const char c = ++i < text.size() ? text[i] : '\0';
    constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
    if (const auto at = kFrom.find(c); c != '\0' && at != std::string_view::npos) {
      value += kTo[at];
      continue;
    }
    if (c != 'u') return why = "Invalid escape in a string", false;
    std::int64_t point = -1;
    if (i + 1 < text.size() && text[i + 1] == '{') {  // \u{1F37A}: of the draft after 2021, and harmless
      const auto end = text.find('}', i);
      if (end == std::string_view::npos || end == i + 2 || end > i + 8)
        return why = "Invalid Unicode escape", false;
      point = 0;
      for (auto k = i + 2; k < end; ++k) {
        const int h = hex(text[k]);
        if (h < 0) return why = "Invalid Unicode escape", false;
        point = point * 16 + h;
      }
      i = end;
    } else {
      point = four(i + 1);
      if (point < 0) return why = "Invalid Unicode escape", false;
      i += 4;
      if (point >= 0xD800 && point < 0xDC00) {  // a pair
        const auto low = text.substr(i + 1, 2) == "\\u" ? four(i + 3) : -1;
        if (low < 0xDC00 || low > 0xDFFF) return why = "Lone surrogate in a string", false;
        point = 0x10000 + ((point - 0xD800) << 10) + (low - 0xDC00);
        i += 6;
      }
    }
    if (point > 0x10FFFF || (point >= 0xD800 && point <= 0xDFFF))
      return why = "Lone surrogate in a string", false;
    append_utf8(value, static_cast<std::uint32_t>(point));
  }
  return true;
}

std::string block_value(std::string_view raw) {
  std::vector<std::string_view> lines;
  for (std::size_t at = 0;;) {
    const auto end = raw.find_first_of("\r\n", at);
    lines.push_back(raw.substr(at, end == std::string_view::npos ? end : end - at));
    if (end == std::string_view::npos) break;
    at = end + (raw.substr(end, 2) == "\r\n" ? 2 : 1);
  }
  const auto indent_of = [](std::string_view line) {
    return std::min(line.find_first_not_of(" \t"), line.size());
  };
  std::size_t common = std::string_view::npos;
  for (std::size_t i = 1; i < lines.size(); ++i)
    if (const auto n = indent_of(lines[i]); n < lines[i].size()) common = std::min(common, n);
  if (common != std::string_view::npos)
    for (std::size_t i = 1; i < lines.size(); ++i) lines[i].remove_prefix(std::min(common, lines[i].size()));
  const auto blank = [&](std::string_view line) { return indent_of(line) == line.size(); };
  std::size_t first = 0, last = lines.size();
  while (first < last && blank(lines[first])) ++first;
  while (last > first && blank(lines[last - 1])) --last;
  std::string value;
  for (auto i = first; i < last; ++i) {
    if (i > first) value += '\n';
    value += lines[i];
  }
  for (std::size_t at = 0; (at = value.find("\\\"\"\"", at)) != std::string::npos; at += 3)
    value.erase(at, 1);
  return value;
}

}  // namespace docklift::graphql
