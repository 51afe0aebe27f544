#include "graphql/front.hpp"

#include <algorithm>
#include <cmath>

#include "graphql/introspect.hpp"

namespace docklift::graphql {

using snowknot::Answer;
using snowknot::ClientRequest;
namespace http = snowknot::http;

namespace {

Error error(std::string message, std::string code) { return {std::move(message), {}, {}, std::move(code)}; }

}  // namespace

// One HTTP request, with an operation or a batch of them.
struct GraphqlFront::Exchange {
  std::uint64_t number = 0;
  snowknot::FrontRequest request;
  std::shared_ptr<snowknot::ClientSession> session;
  Decoded decoded;
  std::vector<Plan> plans;
  std::vector<std::uint64_t> asked;  // numbers at the node; 0: not out
  std::vector<Answer> answers;
  std::optional<Batch> batch;
  std::size_t refused = 0;
  snowknot::Duration soonest = snowknot::Duration::max();  // of the times to come back
};

class GraphqlFront::Part : public snowknot::Asker {
 public:
  Part(GraphqlFront& front, std::shared_ptr<Exchange> exchange, std::size_t index)
      : front_(front), exchange_(std::move(exchange)), index_(index) {}
  void answer(const Answer& answer) override { front_.part_ended(exchange_, index_, answer); }

