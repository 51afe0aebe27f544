#include "system/http/head.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace docklift::http {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

constexpr std::array<bool, 256> token_characters() {
  std::array<bool, 256> t{};
  for (const char c : std::string_view("!#$%&'*+-.^_`|~")) t[static_cast<unsigned char>(c)] = true;
  for (int c = '0'; c <= '9'; ++c) t[static_cast<std::size_t>(c)] = true;
  for (int c = 'a'; c <= 'z'; ++c) t[static_cast<std::size_t>(c)] = true;
  for (int c = 'A'; c <= 'Z'; ++c) t[static_cast<std::size_t>(c)] = true;
  return t;
}
constexpr auto kTokenCharacters = token_characters();

bool is_token(std::string_view s) {
  return !s.empty() &&
         std::ranges::all_of(s, [](char c) { return kTokenCharacters[static_cast<unsigned char>(c)]; });
}
bool is_visible(std::string_view s) {
  return !s.empty() && std::ranges::all_of(s, [](char c) { return c > ' ' && c != 0x7f; });
}

std::optional<int> minor_version(std::string_view version) {
  if (version == "HTTP/1.1") return 1;
  if (version == "HTTP/1.0") return 0;
  return std::nullopt;
}

bool read_fields(std::string_view text, Head& head) {
  while (!text.empty()) {
    const auto end = text.find("\r\n");
    if (end == std::string_view::npos) return false;
    const auto line = text.substr(0, end);
    text.remove_prefix(end + 2);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return false;
    const Field f{line.substr(0, colon), trimmed(line.substr(colon + 1))};
    if (!is_token(f.name)) return false;
    for (const char c : f.value)
      if ((static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f) return false;
    head.fields.push_back(f);
  }
  return true;
}

// Finds the end of a head in the text.
ParseResult find_end(std::string_view text, std::size_t skipped, std::size_t limit) {
  const auto end = text.find("\r\n\r\n", skipped);
  if (end == std::string_view::npos)
    return {text.size() - skipped > limit ? ParseStatus::too_long : ParseStatus::incomplete, 0};
  if (end + 4 - skipped > limit) return {ParseStatus::too_long, 0};
  return {ParseStatus::complete, end + 4};
}

}  // namespace

