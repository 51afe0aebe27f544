// GraphQL over HTTP, without I/O: what a request asks for, in which class and for how many units, and the answers that the
// node gives itself. After the GraphQL-over-HTTP specification (status codes and media types), and the persisted queries of
// Apollo's protocol.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "graphql/cost.hpp"
#include "graphql/document.hpp"
#include "graphql/schema.hpp"
#include "graphql/validate.hpp"

namespace docklift::graphql {

struct HttpRequest {
  std::string method, target, content_type, accept, body;
};

// One operation as it was asked for.
struct Call {
  std::string query, operation, hash;  // hash: of a persisted query
  Variables variables;
  std::string variables_json;  // as they came, to be sent on; empty: none
  std::vector<Error> errors;   // in this call alone, as in a batch
};

struct Decoded {
  int status = 200;  // else nothing is asked for, and errors say why
  bool batch = false, get = false;
  bool response_json =
      false;  // application/graphql-response+json is wanted: request errors have a status of their own
  std::vector<Call> calls;
  std::vector<Error> errors;
};

struct RequestLimits {
  std::size_t batch = 20;  // operations
  std::size_t json_depth = 64;
};

Decoded decode(const HttpRequest& request, const RequestLimits& limits = {});

// Lower-case SHA-256 of a text, in hex; none: this build has no library for it, and persisted queries are off.
std::optional<std::string> sha256(std::string_view text);

// Texts by their hashes, the ones used last, within a number of bytes. With an allow-list nothing else is known or taken in.
class PersistedQueries {
 public:
  explicit PersistedQueries(std::size_t bytes) : most_(bytes) {}
  // The list: JSON object of hash to text. False, with why.
  bool allow_only(const std::string& json, std::string& why);
  bool listed_only() const { return listed_only_; }
  // The text of a call: its own, or the one its hash stands for. Registers a text that comes with its hash. Else the error.
  std::optional<std::string> text_of(const Call& call, std::vector<Error>& errors);
  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return order_.size(); }

 private:
  struct Entry {
    std::string text;
    std::list<std::string>::iterator place;
  };
  void put(const std::string& hash, const std::string& text);

  std::size_t most_, bytes_ = 0;
  bool listed_only_ = false;
  std::list<std::string> order_;  // the one used last first
  std::unordered_map<std::string, Entry> texts_;
  std::unordered_map<std::string, std::string> listed_;
};

// A document with what validation found, kept by its text.
struct Parsed {
  explicit Parsed(Document d) : document(std::move(d)) {}
  Document document;
  std::vector<Error> errors;
};

class DocumentCache {
 public:
  DocumentCache(const Schema& schema, Limits limits, ValidationLimits validation, std::size_t bytes)
      : schema_(schema), limits_(limits), validation_(validation), most_(bytes) {}
  std::shared_ptr<const Parsed> get(const std::string& text);
  std::size_t size() const { return known_.size(); }
  std::uint64_t hits() const { return hits_; }

 private:
  struct Entry {
    std::shared_ptr<const Parsed> parsed;
    std::list<std::string>::iterator place;
  };
  const Schema& schema_;
  Limits limits_;
  ValidationLimits validation_;
  std::size_t most_, bytes_ = 0;
  std::uint64_t hits_ = 0;
  std::list<std::string> order_;
  std::unordered_map<std::string, Entry> known_;
};

enum class OperationEffect { safe, keyed, unsafe };

struct PlanOptions {
  std::vector<std::string>
      keyed;  // root fields of mutations that drop repeats by a key; other mutations are unsafe
  bool by_field_cost = false;  // units by field cost rather than type cost
  double units_each = 1;       // units of one point of cost
  double least_units = 1;
  CostOptions cost;
  bool introspection = true;
};

struct Plan {
  std::vector<Error> errors;  // it is not run
  std::shared_ptr<const Parsed> parsed;
  const Operation* operation = nullptr;
  Variables variables;
  Cost cost;
  double units = 0;
  OperationEffect effect = OperationEffect::safe;
  bool only_introspection = false;  // __schema, __type and __typename alone: the node answers
};

Plan plan_of(const Schema& schema, DocumentCache& documents, PersistedQueries& persisted, const Call& call,
             bool get, const PlanOptions& options);

// The request that goes on to a server: JSON of query, operationName and variables.
std::string forwarded(const Call& call, const Plan& plan);

// ---- Answers -------------------------------------------------------------------------------------------------------

// {"errors":[...]}, with extensions.code and whatever else is given for all of them (a JSON object's members).
std::string error_answer(const std::vector<Error>& errors, const std::string& more_extensions = {});
// For a refusal: code, cost, limit and, where waiting helps, retryAfter in seconds.
std::string refusal(const std::string& code, const std::string& message, double cost, double limit,
                    double retry_after_s);
std::string dry_run(const Plan& plan);
int status_of(const Decoded& request, const std::vector<Error>& errors);
std::string media_type_of(const Decoded& request);

// A batch: operations that are safe run side by side, others one after another in their order, answers are put together in
// the order of the calls. An answer that is no JSON is one of an error.
class Batch {
 public:
  explicit Batch(std::vector<bool> in_order);  // of each call: it waits for the one before it that is so
  std::vector<std::size_t> start();            // which begin now
  std::vector<std::size_t> ended(std::size_t index, std::string answer);
  bool done() const { return left_ == 0; }
  std::string answer() const;  // once done

 private:
  std::optional<std::size_t> next_in_order(std::size_t from) const;
  std::vector<bool> in_order_;
  std::vector<std::optional<std::string>> answers_;
  std::size_t left_;
};

}  // namespace docklift::graphql
