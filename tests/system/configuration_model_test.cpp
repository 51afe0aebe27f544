// Compares the routes that result from random patches, snapshots and restarts with a simple model: a map by
// name.
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

#include "play_settings.hpp"
#include "system/configuration/configuration.hpp"
#include "system/fleet/change_log.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::test {
namespace {

using configuration::ChangeKind;
using configuration::State;
using nlohmann::json;

struct ModelRoute {
  std::string host, prefix, service;
};
using Model = std::map<std::string, ModelRoute>;  // by the route's name

const std::vector<std::string> kHosts = {"one.example", "two.example", "three.example"};
const std::vector<std::string> kPrefixes = {"/a/", "/a/b/", "/a/b/c/", "/b/", "/c/", "/c/a/"};
const std::vector<std::string> kServices = {"alpha", "beta"};

// The name of the route that matches a request to `path`; empty: none.
std::string route_of(const Model& model, const std::string& host, const std::string& path) {
  std::string best;
  std::size_t longest = 0;
  for (const auto& [name, route] : model) {
    if (route.host != host || !path.starts_with(route.prefix) || route.prefix.size() <= longest) continue;
    best = name;
    longest = route.prefix.size();
  }
  return best;
}

bool is_valid(const Model& model) {
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const auto& [name, route] : model)
    if (!host_prefixes.emplace(route.host, route.prefix).second) return false;
  return true;
}

json policy_of(const std::string& name, const ModelRoute& route) {
  return {{"name", name},
          {"kind", "idempotent"},
          {"match", {{"pfx", route.prefix}}},
          {"action", {{"svc", route.service}, {"tmo_ms", 1000}, {"tries", 1}}}};
}

class ModelRun {
 public:
  explicit ModelRun(std::uint64_t seed) : seed_(seed), random_(seed) {}

  void run() {
    while (state_.version() == 0) replace();  // a patch needs something to change
    for (int step = 0; step < 60; ++step) {
      if (random_() % 15 == 0) {
        replace();
      } else {
        patch();
      }
      if (random_() % 4 == 0) restart();
      check();
    }
  }

 private:
  const std::string& pick(const std::vector<std::string>& of) { return of[random_() % of.size()]; }
  std::string random_name() { return "r" + std::to_string(random_() % 10); }
  ModelRoute random_route() { return {pick(kHosts), pick(kPrefixes), pick(kServices)}; }

  json document_with(const json& listeners) {
    json clusters = json::array();
    for (const auto& service : kServices) clusters.push_back({{"name", service}});
    return {{"listeners", listeners}, {"clusters", clusters}};
  }
  // Groups routes by host; a host may appear more than once.
  json listeners_of(const Model& routes) {
    json listeners = json::array();
    for (const auto& [name, route] : routes) {
      const auto listener = std::ranges::find_if(listeners,
                                                 [&](const json& l) { return l["vhost"] == route.host; });
      if (listener != listeners.end() && random_() % 4 != 0) {
        (*listener)["policy"].push_back(policy_of(name, route));
      } else {
        listeners.push_back({{"vhost", route.host}, {"policy", json::array({policy_of(name, route)})}});
      }
    }
    return listeners;
  }

  void replace() {
    Model next;
    for (auto n = random_() % 8; n > 0; --n) next[random_name()] = random_route();
    submit(ChangeKind::replace, document_with(listeners_of(next)), next);
  }
  void patch() {
    Model next = model_;
    Model changed;
    for (auto n = random_() % 4; n > 0; --n) changed[random_name()] = random_route();
    json removed = json::array();
    for (auto n = random_() % 3; n > 0; --n)
      if (const auto name = random_name(); !changed.contains(name)) removed.push_back(name);
    for (const auto& [name, route] : changed) next[name] = route;
    for (const auto& name : removed) next.erase(name);
    json body = {{"upsert", {{"listeners", listeners_of(changed)}}}, {"remove", {{"routing", removed}}}};
    submit(ChangeKind::patch, std::move(body), next);
  }

  void submit(ChangeKind kind, json body, const Model& next) {
    const auto parent = state_.version();
    body["gen"] = configuration::format_version(parent + 1 + random_() % 3);
    body["parent"] = configuration::format_version(parent);
    const auto text = body.dump();
    const auto result = kind == ChangeKind::replace ? configuration::validate_replace(state_, text, nullptr)
                                                    : configuration::validate_patch(state_, text, nullptr);
    BOOST_TEST(result.status == (is_valid(next) ? 200 : 400), "seed " << seed_ << ": " << result.why);
    const bool effect = configuration::apply(state_, kind, text);
    BOOST_TEST(effect == is_valid(next), "seed " << seed_);
    follow(kind, text);
    if (effect) model_ = next;
  }

  // Applies the change to the copy as a log entry.
  void follow(ChangeKind kind, const std::string& text) {
    fleet::Outgoing out;
    auto entries = out.frame().initChanges().initEntries(1);
    fleet::put(entries[0], fleet::Entry{copy_.position() + 1, fleet::change_of(kind), text});
    copy_.accept(out.frame().asReader().getChanges());
  }
  // Restarts the copy from a snapshot, as a proxy does.
  void restart() {
    const auto snapshot = transfer::decode(transfer::encode(state_)->bytes);
    BOOST_REQUIRE(snapshot.has_value());
    copy_.forget();
    copy_.accept(*snapshot);
  }

  void check() {
    const auto& configuration = copy_.configuration();
    BOOST_REQUIRE(configuration != nullptr);
    BOOST_TEST(copy_.state().document == state_.document);
    BOOST_TEST(configuration->version == state_.version());
    for (const auto& host : kHosts)
      for (const auto& prefix : kPrefixes) {
        const auto* route = configuration->find_route(host, prefix + "x");
        const auto expected = route_of(model_, host, prefix + "x");
        BOOST_TEST((route ? route->name : "") == expected, "seed " << seed_ << ": " << host << prefix);
        if (!route || expected.empty()) continue;
        const auto& service = configuration->services[route->targets.front().service].name;
        BOOST_TEST(service == model_.at(expected).service, "seed " << seed_ << ": " << expected);
      }
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  Model model_;
  State state_;
  fleet::ChangeLog copy_;
};

BOOST_AUTO_TEST_SUITE(configuration_model)

BOOST_AUTO_TEST_CASE(given_random_patches_and_restarts_when_routes_are_looked_up_then_they_match_the_model) {
  for (std::uint64_t seed = 1; seed <= last_seed(100); ++seed) ModelRun(seed).run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