 private:
  GraphqlFront& front_;
  std::shared_ptr<Exchange> exchange_;
  std::size_t index_;
};

GraphqlFront::GraphqlFront(snowknot::Node& node, Schema schema, FrontOptions options)
    : node_(node),
      schema_(std::move(schema)),
      options_(std::move(options)),
      documents_(schema_, options_.limits, options_.validation, options_.cache_bytes),
      persisted_(options_.persisted_bytes) {}

std::uint64_t GraphqlFront::request(snowknot::FrontRequest r,
                                    std::shared_ptr<snowknot::ClientSession> session) {
  const auto x = std::make_shared<Exchange>();
  x->session = std::move(session);
  x->decoded = decode({std::string(http::to_string(r.method)), r.target, r.content_type, r.accept, r.body},
                      options_.request);
  x->request = std::move(r);
  const auto& d = x->decoded;
  const auto at_once = [&](int status, std::string body) {
    x->session->answer({static_cast<http::status>(status), std::move(body), media_type_of(d), {}, {}});
    return std::uint64_t{0};
  };
  if (d.status != 200) return at_once(d.status, error_answer(d.errors));
  for (const auto& c : d.calls)
    x->plans.push_back(plan_of(schema_, documents_, persisted_, c, d.get, options_.plan));
  if (!d.batch && !x->plans[0].errors.empty())
    return at_once(status_of(d, x->plans[0].errors), error_answer(x->plans[0].errors));
  if (x->request.dry_run && !d.batch) return at_once(200, dry_run(x->plans[0]));
  std::vector<bool> in_order;
  for (const auto& p : x->plans) in_order.push_back(p.effect != OperationEffect::safe);
  x->batch.emplace(in_order);
  x->asked.resize(x->plans.size());
  x->answers.resize(x->plans.size());
  x->number = node_.next_number();
  open_.emplace(x->number, x);
  begin(x, x->batch->start());
  return open_.contains(x->number) ? x->number : 0;
}

void GraphqlFront::begin(const std::shared_ptr<Exchange>& x, const std::vector<std::size_t>& parts) {
  for (const auto i : parts) {
    if (!open_.contains(x->number)) return;  // its client has gone meanwhile
    const auto& plan = x->plans[i];
    const auto now_answer = [&](std::string body) {
      part_ended(x, i, {http::status::ok, std::move(body), {}, {}, {}});
    };
    if (!plan.errors.empty()) {
      now_answer(error_answer(plan.errors));
      continue;
    }
    if (x->request.dry_run) {
      now_answer(dry_run(plan));
      continue;
    }
    if (plan.only_introspection) {
      now_answer(introspected(schema_, plan.parsed->document, *plan.operation, plan.variables));
      continue;
    }
    if (stopping_) {
      part_ended(x, i, {http::status::service_unavailable, {}, {}, *stopping_, {}});
      continue;
    }
    const auto& settings = node_.settings();
    const bool keyed = plan.effect == OperationEffect::keyed && !x->request.key.empty();
    const auto cls = plan.effect == OperationEffect::safe ? options_.query
                     : keyed                              ? options_.keyed
                                                          : options_.mutation;
    ClientRequest r;
    const auto suffix = x->decoded.batch ? std::string("-").append(std::to_string(i)) : std::string();
    r.arrival.request_class = cls, r.arrival.plan = x->request.plan, r.arrival.customer = x->request.customer;
    r.arrival.gateways = x->request.gateways, r.arrival.is_retry = x->request.is_retry,
    r.arrival.units = plan.units;
    r.deadline = std::min(x->request.deadline,
                          x->request.began + settings.classes.at(static_cast<std::size_t>(cls)).deadline);
    r.arrival.time_left = r.deadline - node_.timers().now();
    r.method = http::verb::post;
    r.target = options_.upstream_path;
    r.id = x->request.id + suffix;
    if (keyed) r.key = x->request.key + suffix;
    r.safe = plan.effect == OperationEffect::safe;
    r.content_type = "application/json";
    r.body = forwarded(x->decoded.calls[i], plan);
    // It outlives the exchange: what came back is settled even if nobody waits for it any more.
    r.true_units = [this, x, i](const Answer& a) { return charge(x->plans[i], a); };
    const auto number = node_.ask(std::move(r), std::make_shared<Part>(*this, x, i));
    if (number == 0)
      part_ended(x, i,
                 {http::status::conflict,
                  error_answer({error("A request of this id is open.", "CONFLICT")}),
                  {},
                  {},
                  {}});
    else if (x->asked[i] == 0 && x->answers[i].status == http::status{})
      x->asked[i] = number;
  }
}

// In units, by the answer; the whole bound where it doesn't show what ran. Never 0, which would say that it isn't told.
double GraphqlFront::charge(const Plan& plan, const Answer& answer) const {
  const auto& o = options_.plan;
  const double bound = o.by_field_cost ? plan.cost.field : plan.cost.type;
  const auto shown = counted(schema_, plan.parsed->document, *plan.operation, plan.variables, answer.body,
                             o.cost);
  double cost = bound;
  if (options_.trust_server && answer.units_charged)
    cost = std::min(*answer.units_charged, bound);
  else if (o.by_field_cost && shown.whole && shown.has_data && !(options_.trust_server && shown.told))
    cost = std::min(shown.cost.field, bound);
  else
    cost = charged(shown, bound, options_.trust_server);
  return std::clamp(cost * o.units_each, std::min(o.least_units, plan.units), plan.units);
}

void GraphqlFront::part_ended(const std::shared_ptr<Exchange>& x, std::size_t i, const Answer& answer) {
  if (!open_.contains(x->number) || x->answers[i].status != http::status{}) return;
  x->asked[i] = 0;
  const auto& plan = x->plans[i];
  std::string body = answer.body;
  const bool refused = answer.status == http::status::too_many_requests ||
                       answer.status == http::status::service_unavailable;
  if (refused) {
    ++x->refused;
    if (answer.retry_after > snowknot::Duration{}) x->soonest = std::min(x->soonest, answer.retry_after);
    const double limit = snowknot::most_units(
        node_.settings().plans.at(static_cast<std::size_t>(x->request.plan)));
    const bool dear = plan.units > limit;
    body = refusal(dear ? "COST_LIMIT_EXCEEDED" : "REFUSED",
                   dear ? "The query costs more than this plan can ever have." : "Refused for now.",
                   plan.units, limit, std::chrono::duration<double>(answer.retry_after).count());
  } else if (answer.status != http::status::ok && answer.status != http::status::conflict) {
    body = error_answer({error("The operation failed; it may have run.", "FAILED")});
  }
  x->answers[i] = answer;
  x->answers[i].body = body;
  const auto next = x->batch->ended(i, std::move(body));
  if (x->batch->done()) return finish(x);
  begin(x, next);
}

void GraphqlFront::finish(const std::shared_ptr<Exchange>& x) {
  open_.erase(x->number);
  const auto session = std::exchange(x->session, nullptr);
  if (!session) return;
  const auto type = media_type_of(x->decoded);
  if (!x->decoded.batch) {
    auto a = std::move(x->answers[0]);
    a.content_type = type;
    return session->answer(a);
  }
  Answer a{http::status::ok, x->batch->answer(), type, {}, {}};
  if (x->refused == x->plans.size()) {  // for clients that only read the status
    a.status = http::status::too_many_requests;
    if (x->soonest != snowknot::Duration::max()) a.retry_after = x->soonest;
  }
  session->answer(a);
}

// What is out is given up, as for other clients that leave; what has not begun doesn't begin.
void GraphqlFront::gone(std::uint64_t number) {
  const auto it = open_.find(number);
  if (it == open_.end()) return;
  const auto x = it->second;
  open_.erase(it);
  x->session = nullptr;
  for (auto& n : x->asked)
    if (const auto out = std::exchange(n, 0); out != 0) node_.abandon(out);
}

}  // namespace docklift::graphql
