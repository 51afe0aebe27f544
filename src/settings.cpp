// Validates settings.
#include <cmath>
#include <initializer_list>
#include <stdexcept>

#include "snowknot/gateway.hpp"

namespace snowknot {
namespace {

using namespace std::chrono_literals;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

void require(bool valid, const std::string& field) {
  if (!valid) throw std::invalid_argument("snowknot settings: " + field);
}

using Numbers = std::initializer_list<std::pair<double, const char*>>;
// Each number must be finite and not negative; `prefix` goes before its name in the message.
void require_0_or_more(const std::string& prefix, Numbers numbers) {
  for (const auto& [value, name] : numbers) require(std::isfinite(value) && value >= 0, prefix + name);
}

}  // namespace

void validate(const Settings& s) {
  require(!s.classes.empty(), "classes is empty");
  require(!s.plans.empty(), "plans is empty");
  require(s.fleet_size > 0 && s.index < s.fleet_size, "fleet_size or index");
  require(s.max_attempts > 0, "max_attempts");
  require(s.start_capacity > 0 && s.start_capacity <= 1, "start_capacity");
  require(std::isfinite(s.max_units) && s.max_units > 0, "max_units");
  require(!s.counter || s.counter_timeout > 0ns, "counter_timeout");
  require_0_or_more("", {{s.fall_multiple, "fall_multiple"},
                         {s.cross_zone_price, "cross_zone_price"},
                         {seconds(s.warm_within), "warm_within"},
                         {seconds(s.fall_time), "fall_time"},
                         {seconds(s.drain_grace), "drain_grace"},
                         {seconds(s.answer_slack), "answer_slack"},
                         {seconds(s.max_retry_after), "max_retry_after"}});
  for (const auto& c : s.classes) {
    require(c.aim > 0ns && c.deadline > 0ns, "class " + c.name + " aim or deadline");
    require(c.effect >= Effect::safe && c.effect <= Effect::unsafe, "class " + c.name + " effect");
    require(c.group >= Group::all && c.group <= Group::cell, "class " + c.name + " group");
    require_0_or_more("class " + c.name + " ", {{c.worth, "worth"}, {seconds(c.memory_span), "memory_span"}});
  }
  for (const auto& p : s.plans) {
    require_0_or_more("plan " + p.name + " ", {{p.rate, "rate"},
                                               {p.burst, "burst"},
                                               {p.ceiling_rate, "ceiling_rate"},
                                               {p.ceiling_burst, "ceiling_burst"}});
    require(p.rate == 0 || p.burst > 0, "plan " + p.name + " burst");
    require(p.ceiling_rate == 0 || p.ceiling_burst > 0, "plan " + p.name + " ceiling_burst");
  }
}

}  // namespace snowknot
