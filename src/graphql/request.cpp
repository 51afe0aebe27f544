#include "graphql/request.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#ifdef DOCKLIFT_WITH_SHA256
#include <openssl/evp.h>
#endif

namespace docklift::graphql {

using nlohmann::json;

namespace {

Error error(std::string message, std::string code) { return {std::move(message), {}, {}, std::move(code)}; }

std::string lower(std::string_view text) {
  std::string out(text);
  std::ranges::transform(out, out.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

Constant constant_of_json(const json& j) {
  switch (j.type()) {
    case json::value_t::boolean: return {ValueKind::boolean, j.get<bool>() ? "true" : "false", {}, {}};
    case json::value_t::number_integer:
    case json::value_t::number_unsigned: return {ValueKind::integer, j.dump(), {}, {}};
    case json::value_t::number_float: {
      // 3.0 is an integer too, as the specification lets input coercion have it.
      const double n = j.get<double>();
      if (n == std::floor(n) && std::abs(n) < 1e15)
        return {ValueKind::integer, std::to_string(static_cast<std::int64_t>(n)), {}, {}};
      return {ValueKind::real, j.dump(), {}, {}};
    }
    case json::value_t::string: return {ValueKind::string, j.get<std::string>(), {}, {}};
    case json::value_t::array: {
      Constant c{ValueKind::list, {}, {}, {}};
      for (const auto& i : j) c.items.push_back(constant_of_json(i));
      return c;
    }
    case json::value_t::object: {
      Constant c{ValueKind::object, {}, {}, {}};
      for (const auto& [name, value] : j.items()) c.fields.emplace_back(name, constant_of_json(value));
      return c;
    }
    default: return {};
  }
}

std::optional<std::string> percent_decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out += ' ';
    } else if (text[i] == '%') {
      const auto hex = [](char c) {
        return c >= '0' && c <= '9'   ? c - '0'
               : c >= 'a' && c <= 'f' ? c - 'a' + 10
               : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                      : -1;
      };
      if (i + 2 >= text.size() || hex(text[i + 1]) < 0 || hex(text[i + 2]) < 0) return std::nullopt;
      out += static_cast<char>(hex(text[i + 1]) * 16 + hex(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

bool depth_within(std::string_view text, std::size_t most) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if ((c == '[' || c == '{') && ++depth > most) {
      return false;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

// One call from its JSON object.
Call call_of(const json& j) {
  Call c;
  const auto wrong = [&](const std::string& what) { c.errors.push_back(error(what, "BAD_REQUEST")); };
  if (!j.is_object()) return wrong("A GraphQL request must be a JSON object."), c;
  const auto text = [&](const char* name, std::string& to) {
    const auto it = j.find(name);
    if (it == j.end() || it->is_null()) return;
    if (!it->is_string()) return wrong(std::string("\"") + name + "\" must be a string.");
    to = it->get<std::string>();
  };
  text("query", c.query);
  text("operationName", c.operation);
  if (const auto it = j.find("variables"); it != j.end() && !it->is_null()) {
    if (!it->is_object()) {
      wrong("\"variables\" must be a JSON object.");
    } else {
      for (const auto& [name, value] : it->items()) c.variables[name] = constant_of_json(value);
      c.variables_json = it->dump();
    }
  }
  if (const auto it = j.find("extensions"); it != j.end() && !it->is_null()) {
    if (!it->is_object()) {
      wrong("\"extensions\" must be a JSON object.");
    } else if (const auto p = it->find("persistedQuery"); p != it->end()) {
      if (!p->is_object() || !p->contains("sha256Hash") || !(*p)["sha256Hash"].is_string() ||
          p->value("version", json(1)) != 1)
        wrong("\"extensions.persistedQuery\" must have version 1 and a sha256Hash.");
      else
        c.hash = lower((*p)["sha256Hash"].get<std::string>());
    }
  }
  if (c.errors.empty() && c.query.empty() && c.hash.empty())
    wrong("A GraphQL request must have a \"query\".");
  return c;
}

}  // namespace

Decoded decode(const HttpRequest& r, const RequestLimits& limits) {
  Decoded d;
  const auto accept = lower(r.accept);
  // Without an Accept header the older media type stands, as the specification asks of servers until 2025 and most still do.
  d.response_json = accept.find("application/graphql-response+json") != std::string::npos;
  const auto refuse = [&](int status, const std::string& why) {
    d.status = status;
    d.calls.clear();
    d.errors.push_back(error(why, "BAD_REQUEST"));
    return d;
  };
  const auto parse = [&](std::string_view text, json& to) {
    if (!valid_utf8(text) || !depth_within(text, limits.json_depth)) return false;
    to = json::parse(text, nullptr, false);
    return !to.is_discarded();
  };
  if (r.method == "GET") {
    d.get = true;
    json j = json::object();
    const auto question = r.target.find('?');
    std::string_view rest = question == std::string::npos ? std::string_view()
                                                          : std::string_view(r.target).substr(question + 1);
    while (!rest.empty()) {
      const auto end = std::min(rest.find('&'), rest.size());
      const auto pair = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      const auto equals = std::min(pair.find('='), pair.size());
      const auto name = percent_decoded(pair.substr(0, equals));
      const auto value = percent_decoded(pair.substr(std::min(equals + 1, pair.size())));
      if (!name || !value) return refuse(400, "The query string can't be read.");
      if (*name == "variables" || *name == "extensions") {
        json inner;
        if (!parse(*value, inner)) return refuse(400, "\"" + *name + "\" is not JSON.");
        j[*name] = std::move(inner);
      } else if (*name == "query" || *name == "operationName") {
        if (!valid_utf8(*value)) return refuse(400, "The query string is not UTF-8.");
        j[*name] = *value;
      }
    }
    d.calls.push_back(call_of(j));
  } else if (r.method == "POST") {
    const auto type = lower(r.content_type);
    const auto main = type.substr(0, type.find_first_of("; "));
    if (main != "application/json") return refuse(415, "The body must be application/json.");
    if (const auto set = type.find("charset=");
        set != std::string::npos && type.compare(set + 8, 5, "utf-8") != 0)
      return refuse(415, "The body must be UTF-8.");
    json j;
    if (!parse(r.body, j)) return refuse(400, "The body is not JSON.");
    if (j.is_array()) {
      d.batch = true;
      if (j.empty()) return refuse(400, "A batch must not be empty.");
      if (j.size() > limits.batch)
        return refuse(413, "A batch may hold " + std::to_string(limits.batch) + " operations.");
      for (const auto& one : j) d.calls.push_back(call_of(one));
    } else {
      d.calls.push_back(call_of(j));
    }
  } else {
    return refuse(405, "Only GET and POST are known here.");
  }
  if (!d.batch && !d.calls[0].errors.empty()) {
    d.errors = d.calls[0].errors;
    d.status = 400;
    d.calls.clear();
  }
  return d;
}

// ---- Persisted queries -----------------------------------------------------------------------------------------

std::optional<std::string> sha256(std::string_view text) {
#ifdef DOCKLIFT_WITH_SHA256
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned length = 0;
  if (EVP_Digest(text.data(), text.size(), digest, &length, EVP_sha256(), nullptr) != 1) return std::nullopt;
  std::string out;
  constexpr const char* kHex = "0123456789abcdef";
  for (unsigned i = 0; i < length; ++i) out += kHex[digest[i] >> 4U], out += kHex[digest[i] & 15U];
  return out;
#else
  (void)text;
  return std::nullopt;
#endif
}

bool PersistedQueries::allow_only(const std::string& text, std::string& why) {
  const auto j = json::parse(text, nullptr, false);
  if (!j.is_object()) return why = "is not a JSON object of hashes and texts", false;
  std::unordered_map<std::string, std::string> all;
  for (const auto& [hash, query] : j.items()) {
    if (!query.is_string()) return why = "the entry " + hash + " is no text", false;
    if (const auto real = sha256(query.get<std::string>()); real && *real != lower(hash))
      return why = "the text of " + hash + " has another hash", false;
    all[lower(hash)] = query.get<std::string>();
  }
  listed_ = std::move(all);
  listed_only_ = true;
  return true;
}

std::optional<std::string> PersistedQueries::text_of(const Call& c, std::vector<Error>& errors) {
  const auto fail = [&](const char* message, const char* code) {
    errors.push_back(error(message, code));
    return std::nullopt;
  };
  if (listed_only_) {
    if (!c.hash.empty()) {
      const auto it = listed_.find(c.hash);
      if (it == listed_.end()) return fail("PersistedQueryNotFound", "PERSISTED_QUERY_NOT_FOUND");
      if (!c.query.empty() && c.query != it->second)
        return fail("provided sha does not match query", "PERSISTED_QUERY_HASH_MISMATCH");
      return it->second;
    }
    const auto it = std::ranges::find_if(listed_, [&](const auto& e) { return e.second == c.query; });
    if (it == listed_.end())
      return fail("Only queries of the list are answered here.", "PERSISTED_QUERY_NOT_IN_LIST");
    return c.query;
  }
  if (c.hash.empty()) return c.query;
  if (!sha256("")) return fail("PersistedQueryNotSupported", "PERSISTED_QUERY_NOT_SUPPORTED");
  if (c.query.empty()) {
    const auto it = texts_.find(c.hash);
    if (it == texts_.end()) return fail("PersistedQueryNotFound", "PERSISTED_QUERY_NOT_FOUND");
    order_.splice(order_.begin(), order_, it->second.place);
    return it->second.text;
  }
  if (sha256(c.query) != c.hash)
    return fail("provided sha does not match query", "PERSISTED_QUERY_HASH_MISMATCH");
  put(c.hash, c.query);
  return c.query;
}

void PersistedQueries::put(const std::string& hash, const std::string& text) {
  if (const auto it = texts_.find(hash); it != texts_.end())
    return order_.splice(order_.begin(), order_, it->second.place);
  const auto size = hash.size() + text.size();
  if (size > most_) return;
  order_.push_front(hash);
  texts_.emplace(hash, Entry{text, order_.begin()});
  bytes_ += size;
  while (bytes_ > most_) {
    const auto it = texts_.find(order_.back());
    bytes_ -= it->first.size() + it->second.text.size();
    texts_.erase(it);
    order_.pop_back();
  }
}

std::shared_ptr<const Parsed> DocumentCache::get(const std::string& text) {
  if (const auto it = known_.find(text); it != known_.end()) {
    ++hits_;
    order_.splice(order_.begin(), order_, it->second.place);
    return it->second.parsed;
  }
  auto parsed = std::make_shared<Parsed>(Document::executable(text, limits_));
  parsed->errors = parsed->document.good() ? validate(schema_, parsed->document, validation_)
                                           : parsed->document.errors();
  constexpr std::size_t kTree = 8;  // a tree takes some times its text
  if (kTree * text.size() > most_) return parsed;
  order_.push_front(text);
  known_.emplace(text, Entry{parsed, order_.begin()});
  bytes_ += kTree * text.size();
  while (bytes_ > most_) {
    bytes_ -= kTree * order_.back().size();
    known_.erase(order_.back());
    order_.pop_back();
  }
  return parsed;
}

// ---- Plans ---------------------------------------------------------------------------------------------------------

namespace {

// The names of an operation's root fields that are let in.
void root_fields(const Document& d, Selections all, const Variables& variables,
                 std::set<std::string_view>& spread, std::set<std::string_view>& names) {
  for (const auto& x : all) {
    if (!included(x.directives, variables)) continue;
    if (x.kind == Selection::Kind::field) {
      names.insert(x.name);
    } else if (x.kind == Selection::Kind::inline_fragment) {
      root_fields(d, x.selections, variables, spread, names);
    } else if (spread.insert(x.name).second) {
      if (const auto* f = d.fragment(x.name)) root_fields(d, f->selections, variables, spread, names);
    }
  }
}

}  // namespace

Plan plan_of(const Schema& schema, DocumentCache& documents, PersistedQueries& persisted, const Call& call,
             bool get, const PlanOptions& o) {
  Plan p;
  p.errors = call.errors;
  if (!p.errors.empty()) return p;
  const auto text = persisted.text_of(call, p.errors);
  if (!text) return p;
  p.parsed = documents.get(*text);
  p.errors = p.parsed->errors;
  if (!p.errors.empty()) return p;
  const auto& all = p.parsed->document.operations();
  if (call.operation.empty() && all.size() == 1) {
    p.operation = &all[0];
  } else {
    const auto it = std::ranges::find_if(
        all, [&](const auto& x) { return !x.name.empty() && x.name == call.operation; });
    if (it != all.end()) p.operation = &*it;
  }
  if (!p.operation) {
    p.errors.push_back(error(call.operation.empty()
                                 ? "Must provide operation name if query contains multiple operations."
                                 : "Unknown operation named \"" + call.operation + "\".",
                             "BAD_USER_INPUT"));
    return p;
  }
  if (p.operation->kind == OperationKind::subscription) {
    p.errors.push_back(error("Subscriptions are not answered here.", "BAD_USER_INPUT"));
    return p;
  }
  if (get && p.operation->kind == OperationKind::mutation) {
    p.errors.push_back(error("A mutation needs POST.", "METHOD_NOT_ALLOWED"));
    return p;
  }
  p.variables = coerced(schema, *p.operation, call.variables, p.errors);
  if (!p.errors.empty()) return p;
  p.cost = cost_of(schema, p.parsed->document, *p.operation, p.variables, o.cost);
  p.errors = p.cost.errors;
  if (!p.errors.empty()) return p;
  p.units = std::max(o.least_units, (o.by_field_cost ? p.cost.field : p.cost.type) * o.units_each);
  std::set<std::string_view> spread, names;
  root_fields(p.parsed->document, p.operation->selections, p.variables, spread, names);
  p.only_introspection = std::ranges::all_of(names, [](auto n) { return n.starts_with("__"); });
  if (!o.introspection && std::ranges::any_of(names, [](auto n) { return n == "__schema" || n == "__type"; }))
    p.errors.push_back(error("Introspection is not answered here.", "INTROSPECTION_DISABLED"));
  if (p.operation->kind == OperationKind::mutation)
    p.effect = std::ranges::all_of(names,
                                   [&](auto n) { return std::ranges::find(o.keyed, n) != o.keyed.end(); })
                   ? OperationEffect::keyed
                   : OperationEffect::unsafe;
  return p;
}

std::string forwarded(const Call& call, const Plan& plan) {
  std::string out = "{\"query\":";
  out += json(std::string(plan.parsed->document.text())).dump();
  if (!call.operation.empty()) out.append(",\"operationName\":").append(json(call.operation).dump());
  if (!call.variables_json.empty()) out.append(",\"variables\":").append(call.variables_json);
  return out += "}";
}

// ---- Answers ------------------------------------------------------------------------------------------------------

std::string error_answer(const std::vector<Error>& errors, const std::string& more) {
  json all = json::array();
  const json extra = more.empty() ? json::object() : json::parse(more);
  for (const auto& e : errors) {
    json one{{"message", e.message}};
    if (!e.locations.empty()) {
      one["locations"] = json::array();
      for (const auto& l : e.locations) one["locations"].push_back({{"line", l.line}, {"column", l.column}});
    }
    if (!e.path.empty()) one["path"] = e.path;
    if (!e.code.empty()) one["extensions"]["code"] = e.code;
    for (const auto& [k, v] : extra.items()) one["extensions"][k] = v;
    all.push_back(std::move(one));
  }
  return json{{"errors", std::move(all)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string refusal(const std::string& code, const std::string& message, double cost, double limit,
                    double retry_after_s) {
  json more{{"cost", cost}, {"limit", limit}};
  if (retry_after_s > 0) more["retryAfter"] = retry_after_s;
  return error_answer({error(message, code)}, more.dump());
}

std::string dry_run(const Plan& plan) {
  return json{
      {"data", nullptr},
      {"extensions",
       {{"cost", {{"typeCost", plan.cost.type}, {"fieldCost", plan.cost.field}, {"units", plan.units}}}}}}
      .dump();
}

// Request errors are 400 for those who know the newer media type; for others they are 200, as that specification has it,
// except where the request itself could not be read.
int status_of(const Decoded& request, const std::vector<Error>& errors) {
  if (request.status != 200) return request.status;
  if (errors.empty()) return 200;
  if (std::ranges::any_of(errors, [](const auto& e) { return e.code == "METHOD_NOT_ALLOWED"; })) return 405;
  return request.response_json && !request.batch ? 400 : 200;
}

std::string media_type_of(const Decoded& request) {
  return request.response_json ? "application/graphql-response+json; charset=utf-8"
                               : "application/json; charset=utf-8";
}

Batch::Batch(std::vector<bool> in_order)
    : in_order_(std::move(in_order)), answers_(in_order_.size()), left_(in_order_.size()) {}

std::optional<std::size_t> Batch::next_in_order(std::size_t from) const {
  for (auto i = from; i < in_order_.size(); ++i)
    if (in_order_[i]) return i;
  return std::nullopt;
}

std::vector<std::size_t> Batch::start() {
  std::vector<std::size_t> all;
  const auto first = next_in_order(0);
  for (std::size_t i = 0; i < in_order_.size(); ++i)
    if (!in_order_[i] || i == first) all.push_back(i);
  return all;
}

std::vector<std::size_t> Batch::ended(std::size_t index, std::string answer) {
  if (answers_.at(index)) return {};
  answers_[index] = std::move(answer);
  --left_;
  if (!in_order_[index]) return {};
  const auto next = next_in_order(index + 1);
  return next ? std::vector<std::size_t>{*next} : std::vector<std::size_t>{};
}

std::string Batch::answer() const {
  std::string all = "[";
  for (const auto& a : answers_) {
    if (all.size() > 1) all += ',';
    if (a && json::accept(*a))
      all += *a;
    else
      all += error_answer({error("The server's answer can't be read.", "BAD_GATEWAY")});
  }
  return all += ']';
}

}  // namespace docklift::graphql
