#include "system/registry/handlers.hpp"

#include <algorithm>

namespace docklift {
namespace {

using Json = nlohmann::json;

constexpr double kRetryAfterS = 0.2;  // told with a 503: about a round among far stores

std::string body_of_error(const std::string& why) { return Json{{"err", why}}.dump(); }

// What follows a prefix in a path that begins with it; none where it does not or nothing follows.
std::optional<std::string> after(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix) || path.size() == prefix.size()) return std::nullopt;
  return std::string(path.substr(prefix.size()));
}

}  // namespace

// That a server ends is acknowledged where it is sure to come to the proxies that are linked elsewhere.
http::Response Instances::acknowledge_end() const {
  if (registry_.reaches_majority()) return {200, "{}"};
  return {503, body_of_error("this node is cut off from the others"), kRetryAfterS};
}

bool Instances::handle(const http::Request& call, const http::Server::Respond& respond) {
  const Time now = registry_.now();
  if (const auto id = after(call.path(), "/Instances.Leave/")) {
    fleet::Server s;
    if (const auto* known = registry_.servers().find(*id)) s = *known;
    s.id = *id, s.phase = fleet::Phase::GONE, s.heard = now;
    registry_.heard(s);
    respond(acknowledge_end());
    return true;
  }
  const auto id = after(call.path(), "/Instances.Heartbeat/");
  if (!id) return false;
  const auto body = Json::parse(call.body, nullptr, false);
  const auto text = [&](const char* key) { return body.value(key, std::string()); };
  try {
    fleet::Server s;
    s.id = *id, s.service = text("svc"), s.address = text("addr"), s.zone = text("az");
    s.cap = std::max(1u, body.value("cap", 1u)), s.calls = body.value("calls", std::uint64_t{0});
    s.phase = text("phase") == "draining" ? fleet::Phase::DRAINING : fleet::Phase::READY;
    s.heard = now;
    const double cold = body.value("warm_left_ms", 0.0);
    s.cold_until = cold > 0 ? now + from_millis(cold) : Time{};
    if (s.service.empty() || failed(parse_endpoint(s.address))) {
      respond({400, body_of_error("svc or addr is missing")});
      return true;
    }
    registry_.heard(s);
    respond(s.phase == fleet::Phase::READY ? http::Response{200, "{}"} : acknowledge_end());
  } catch (const Json::exception& x) {
    respond({400, body_of_error(x.what())});
  }
  return true;
}

bool Configurations::handle(const http::Request& call, const http::Server::Respond& respond) {
  const auto path = call.path();
  if (path == "/Config.Read") {
    // The newest that a majority knows of, also where this machine was cut off until now.
    registry_.propose(
        configuration::ChangeKind::nothing, "",
        [this, respond](int status, const std::string& why, std::uint64_t at) {
          if (status != 200) return respond({503, body_of_error(why), kRetryAfterS});
          registry_.when_at(at, [this, respond](bool in_time) {
            const auto& document = registry_.changes().state().document;
            if (!in_time)
              return respond({503, body_of_error("the changes have not come here yet"), kRetryAfterS});
            if (document.is_null()) return respond({404, body_of_error("there is no configuration yet")});
            respond({200, document.dump()});
          });
        });
    return true;
  }
  const bool replace = path == "/Config.Replace";
  if (!replace && path != "/Config.Patch") return false;
  registry_.propose(
      replace ? configuration::ChangeKind::replace : configuration::ChangeKind::patch, call.body,
      [respond](int status, const std::string& why, std::uint64_t) {
        respond({status, status == 200 ? "{}" : body_of_error(why), status == 503 ? kRetryAfterS : 0});
      });
  return true;
}

bool Evacuations::handle(const http::Request& call, const http::Server::Respond& respond) {
  const auto start = after(call.path(), "/Evac.Start/");
  const auto stop = after(call.path(), "/Evac.Stop/");
  if (!start && !stop) return false;
  const configuration::EvacuationOrder order{start ? *start : *stop, registry_.changes().position()};
  if (!registry_.settings().zones.contains(order.zone)) {
    respond({404, body_of_error("no zone of that name")});
    return true;
  }
  const auto kind = start ? configuration::ChangeKind::evacuate : configuration::ChangeKind::readmit;
  const auto answer = [respond](int status, const std::string& why, std::uint64_t) {
    respond({status, status == 200 ? "{}" : body_of_error(why), status == 503 ? kRetryAfterS : 0});
  };
  registry_.propose(kind, configuration::encode(order), answer, call.client_disconnected);
  return true;
}

bool Directory::handle(const http::Request& call, const http::Server::Respond& respond) {
  if (call.path() != "/resolve") return false;
  constexpr std::size_t kMost = 64;
  constexpr int kTtlS = 2;
  const auto region = http::query_value(call.target, "rgn");
  const auto zone = http::query_value(call.target, "az");
  std::vector<std::string> near;
  std::vector<std::string> here;
  std::vector<std::string> all;
  for (const auto& [id, n] : registry_.nodes().all()) {
    if (n.role != fleet::Role::PROXY || !n.ready || n.leaving) continue;
    all.push_back(n.address);
    if (n.zone == zone) here.push_back(n.address);
    if (registry_.settings().region_of(n.zone) == region) near.push_back(n.address);
  }
  if (all.empty() || !registry_.knows_members()) {
    respond({503, body_of_error("no node is ready"), kRetryAfterS});
    return true;
  }
  auto& given = near.empty() ? all : near;
  if (given.size() > kMost) given = here.empty() ? given : here;
  if (given.size() > kMost) given.resize(kMost);
  respond({200, Json{{"endpoints", given}, {"ttl_s", kTtlS}}.dump()});
  return true;
}

bool EndingNode::handle(const http::Request&, const http::Server::Respond& respond) {
  if (!registry_.ends()) return false;
  respond({503, body_of_error("this node ends"), kRetryAfterS});
  return true;
}

http::Server::Handler dispatch(std::vector<std::shared_ptr<Handler>> handlers) {
  return [handlers = std::move(handlers)](const http::Request& call, const http::Server::Respond& respond) {
    try {
      for (const auto& h : handlers)
        if (h->handle(call, respond)) return;
    } catch (const std::exception& x) {
      return respond({500, body_of_error(x.what())});
    }
    respond({404, body_of_error("no such call")});
  };
}

}  // namespace docklift
