// The wire adapter: reads batches of events, hands each to its instance's Gateway, prints the actions.
// It parses, translates and prints; every decision is the Gateway's.
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "settings_reader.hpp"
#include "snowknot/gateway.hpp"

namespace {

using nlohmann::json;
using namespace snowknot;
using namespace snowknot::reading;

std::string hex_text(RequestId id) {
  std::array<char, 17> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(id));
  return buffer.data();
}

Outcome outcome(const json& o) {
  static constexpr std::array<std::pair<const char*, Outcome>, 8> words{
      {{"pass", Outcome::ok},
       {"fault", Outcome::error},
       {"no_room", Outcome::full},
       {"too_slow", Outcome::timeout},
       {"no_route", Outcome::connect_failed},
       {"cut", Outcome::reset},
       {"undone", Outcome::cancelled},
       {"stale_send", Outcome::never_sent}}};
  return named(o, "disposition", words);
}

// ---- Instances ------------------------------------------------------------------------------------

struct Instance {
  Gateway gateway;
  Names names;
};

Instance open_instance(const json& e) {
  auto [settings, names] = read_settings(object_of(field(e, "facts"), "facts"));
  return {Gateway(std::move(settings), natural_of(field(e, "salt"), "salt")), std::move(names)};
}

// ---- Events ---------------------------------------------------------------------------------------

struct Line {  // an entry of a registered page; its zone is resolved by the instance that reads it
  ServerInfo info;
  std::string zone;
};
using Page = std::vector<Line>;

Page read_page(const json& e) {
  Page page;
  for (const auto& l : list_of(field(e, "lines"), "lines")) {
    object_of(l, "lines");
    Line line;
    line.info.id = ServerId(small(l, "server"));
    line.info.cell = small(l, "cohort");
    const auto phase = integer(l, "phase");
    if (phase < 0 || phase > 2) wrong("phase", "0, 1 or 2");
    line.info.phase = phase == 1 ? Phase::ready : phase == 2 ? Phase::draining : Phase::gone;
    if (const auto* t = optional_field(l, "last-start-ns"))
      if (const auto at = integer_of(*t, "last-start-ns"); at != 0) line.info.started = Time(Duration(at));
    line.info.weight = number(l, "share");
    line.zone = text(l, "area");
    page.push_back(std::move(line));
  }
  return page;
}

std::optional<LoadReport> report(const json& e) {
  const auto* r = optional_field(e, "report");
  if (!r) return std::nullopt;
  object_of(*r, "report");
  const auto value = [&](const char* key) -> std::optional<double> {
    const auto* v = optional_field(*r, key);
    return v ? std::optional(number_of(*v, key)) : std::nullopt;
  };
  return LoadReport{value("active"), value("waiting"), value("cpu"), value("avg_ms")};
}

ListUpdate membership(const json& e, const Instance& in, const std::map<std::int64_t, Page>& pages) {
  ListUpdate u;
  const auto how = integer(e, "how");
  if (how < 0 || how > 3) wrong("how", "0, 1, 2 or 3");
  u.kind = std::array{ListKind::changes, ListKind::full, ListKind::cached,
                      ListKind::failed}[static_cast<std::size_t>(how)];
  if (u.kind == ListKind::failed) return u;
  const auto page = pages.find(integer(e, "page"));
  if (page == pages.end()) throw FieldError("field 'page' names a page that was not registered");
  for (const auto& line : page->second) {
    u.entries.push_back(line.info);
    const auto zone = in.names.zones.find(line.zone);
    if (zone == in.names.zones.end()) throw FieldError("field 'area' names nothing in the settings");
    u.entries.back().zone = ZoneIndex(zone->second);
  }
  return u;
}

Arrival arrival(const json& e, const Instance& in) {
  Arrival a;
  a.request = RequestId(hex(e, "ticket"));
  a.request_class = ClassIndex(index_of(in.names.classes, e, "profile"));
  a.plan = PlanIndex(index_of(in.names.plans, e, "package"));
  a.customer = CustomerId(hex(e, "account"));
  a.time_left = nanos(e, "ttl-ns");
  a.units = number(e, "cost-units");
  a.gateways = small(e, "doors");
  if (const auto* v = optional_field(e, "is-retry")) a.is_retry = truth_of(*v, "is-retry");
  return a;
}

AttemptEnded attempt_ended(const json& e) {
  AttemptEnded a;
  a.request = RequestId(hex(e, "ticket"));
  a.attempt = small(e, "leg");
  a.server = ServerId(small(e, "server"));
  a.outcome = outcome(e);
  a.took = nanos(e, "rtt-ns");
  a.finished = truth(e, "finished");
  a.true_units = number_or_0(e, "final-units");
  a.load = report(e);
  return a;
}