std::string_view trimmed(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool equals_ignore_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> Head::unique(std::string_view name) const {
  std::optional<std::string_view> found;
  for (const auto& f : fields) {
    if (!equals_ignore_case(f.name, name)) continue;
    if (found) return std::nullopt;
    found = f.value;
  }
  return found;
}

bool Head::has(std::string_view name) const {
  return std::ranges::any_of(fields, [&](const Field& f) { return equals_ignore_case(f.name, name); });
}

bool Head::has_token(std::string_view name, std::string_view token) const {
  for (const auto& f : fields) {
    if (!equals_ignore_case(f.name, name)) continue;
    auto rest = f.value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      if (equals_ignore_case(trimmed(rest.substr(0, comma)), token)) return true;
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return false;
}

bool Head::keeps_alive() const {
  if (has_token("Connection", "close")) return false;
  return minor == 1 || has_token("Connection", "keep-alive");
}

ParseResult parse_request_head(std::string_view text, std::size_t limit, Head& head) {
  std::size_t skipped = 0;
  while (text.substr(skipped).starts_with("\r\n")) skipped += 2;
  const auto found = find_end(text, skipped, limit);
  if (found.status != ParseStatus::complete) return found;
  const auto all = text.substr(skipped, found.consumed - skipped - 2);
  const auto line_end = all.find("\r\n");
  const auto line = all.substr(0, line_end);
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return {ParseStatus::malformed, 0};
  head = {};
  head.method = line.substr(0, first), head.target = line.substr(first + 1, last - first - 1);
  const auto minor = minor_version(line.substr(last + 1));
  if (!minor || !is_token(head.method) || !is_visible(head.target) || head.target.front() != '/')
    return {ParseStatus::malformed, 0};
  head.minor = *minor;
  if (!read_fields(all.substr(line_end + 2), head)) return {ParseStatus::malformed, 0};
  return found;
}

ParseResult parse_response_head(std::string_view text, std::size_t limit, Head& head) {
  const auto found = find_end(text, 0, limit);
  if (found.status != ParseStatus::complete) {
    // Bytes that can't begin a response are rejected without waiting for more.
    const auto prefix = text.substr(0, 7);
    if (!std::string_view("HTTP/1.").starts_with(prefix)) return {ParseStatus::malformed, 0};
    return found;
  }
  const auto all = text.substr(0, found.consumed - 2);
  const auto line_end = all.find("\r\n");
  const auto line = all.substr(0, line_end);
  if (line.size() < 12 || line[8] != ' ' || (line.size() > 12 && line[12] != ' '))
    return {ParseStatus::malformed, 0};
  const auto minor = minor_version(line.substr(0, 8));
  const auto digits = line.substr(9, 3);
  if (!minor || digits.find_first_not_of("0123456789") != std::string_view::npos)
    return {ParseStatus::malformed, 0};
  head = {};
  head.minor = *minor;
  std::from_chars(digits.data(), digits.data() + 3, head.status);
  if (head.status < 100 || !read_fields(all.substr(line_end + 2), head)) return {ParseStatus::malformed, 0};
  return found;
}

namespace {
std::optional<stream::BodyKind> declared_body_kind(const Head& head) {
  std::vector<std::string_view> lengths;
  std::vector<std::string_view> codings;
  for (const auto& f : head.fields) {
    if (equals_ignore_case(f.name, "Content-Length")) lengths.push_back(f.value);
    if (equals_ignore_case(f.name, "Transfer-Encoding")) codings.push_back(f.value);
  }
  return stream::body_kind(lengths, codings);
}
}  // namespace

std::optional<stream::BodyKind> request_body_kind(const Head& head) {
  const auto kind = declared_body_kind(head);
  if (kind && kind->coding == stream::Coding::chunked && head.minor == 0) return std::nullopt;
  return kind;
}

std::optional<ResponseBody> response_body(const Head& head, std::string_view method) {
  const auto kind = declared_body_kind(head);
  if (!kind) return std::nullopt;
  ResponseBody b{*kind};
  b.none = method == "HEAD" || head.status == 204 || head.status == 304 || head.status < 200;
  if (b.none) b.kind = {};
  b.to_end = !b.none && b.kind.coding == stream::Coding::none;
  return b;
}

std::optional<double> parse_decimal(std::string_view text) {
  double n = 0;
  if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos) return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n,
                                            std::chars_format::fixed);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}

bool is_hop_by_hop(std::string_view name, const Head& head) {
  static constexpr std::string_view kHopByHopFields[] = {
      "Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
      "Content-Length", "Expect"};
  for (const auto field : kHopByHopFields)
    if (equals_ignore_case(name, field)) return true;
  return head.has_token("Connection", name);
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 307: return "Temporary Redirect";
    case 400: return "Bad Request";
    case 401: return "Unauthorized";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 412: return "Precondition Failed";
    case 413: return "Content Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 500: return "Internal Server Error";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Answer";
  }
}

std::string query_value(std::string_view target, std::string_view name) {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) return {};
  auto rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const auto parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
    const auto eq = parameter.find('=');
    if (parameter.substr(0, eq) != name || eq == std::string_view::npos) continue;
    std::string out;
    const auto text = parameter.substr(eq + 1);
    for (std::size_t i = 0; i < text.size(); ++i) {
      unsigned code = 0;
      if (text[i] == '%' && i + 2 < text.size() &&
          std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
        out.push_back(static_cast<char>(code));
        i += 2;
      } else {
        out.push_back(text[i] == '+' ? ' ' : text[i]);
      }
    }
    return out;
  }
  return {};
}

}  // namespace docklift::http
