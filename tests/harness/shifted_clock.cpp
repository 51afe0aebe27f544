// A library for LD_PRELOAD: the wall clock of a process of ours is off by SHIFTED_CLOCK_MS, as on a machine whose clock was set wrong. Its other
// clocks are what they are.
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const auto failed = ::syscall(SYS_clock_gettime, clock, now);
  if (failed != 0 || clock != CLOCK_REALTIME) return static_cast<int>(failed);
  static const long long shift = [] {
    const char* ms = std::getenv("SHIFTED_CLOCK_MS");
    return (ms ? std::atoll(ms) : 0) * 1'000'000;
  }();
  const long long ns = now->tv_nsec + shift;
  const long long second = 1'000'000'000, seconds = (ns - (ns < 0 ? second - 1 : 0)) / second;
  now->tv_sec += seconds, now->tv_nsec = ns - seconds * second;
  return 0;
}
