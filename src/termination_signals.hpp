// Masking of the signals that end or reload a process. A process that is about to end destroys its handlers; a
// signal that arrives after that would kill it, with its exit code lost.
#pragma once

#include <pthread.h>

#include <csignal>

namespace snowknot {

// Blocks or unblocks SIGTERM, SIGINT and SIGHUP in the calling thread; a blocked signal stays pending. Threads
// created later inherit the mask.
inline void block_termination_signals(bool blocked) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace snowknot
