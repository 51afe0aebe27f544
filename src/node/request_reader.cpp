#include "request_reader.hpp"

#include <algorithm>
#include <charconv>

#include "facts.hpp"

namespace snowknot {

void bad(const std::string& what) { throw BadRequest(http::status::bad_request, what); }

namespace {

using std::string_view;

template <class Number>
Number whole(string_view text, const char* what, int base = 10) {
  Number n{};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (failed != std::errc{} || end != text.data() + text.size()) bad(std::string(what) + " is not a number");
  return n;
}

// Digits and at most one point: no sign, no exponent, no name of a number.
double decimal(string_view text, const char* what) {
  double n = 0;
  const auto plain = text.find_first_not_of("0123456789.") == string_view::npos;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n,
                                             std::chars_format::fixed);
  if (!plain || failed != std::errc{} || end != text.data() + text.size())
    bad(std::string(what) + " is not a number");
  return n;
}

bool visible(string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

string_view trimmed(string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

// The value under a key in a list of key=value pairs.
std::optional<string_view> pair_value(string_view list, char separator, string_view key) {
  while (!list.empty()) {
    const auto part = trimmed(list.substr(0, list.find(separator)));
    list.remove_prefix(std::min(list.size(), list.find(separator)));
    if (!list.empty()) list.remove_prefix(1);
    if (const auto eq = part.find('='); eq != string_view::npos && part.substr(0, eq) == key)
      return part.substr(eq + 1);
  }
  return std::nullopt;
}

using Fields = RequestHead;

string_view header(const Fields& f, string_view name) {
  const auto [first, last] = f.equal_range({name.data(), name.size()});
  if (first == last) bad(std::string(name) + " is missing");
  if (std::next(first) != last) bad(std::string(name) + " stands there twice");
  const auto v = first->value();
  if (v.empty()) bad(std::string(name) + " is empty");
  return {v.data(), v.size()};
}

template <class Named>
std::uint32_t index_of(const std::vector<Named>& all, string_view name, const char* what) {
  const auto it = std::ranges::find(all, name, &Named::name);
  if (it == all.end()) bad(std::string(what) + " is unknown");
  return static_cast<std::uint32_t>(it - all.begin());
}

CustomerId customer(const Fields& f) {
  const auto value = pair_value(header(f, "Cookie"), ';', "client");
  if (!value || value->size() != facts::kCustomerDigits) bad("the cookie names no client");
  const auto n = whole<std::uint64_t>(*value, "the cookie's client", 16);
  if (n >= facts::kCustomersBelow) bad("the cookie's client is out of range");
  return CustomerId(n);
}

void read_quota(const Fields& f, const Settings& s, Arrival& a) {
  const auto list = header(f, "X-Quota");
  const auto part = [&](const char* key) {
    const auto value = pair_value(list, ',', key);
    if (!value) bad(std::string("X-Quota has no ") + key);
    return *value;
  };
  a.units = decimal(part("units"), "X-Quota units");
  if (!(a.units > 0 && a.units <= s.max_units)) bad("X-Quota units is out of range");
  a.gateways = whole<std::uint32_t>(part("spread"), "X-Quota spread");
  if (a.gateways == 0 || a.gateways > s.fleet_size) bad("X-Quota spread is out of range");
  if (whole<std::uint32_t>(part("first"), "X-Quota first") >= s.fleet_size) bad("X-Quota first");
}

}  // namespace

string_view first_part(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Of the requests that are counted: those for the path of a class.
std::optional<ClassIndex> class_of(string_view target, const Settings& s) {
  const auto it = std::ranges::find(s.classes, first_part(target), &RequestClass::name);
  if (it == s.classes.end()) return std::nullopt;
  return ClassIndex(static_cast<std::uint32_t>(it - s.classes.begin()));
}

// Of a request for another protocol's path: who asks, and until when.
FrontRequest read_front_request(Fields& f, const Settings& s, Time began) {
  FrontRequest r;
  r.target = f.target();
  r.plan = PlanIndex(index_of(s.plans, header(f, "X-Plan"), "the plan"));
  r.customer = customer(f);
  const auto timeout = whole<std::uint64_t>(header(f, "X-Timeout-Ms"), "X-Timeout-Ms");
  if (timeout == 0 || timeout > facts::kMostTimeoutMs) bad("X-Timeout-Ms is out of range");
  r.began = began, r.deadline = began + std::chrono::milliseconds(timeout);
  if (f.count("X-Quota") > 0) {
    const auto spread = pair_value(header(f, "X-Quota"), ',', "spread");
    if (!spread) bad("X-Quota has no spread");
    r.gateways = whole<std::uint32_t>(*spread, "X-Quota spread");
    if (r.gateways == 0 || r.gateways > s.fleet_size) bad("X-Quota spread is out of range");
  }
  if (f.count("X-Retried") > 0) {
    if (header(f, "X-Retried") != "1") bad("X-Retried is not 1");
    r.is_retry = true;
  }
  r.id = header(f, "X-Request-ID");
  if (r.id.size() > facts::kMostId || !visible(r.id)) bad("X-Request-ID is too long or can't be read");
  if (f.count("Idempotency-Key") > 0) r.key = header(f, "Idempotency-Key");
  if (r.key.size() > facts::kMostId || !visible(r.key)) bad("Idempotency-Key is too long or can't be read");
  if (f.count("X-Docklift-Cost") > 0) {
    if (header(f, "X-Docklift-Cost") != "dry-run") bad("X-Docklift-Cost is not dry-run");
    r.dry_run = true;
  }
  r.method = f.method();
  r.content_type = f[http::field::content_type];
  r.accept = f[http::field::accept];
  r.body = std::move(f.body());
  return r;
}

// `longest`: for one that is streamed, in place of its class's deadline.
ClientRequest read_request(Fields& f, const Settings& s, Time began, std::optional<Duration> longest) {
  ClientRequest r;
  const string_view target(f.target().data(), f.target().size());
  const auto path_class = first_part(target);
  if (std::ranges::find(s.classes, path_class, &RequestClass::name) == s.classes.end())
    throw BadRequest(http::status::not_found, "no such path");
  auto& a = r.arrival;
  const auto cls = index_of(s.classes, header(f, "X-Priority-Class"), "the class");
  if (s.classes[cls].name != path_class) bad("the path and X-Priority-Class differ");
  a.request_class = ClassIndex(cls);
  a.plan = PlanIndex(index_of(s.plans, header(f, "X-Plan"), "the plan"));
  a.customer = customer(f);
  const auto timeout = whole<std::uint64_t>(header(f, "X-Timeout-Ms"), "X-Timeout-Ms");
  if (timeout == 0 || timeout > facts::kMostTimeoutMs) bad("X-Timeout-Ms is out of range");
  const Duration wait = std::chrono::milliseconds(timeout);
  r.deadline = began + std::min(wait, longest.value_or(s.classes[cls].deadline));  // nobody waits longer than that
  read_quota(f, s, a);
  if (f.count("X-Retried") > 0) {
    if (header(f, "X-Retried") != "1") bad("X-Retried is not 1");
    a.is_retry = true;
  }
  r.id = header(f, "X-Request-ID");
  if (r.id.size() > facts::kMostId || !visible(r.id)) bad("X-Request-ID is too long or can't be read");
  const auto effect = s.classes[cls].effect;
  const bool keyed = f.count("Idempotency-Key") > 0;
  if (f.method() != (effect == Effect::safe ? http::verb::get : http::verb::post))
    throw BadRequest(http::status::method_not_allowed, "the method does not go with the class");
  if (keyed != (effect == Effect::keyed)) bad("Idempotency-Key does not go with the class");
  if (keyed) r.key = header(f, "Idempotency-Key");
  if (r.key.size() > facts::kMostId || !visible(r.key)) bad("Idempotency-Key is too long or can't be read");
  if (effect == Effect::safe && !f.body().empty()) bad("a body does not go with the class");
  r.method = f.method();
  r.target = target;
  if (const auto it = f.find(http::field::content_type); it != f.end()) r.content_type = it->value();
  r.body = std::move(f.body());
  return r;
}

// Where a message ends must not be in doubt: what is passed on could hide another request. Beast refuses most
// of that itself; these are the forms that it lets through.
void check_framing(const Fields& f) {
  const auto codings = f.count(http::field::transfer_encoding),
             lengths = f.count(http::field::content_length);
  if (codings > 0 && lengths > 0) bad("Content-Length and Transfer-Encoding");
  if (codings > 1 || (codings == 1 && !boost::beast::iequals(f[http::field::transfer_encoding], "chunked")))
    bad("Transfer-Encoding is not chunked");
  const auto length = f[http::field::content_length];
  if (lengths > 1 || length.find_first_not_of("0123456789") != string_view::npos ||
      lengths != !length.empty())
    bad("Content-Length is not a number");
  if (f.version() != 11 && (f.version() != 10 || codings > 0)) bad("the version of HTTP");
}

}  // namespace snowknot