CountAnswer count_answer(const json& e) {
  static constexpr std::array<std::pair<const char*, CountOutcome>, 4> words{
      {{"pass", CountOutcome::ok},
       {"no_room", CountOutcome::refused},
       {"no_route", CountOutcome::refused},
       {"too_slow", CountOutcome::timeout}}};
  CountAnswer a;
  a.name = CountName(natural_of(field(e, "tally-id"), "tally-id"));
  a.outcome = named(e, "disposition", words);
  a.total = a.outcome == CountOutcome::ok ? number(e, "level") : 0;
  a.took = nanos(e, "rtt-ns");
  return a;
}

std::optional<Event> event_of(const std::string& kind, const json& e, const Instance& in,
                              const std::map<std::int64_t, Page>& pages) {
  if (kind == "ask") return arrival(e, in);
  if (kind == "finished") return attempt_ended(e);
  if (kind == "tick-due") return TimerDue{TimerId(natural_of(field(e, "cookie"), "cookie"))};
  if (kind == "ledger-reply") return count_answer(e);
  if (kind == "gone") return ClientGone{RequestId(hex(e, "ticket"))};
  if (kind == "membership") return membership(e, in, pages);
  if (kind == "first") return StreamStarted{RequestId(hex(e, "ticket")), small(e, "leg")};
  if (kind == "checked")
    return ProbeEnded{ServerId(small(e, "server")), outcome(e), nanos(e, "rtt-ns"), report(e)};
  if (kind == "note-from") return PeerMessage{small(e, "author")};
  return std::nullopt;  // an event of a later wire: passed over
}

// ---- Actions --------------------------------------------------------------------------------------

struct Printer {
  json& a;
  void operator()(const Send& s) const {
    a["msg"] = "place";
    a["ticket"] = hex_text(s.request);
    a["server"] = static_cast<std::uint32_t>(s.server);
    a["within-ns"] = s.timeout.count();
  }
  void operator()(const Refuse& s) const {
    a["msg"] = "decline";
    a["ticket"] = hex_text(s.request);
    a["hold-off-ns"] = s.retry_after.count();
  }
  void operator()(const Fail& s) const {
    a["msg"] = "drop-request";
    a["ticket"] = hex_text(s.request);
  }
  void operator()(const Cancel& s) const {
    a["msg"] = "undo-send";
    a["ticket"] = hex_text(s.request);
    a["leg"] = s.attempt;
  }
  void operator()(const AddToCount& s) const {
    a["msg"] = "add-and-get";
    a["tally-id"] = static_cast<std::uint64_t>(s.name);
    a["n"] = s.amount;
    a["ttl-ns"] = s.lifetime.count();
  }
  void operator()(const SetTimer& s) const {
    a["msg"] = "wake-at";
    a["cookie"] = static_cast<std::uint64_t>(s.timer);
    a["delay-ns"] = s.delay.count();
  }
  void operator()(const Probe& s) const {
    a["msg"] = "test";
    a["server"] = static_cast<std::uint32_t>(s.server);
  }
  void operator()(const Subscribe&) const {
    a["msg"] = "subscribe";
    a["active"] = true;
  }
  void operator()(const Log& s) const {
    a["msg"] = "remark";
    a["what"] = s.text;
  }
};

// ---- The process ----------------------------------------------------------------------------------

struct Process {
  std::map<std::string, Instance> instances;
  std::map<std::int64_t, Page> pages;

  void handle(Time now, const json& e, json& out) {
    object_of(e, "happened");
    const auto& kind = text(e, "msg");
    if (kind == "register") {
      pages[integer(e, "page")] = read_page(e);
      return;
    }
    const auto& id = text(e, "node-id");
    if (kind == "open-instance") {
      instances.insert_or_assign(id, open_instance(e));
      return;
    }
    if (kind == "detach") {
      instances.erase(id);
      return;
    }
    const auto it = instances.find(id);
    if (it == instances.end()) throw FieldError("field 'node-id' names an instance that was not opened");
    const auto event = event_of(kind, e, it->second, pages);
    if (!event) return;
    for (const auto& action : it->second.gateway.handle(now, *event)) {
      json a = {{"node-id", id}};
      std::visit(Printer{a}, action);
      out.push_back(std::move(a));
    }
  }

  std::string reply(const std::string& line) {
    const json batch = json::parse(line);
    object_of(batch, "batch");
    const Time now{Duration(integer(batch, "wall-ns"))};
    json out = json::array();
    std::size_t n = 0;
    for (const auto& e : list_of(field(batch, "happened"), "happened")) {
      ++n;
      try {
        handle(now, e, out);
      } catch (const std::exception& x) {
        const auto* kind = e.is_object() ? optional_field(e, "msg") : nullptr;
        throw FieldError("event " + std::to_string(n) + (kind ? " " + kind->dump() : "") + ": " + x.what());
      }
    }
    return json{{"batch", field(batch, "batch")}, {"out", std::move(out)}}.dump();
  }
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Process process;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << process.reply(line) << '\n' << std::flush;
    } catch (const std::exception& x) {
      std::cerr << "snowknot_benchlink: line " << number << ": " << x.what() << '\n';
      return 1;
    }
  }
  return 0;
}
