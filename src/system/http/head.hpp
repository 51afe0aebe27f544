// Heads of HTTP/1.1 messages (RFC 9112), read strictly: what is in doubt is bad, as it could hide another
// message. Pure. Views point into the text that was given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framing/framing.hpp"

namespace docklift::http {

struct Field {
  std::string_view name, value;
};

struct Head {
  std::string_view method, target;  // of a request
  int status = 0;                   // of an answer
  int minor = 1;                    // HTTP/1.minor
  std::vector<Field> fields;

  // The value of the only field of a name; none where there is none or more than one.
  std::optional<std::string_view> only(std::string_view name) const;
  bool has(std::string_view name) const;
  // Whether a list field (Connection) has this word.
  bool lists(std::string_view name, std::string_view word) const;
  bool keeps_alive() const;
};

enum class ParseStatus { incomplete, complete, malformed, too_long };
struct ParseResult {
  ParseStatus status = ParseStatus::incomplete;
  std::size_t used = 0;  // bytes of the head, its empty line included; blank lines ahead of a request too
};
// `limit`: bytes of a head at most.
ParseResult parse_request_head(std::string_view text, std::size_t limit, Head& head);
ParseResult parse_response_head(std::string_view text, std::size_t limit, Head& head);

// How a request's body is told; none: in doubt.
std::optional<stream::BodyKind> request_body_kind(const Head& head);
// Of an answer to `method` with this status: `to_end` where it ends with the connection.
struct ResponseBody {
  stream::BodyKind kind;
  bool none = false, to_end = false;
};
std::optional<ResponseBody> response_body(const Head& head, std::string_view method);

bool same(std::string_view a, std::string_view b);  // names of fields, case aside
std::string_view trimmed(std::string_view s);
std::optional<double> number(std::string_view text);  // decimal, no sign
// Fields that concern one connection only; `listed`: what Connection names.
bool is_hop(std::string_view name, const Head& head);
std::string_view reason(int status);
// The value of a name in a query string (`a=1&b=2`), percent-decoded.
std::string query_value(std::string_view target, std::string_view name);

}  // namespace docklift::http
