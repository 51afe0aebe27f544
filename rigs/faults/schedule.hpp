// Faults as data: what, whom, from when, for how long. Made at random from a seed, read from and written as TOML, and made smaller while it still
// fails. The virtual world (world.hpp) and the rigs with processes play the same schedules.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::faults {

enum class Kind {
  cut,         // nodes in `whom` and the others don't hear each other
  deaf,        // nodes in `whom` send, but hear none of the others: a cut one way
  loss,        // `amount`: part of the datagrams to and from `whom` that is lost
  delay,       // `amount`: ms at most that datagrams to and from `whom` take longer, each its own
  repeat,      // `amount`: part that comes twice, the second time up to 3 s late
  kill,        // processes die, and start anew after `length`
  pause,       // processes stand still (SIGSTOP)
  leave,       // processes are stopped as planned (SIGTERM), and start anew after `length`
  empty_store, // the store of counts loses all it has
  slow_store,  // `amount`: ms that its calls take longer
  drain,       // a server is drained; nodes in `whom` hear of it by their lists `length` later than the others
  older_clock, // the next start of `whom` reads a clock that is `amount` ms behind
  power,       // all processes die at once, with what their disks had not synced; each returns within `length`, `whom` not before twice that;
               // `amount` 1: the store of counts loses all it has as well. Never in a random schedule unless named
};
const char* name_of(Kind kind);

struct Fault {
  Kind kind = Kind::cut;
  std::vector<std::size_t> whom{};  // indices of nodes
  double at = 0, length = 0;      // seconds from the start of the play
  double amount = 0;
  double end() const { return at + length; }
  auto operator<=>(const Fault&) const = default;
};

struct Schedule {
  std::size_t nodes = 4;
  std::uint64_t seed = 1;      // of everything that is random in the play
  double quiet_from = 0;       // all faults are over
  std::vector<Fault> faults{};
};

struct Mix {
  std::size_t least = 2, most = 8;
  double span = 20;            // seconds in which faults begin
  std::vector<Kind> kinds{};     // empty: all
};

// The same for a seed on any machine.
Schedule random_schedule(std::uint64_t seed, std::size_t nodes, const Mix& mix = {});

std::string to_toml(const Schedule& s);
// Throws std::invalid_argument with line, field and reason, for nodes that there are not too.
Schedule schedule_of(std::string_view toml);

// Delta debugging (Zeller, Hildebrandt 2002): a schedule of which no fault can be left out, nor be made half as long, so that it still fails.
Schedule shrunk(Schedule s, const std::function<bool(const Schedule&)>& fails, std::size_t most_tries = 200);

}  // namespace docklift::faults
