#include "system/registry/handlers.hpp"

#include <algorithm>

namespace docklift {
namespace {

using Json = nlohmann::json;

constexpr double kRetryAfterS = 0.2;  // sent with a 503: about one round trip between distant stores

std::string error_body(const std::string& why) { return Json{{"err", why}}.dump(); }

// The rest of a path after a prefix; nothing if the path does not start with it or has no rest.
std::optional<std::string> path_after(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix) || path.size() == prefix.size()) return std::nullopt;
  return std::string(path.substr(prefix.size()));
}

}  // namespace

// A departure is acknowledged only if it is certain to reach the proxies that are linked to other registries.
void InstanceHandler::report_departure(const fleet::Server& server, const http::Server::Respond& respond) {
  registry_.on_departure(server, [respond](bool acknowledged) {
    if (acknowledged) return respond({200, "{}"});
    respond({503, error_body("no majority of the core has confirmed the departure in time"), kRetryAfterS});
  });
}

bool InstanceHandler::handle(const http::Request& call, const http::Server::Respond& respond) {
  const Time now = registry_.now();
  if (const auto id = path_after(call.path(), "/Instances.Leave/")) {
    fleet::Server s;
    if (const auto* known = registry_.servers().find(*id)) s = *known;
    s.id = *id, s.phase = fleet::Phase::GONE, s.received_at = now;
    report_departure(s, respond);
    return true;
  }
  const auto id = path_after(call.path(), "/Instances.Heartbeat/");
  if (!id) return false;
  const auto body = Json::parse(call.body, nullptr, false);
  const auto text = [&](const char* key) { return body.value(key, std::string()); };
  try {
    fleet::Server s;
    s.id = *id, s.service = text("svc"), s.address = text("addr"), s.zone = text("az");
    s.cap = std::max(1u, body.value("cap", 1u)), s.heartbeat_sequence = body.value("calls", std::uint64_t{0});
    s.phase = text("phase") == "draining" ? fleet::Phase::DRAINING : fleet::Phase::READY;
    s.received_at = now;
    const double cold = body.value("warm_left_ms", 0.0);
    s.cold_until = cold > 0 ? now + from_millis(cold) : Time{};
    if (s.service.empty() || failed(parse_endpoint(s.address))) {
      respond({400, error_body("svc or addr is missing")});
      return true;
    }
    if (s.phase == fleet::Phase::DRAINING) {
      report_departure(s, respond);
    } else {
      registry_.on_heartbeat(s);
      respond({200, "{}"});
    }
  } catch (const Json::exception& x) {
    respond({400, error_body(x.what())});
  }
  return true;
}

bool ConfigurationHandler::handle(const http::Request& call, const http::Server::Respond& respond) {
  const auto path = call.path();
  if (path == "/Config.Read") {
    // The newest configuration that a majority knows of, even if this node was partitioned until now.
    registry_.propose(
        configuration::ChangeKind::noop, "",
        [this, respond](int status, const std::string& why, std::uint64_t at) {
          if (status != 200) return respond({503, error_body(why), kRetryAfterS});
          registry_.when_applied(at, [this, respond](bool in_time) {
            const auto& document = registry_.changes().state().document;
            if (!in_time)
              return respond({503, error_body("the changes have not come here yet"), kRetryAfterS});
            if (document.is_null()) return respond({404, error_body("there is no configuration yet")});
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
        respond({status, status == 200 ? "{}" : error_body(why), status == 503 ? kRetryAfterS : 0});
      });
  return true;
}

bool EvacuationHandler::handle(const http::Request& call, const http::Server::Respond& respond) {
  const auto start = path_after(call.path(), "/Evac.Start/");
  const auto stop = path_after(call.path(), "/Evac.Stop/");
  if (!start && !stop) return false;
  const configuration::EvacuationCommand command{start ? *start : *stop, registry_.changes().position()};
  if (!registry_.settings().zones.contains(command.zone)) {
    respond({404, error_body("no zone of that name")});
    return true;
  }
  const auto kind = start ? configuration::ChangeKind::evacuate : configuration::ChangeKind::readmit;
  const auto answer = [respond](int status, const std::string& why, std::uint64_t) {
    respond({status, status == 200 ? "{}" : error_body(why), status == 503 ? kRetryAfterS : 0});
  };
  registry_.propose(kind, configuration::encode(command), answer, call.client_disconnected);
  return true;
}

bool ResolveHandler::handle(const http::Request& call, const http::Server::Respond& respond) {
  if (call.path() != "/resolve") return false;
  constexpr std::size_t kMaxEndpoints = 64;
  constexpr int kTtlS = 2;
  const auto region = http::query_value(call.target, "rgn");
  const auto zone = http::query_value(call.target, "az");
  std::vector<std::string> in_region;
  std::vector<std::string> in_zone;
  std::vector<std::string> all;
  for (const auto& [id, n] : registry_.nodes().all()) {
    if (n.role != fleet::Role::PROXY || !n.ready || n.leaving) continue;
    all.push_back(n.address);
    if (n.zone == zone) in_zone.push_back(n.address);
    if (registry_.settings().region_of(n.zone) == region) in_region.push_back(n.address);
  }
  if (all.empty() || !registry_.knows_members()) {
    respond({503, error_body("no node is ready"), kRetryAfterS});
    return true;
  }
  auto& endpoints = in_region.empty() ? all : in_region;
  if (endpoints.size() > kMaxEndpoints) endpoints = in_zone.empty() ? endpoints : in_zone;
  if (endpoints.size() > kMaxEndpoints) endpoints.resize(kMaxEndpoints);
  respond({200, Json{{"endpoints", endpoints}, {"ttl_s", kTtlS}}.dump()});
  return true;
}

bool ShutdownHandler::handle(const http::Request&, const http::Server::Respond& respond) {
  if (!registry_.stopping()) return false;
  respond({503, error_body("this node ends"), kRetryAfterS});
  return true;
}

http::Server::Handler dispatch(std::vector<std::shared_ptr<Handler>> handlers) {
  return [handlers = std::move(handlers)](const http::Request& call, const http::Server::Respond& respond) {
    try {
      for (const auto& h : handlers)
        if (h->handle(call, respond)) return;
    } catch (const std::exception& x) {
      return respond({500, error_body(x.what())});
    }
    respond({404, error_body("no such call")});
  };
}

}  // namespace docklift
