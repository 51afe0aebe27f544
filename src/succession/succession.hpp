// One process takes the place of another that runs beside it: who accepts, who listens for the next one, how the one
// limit of descriptors is shared out. Both sides as machines without I/O; replacement.cpp carries out.
//
// What holds at any time, whatever is lost or comes twice (tests/succession_test.cpp):
// - from the first moment on some live process accepts, or has the listening socket and will: the running one stops only after the new
//   one has said that it serves, and accepts again if that one ends;
// - a connection of a client is passed on only to one that serves;
// - what both may hold of descriptors together never passes the limit: the running one promises, the new one takes what is left.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::succession {

// ---- Words: one a packet, the first line; bytes of a client's connection stand behind it ------------------------------

struct Word {
  enum class Kind { hello, listener, serving, promise, client, unknown };
  Kind kind = Kind::unknown;
  std::size_t number = 0;    // of hello: the version; of listener and promise: descriptors
  std::string_view bytes{};  // of client: what was read of a request that is not whole
};
inline constexpr std::size_t kVersion = 1;

Word read_word(std::string_view packet);  // a view into it; a listener and a client come with a descriptor
std::string hello();
std::string listener(std::size_t promise);
std::string serving();
std::string promise(std::size_t descriptors);
std::string client(std::string_view bytes);

// ---- The running one ------------------------------------------------------------------------------------------------

// Descriptors kept free for a new process until it serves.
std::size_t start_share(std::size_t limit);

enum class Incumbency {
  give_listener,   // with what it promises to hold at most from now on
  refuse,          // close the channel: another one is being helped
  stop_accepting,  // and pass on every connection of a client as soon as that idles
  accept_again,    // and pass on nothing more
  take_back,       // the whole limit of descriptors
  promise,         // what it holds has become less
};

class Incumbent {
 public:
  explicit Incumbent(std::size_t limit) : limit_(limit), promised_(limit) {}

  // Each event gives what is to be done, in order.
  std::vector<Incumbency> asked(std::size_t version);  // a hello has come
  std::vector<Incumbency> successor_serves();
  std::vector<Incumbency> successor_ended();  // its channel has ended
  // What it holds now, once it accepts nothing any more.
  std::vector<Incumbency> holds(std::size_t descriptors);

  bool passes_on() const { return state_ == State::yielded; }
  std::size_t promised() const { return promised_; }

 private:
  enum class State { alone, offered, yielded };
  State state_ = State::alone;
  std::size_t limit_, promised_;
};

// ---- The new one ----------------------------------------------------------------------------------------------------

enum class Succession {
  bind,          // a listener of its own
  adopt,         // the one that came
  accept,        // on it; it serves from now on
  tell_serving,  // the running one
  share,         // set its limit of descriptors anew
  await_next,    // listen for a process that replaces this one
};

class Successor {
 public:
  explicit Successor(std::size_t limit) : limit_(limit), share_(limit) {}

  std::vector<Succession> nobody_there();  // no running process, or one that can't help
  std::vector<Succession> came_listener(std::size_t promise);
  std::vector<Succession> came_promise(std::size_t descriptors);
  std::vector<Succession> incumbent_ended();
  std::vector<Succession> overdue();  // the running one has not answered: it may hold up to half of all
  std::vector<Succession> ready();    // this one could serve

  bool serves() const { return serves_; }
  std::size_t share() const { return share_; }

 private:
  enum class State { asking, helped, alone };
  std::vector<Succession> on_its_own(std::size_t share);
  State state_ = State::asking;
  bool ready_ = false, serves_ = false;
  std::size_t limit_, share_;
};

}  // namespace docklift::succession
