// Facts of PROTOCOL and DEPLOY, and the safety limits of the sockets: no decision follows from them. This is
// the one place of the edge node where numbers with a value of their own may stand.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "snowknot/gateway.hpp"

namespace snowknot::facts {

using namespace std::chrono_literals;

// ---- PROTOCOL ---------------------------------------------------------------------------------------
inline constexpr std::size_t kMostBody = 64 * 1024;           // bytes of a body, in either direction
inline constexpr std::uint64_t kCustomersBelow = 1ULL << 33;  // the cookie is a number below this
inline constexpr std::size_t kCustomerDigits = 16;            // hex digits of the cookie
inline constexpr Duration kWatchLine = 2s;        // an empty line comes so often while nothing changes
inline constexpr Duration kDiscoveryTold = 6s;    // what discovery has to tell counts as told after this
inline constexpr double kMostTotal = 1e15;        // of a count: millions of the largest amounts (1e9)
inline constexpr Duration kCounterIdle = 10s;     // a counter connection that stood idle so long is closed
inline constexpr Duration kNewAfterTerm = 600ms;  // new connections come for 400 ms after SIGTERM; and margin
// After SIGTERM comes SIGKILL, no sooner than the longest deadline, counted as this where it is longer, and 700 ms more.
inline constexpr Duration kLongestKept = 3s;
inline constexpr Duration kAfterStop = 1s;  // who is refused at a stop may come back after this: others serve then

// ---- Guards against peers that misbehave or vanish --------------------------------------------------
inline constexpr std::size_t kMostHeader = 8 * 1024;  // bytes of a message's head; more is answered 431
inline constexpr std::size_t kReadSize = 4 * 1024;    // asked of a socket at once
inline constexpr int kMostInterim = 16;               // interim answers (1xx) ahead of one answer
inline constexpr std::size_t kMostId = 256;           // bytes of X-Request-ID and Idempotency-Key
inline constexpr std::uint64_t kMostTimeoutMs = 1000ULL * 60 * 60;
inline constexpr Duration
    kSlowRequest = 2500ms;                    // a request must have come whole: an error is owed within 3 s
inline constexpr Duration kSlowReader = 10s;  // and an answer must have been taken, or a piece of a long one
// Long answers, where they are passed on
inline constexpr std::size_t kPiece = 32 * 1024;  // read at once, and held of each
inline constexpr Duration kHoldAnswer = 250ms;    // one in chunks is held so long at most, in the hope that it is whole
inline constexpr Duration kServerPause = 10s;     // of the server, before the answer is cut
inline constexpr Duration kLinger = 1s;       // for a client to take an answer that ends its connection
inline constexpr Duration kIdleClient = 15s;  // a session with no request for so long is closed
inline constexpr Duration kMayClose = 2s;     // and so early where room is needed, as the protocol allows
inline constexpr Duration kSilent = 300ms;    // a new session on which nothing has come for so long
inline constexpr double kCrowd = 0.25;  // part of all sessions past which new ones give room to each other
inline constexpr std::size_t kMostDropped = 1UL << 20U;  // bytes passed over, so that an early error arrives
inline constexpr Duration kSweep = 250ms;                // sessions and pools are looked through so often
inline constexpr int kReloadTries = 5;                   // for a new configuration that can't be read
inline constexpr Duration kReloadPause = 200ms;          // between them
inline constexpr Duration kAcceptPause = 20ms;           // after accept() found no descriptor
inline constexpr double kIdlePart = 0.8;  // of the servers' idle limit, for which a pool keeps a connection
// Connections that are used again: of those that idled long only a few more may break than of those that did
// not, and fewer where the request can't be sent again. What was seen is forgotten, so that it is tried again.
inline constexpr std::size_t kReuseSpans = 10;        // by how long they had idled: each twice the one before
inline constexpr Duration kReuseFirstSpan = 50ms;     // the first one
inline constexpr Duration kReuseMemory = 20s;         // a sighting weighs e^-1 after this
inline constexpr double kReusePrior = 10;             // sightings of whole ones that are taken for granted
inline constexpr double kReuseUsual = 0.1;            // the most that counts as usual
inline constexpr double kReuseBroken = 0.08;          // more than usual
inline constexpr double kReuseBrokenOnce = 0.03;      // for a request that can't be sent again
inline constexpr std::size_t kMostLine = 256;         // bytes of a counter's answer
inline constexpr std::size_t kMostList = 1UL << 20U;  // bytes of one line of the watch: thousands of servers
inline constexpr std::size_t kCounterLinks = 8;  // connections: a crowded or broken one holds up only its own
inline constexpr int kCounterSilent = 10;        // time-outs without an answer: the connection is dead
inline constexpr Duration kFirstBackoff = 50ms;  // before a connection is tried again; doubles
inline constexpr Duration kLongestBackoff = 1s;  //
inline constexpr std::uint32_t kWideFleet = 15;  // nodes past which calls that failed are spread over the fleet
inline constexpr Duration kCallSpan = 50ms;      // for each node of a wide fleet: what a call of it may take of discovery
inline constexpr int kMostSpans = 4;             // pauses grow to so many times that for all
inline constexpr Duration kConnectLimit = 1s;    // for a connection to discovery or the counter to come up

// While the node is set aside: a connection that idles waits so long for a request whose answer can say that it ends. All
// have to be gone 4 s after the call, and the sweep takes its time.
inline constexpr Duration kAside = 1s;

// ---- Descriptors: shares of the limit ---------------------------------------------------------------
inline constexpr std::size_t
    kOwnDescriptors = 28;                     // standard streams, epoll, timer, signals, listener, discovery
inline constexpr std::size_t kAdminDescriptors = 20;  // the operators' door: listener, callers, and a spare
inline constexpr std::size_t kSpareDescriptors = 4;   // of a process that gives way: for further attempts of what is open
inline constexpr double kClientShare = 0.55;  // of the rest; the servers get what is left

// ---- Memory -----------------------------------------------------------------------------------------
inline constexpr std::size_t kMegabyte = 1UL << 20U;
inline constexpr std::size_t
    kMemoryPart = 4;  // a quarter of it each for the bodies of clients and of servers

}  // namespace snowknot::facts
