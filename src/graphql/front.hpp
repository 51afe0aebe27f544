// GraphQL on a path of the node's: each operation of a request passes the module by itself, as a request of its own class
// and for as many units as it may cost; the answers are put together here.
#pragma once

#include <memory>
#include <unordered_map>

#include "graphql/request.hpp"
#include "node.hpp"

namespace docklift::graphql {

struct FrontOptions {
  std::string path = "/graphql", upstream_path = "/graphql";
  // Indexes into the platform's classes.
  snowknot::ClassIndex query{}, keyed{}, mutation{};
  bool trust_server = false;  // its own word of a cost is taken for what is charged
  Limits limits;
  ValidationLimits validation;
  RequestLimits request;
  PlanOptions plan;
  std::size_t cache_bytes = 8 << 20, persisted_bytes = 1 << 20;
};

class GraphqlFront : public snowknot::Front {
 public:
  GraphqlFront(snowknot::Node& node, Schema schema, FrontOptions options);

  // The list of persisted queries that alone are answered. False, with why.
  bool allow_only(const std::string& json, std::string& why) { return persisted_.allow_only(json, why); }

  bool serves(std::string_view path) const override { return path == options_.path; }
  std::uint64_t request(snowknot::FrontRequest request,
                        std::shared_ptr<snowknot::ClientSession> session) override;
  void gone(std::uint64_t number) override;
  void stop(snowknot::Duration retry_after) override { stopping_ = retry_after; }
  std::size_t open() const { return open_.size(); }

 private:
  struct Exchange;
  class Part;

  void begin(const std::shared_ptr<Exchange>& exchange, const std::vector<std::size_t>& parts);
  void part_ended(const std::shared_ptr<Exchange>& exchange, std::size_t index,
                  const snowknot::Answer& answer);
  void finish(const std::shared_ptr<Exchange>& exchange);
  double charge(const Plan& plan, const snowknot::Answer& answer) const;

  snowknot::Node& node_;
  Schema schema_;
  FrontOptions options_;
  DocumentCache documents_;
  PersistedQueries persisted_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> open_;
  std::optional<snowknot::Duration> stopping_;  // until when those are to stay away that ask for more
};

}  // namespace docklift::graphql
