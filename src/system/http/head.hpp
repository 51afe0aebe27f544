// Parser for the heads of HTTP/1.1 messages (RFC 9112). It is strict: ambiguous input is malformed, as it
// could be used for request smuggling. Performs no I/O. Views point into the parsed text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framing/framing.hpp"

namespace docklift::http {

// A header field.
struct Field {
  std::string_view name, value;
};

// The start line and fields of a message.
struct Head {
  std::string_view method, target;  // of a request
  int status = 0;                   // of a response
  int minor = 1;                    // HTTP/1.minor
  std::vector<Field> fields;

  // The value of the field with this name; nullopt if there is none or more than one.
  std::optional<std::string_view> unique(std::string_view name) const;
  bool has(std::string_view name) const;
  // Whether a comma-separated list field, such as Connection, contains this token.
  bool has_token(std::string_view name, std::string_view token) const;
  bool keeps_alive() const;  // whether the connection persists after this message
};

enum class ParseStatus { incomplete, complete, malformed, too_long };
struct ParseResult {
  ParseStatus status = ParseStatus::incomplete;
  std::size_t consumed = 0;  // bytes of the head with its empty line and any blank lines before a request
};
// `limit`: maximum size of the head in bytes.
ParseResult parse_request_head(std::string_view text, std::size_t limit, Head& head);
ParseResult parse_response_head(std::string_view text, std::size_t limit, Head& head);

// How a request's body is framed; nullopt if that is ambiguous.
std::optional<stream::BodyKind> request_body_kind(const Head& head);
// The body of a response. `none`: the response has no body; `to_end`: the body ends with the connection.
struct ResponseBody {
  stream::BodyKind kind;
  bool none = false, to_end = false;
};
// The body of a response to a request with this method; nullopt if its framing is ambiguous.
std::optional<ResponseBody> response_body(const Head& head, std::string_view method);

bool equals_ignore_case(std::string_view a, std::string_view b);  // ASCII
std::string_view trimmed(std::string_view s);                     // without spaces and tabs at its ends
std::optional<double> parse_decimal(std::string_view text);       // unsigned
// Whether a field concerns a single connection only, by its name or because Connection lists it.
bool is_hop_by_hop(std::string_view name, const Head& head);
std::string_view reason_phrase(int status);
// The percent-decoded value of a parameter in the target's query string (`a=1&b=2`); empty if there is none.
std::string query_value(std::string_view target, std::string_view name);

}  // namespace docklift::http
