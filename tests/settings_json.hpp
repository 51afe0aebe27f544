// Settings as they come in JSON, for the tests of both programs.
#pragma once

#include <nlohmann/json.hpp>

namespace snowknot::test {

inline nlohmann::json facts() {
  return nlohmann::json::parse(
      R"({"az":"z1","zones":["z0","z1"],"discovery":"push","family":"gate","fleet-size":2,"index":0,
    "weights":"off","later-key":{"x":1},
    "ceilings":{"cancel":true,"connect-timeout-ns":250000000,"keepalive-ns":30000000000,"max-attempts":3,"max-retry-after-ns":1000000000,
                "probes":true,"retry-after":true,"second-copies":false},
    "extra":{"count-limit-ns":40000000,"counter":true,"counter-price":0,"max-units":2,"trued-up":false},
    "grades":[{"gain":1,"group":"all","hard-limit-ns":2000000000,"idempotency":"safe","late-worth":0,
               "memory-span-ns":1,"name":"read","on-time-ns":500000000,"streamed":false}],
    "packages":[{"cap-depth":0,"ceiling-rate":0,"max-out":0,"name":"p","over-worth":0,"overrun-cost":1,
                 "store-size":12,"tolerance":0,"units-per-s":4,"value-factor":1}],
    "prices":{"cross-zone":0,"probe":0},
    "safety":{"answer-slack-ns":10,"drain-grace-ns":10,"fall-multiple":2,"fall-ns":10,"start-capacity":0.5,
              "warm-within-ns":1000000000}})");
}

}  // namespace snowknot::test
