// One connection to a Redis server, without I/O: the handshake, pipelined calls, their time limits, and what becomes of
// them when the connection ends. Bytes, ends and the time go in; bytes, answers and calls that were turned away come out.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redis/counts.hpp"
#include "redis/resp.hpp"
#include "snowknot/gateway.hpp"

namespace docklift::redis {

struct SessionOptions {
  std::string user, password;  // AUTH, if there is a password; no user: the default one
  std::string client_name;     // CLIENT SETNAME, if there is one
  std::int64_t database = 0;   // SELECT
  std::string prefix = "docklift:";
  bool resp3 = true;                   // HELLO 3; falls back to version 2 where the server doesn't know it
  snowknot::Duration call_limit{};     // from a call to its answer
  snowknot::Duration idle_limit{};     // a PING keeps a connection that idles from being closed
  snowknot::Duration silence_limit{};  // without a byte while replies are owed: the connection is dead
  std::size_t most_calls = 1024;       // waiting for a reply; further ones are refused at once
  bool held = false;  // after the handshake calls wait until release(): who uses it looks at the server first
  bool redirects = false;  // calls that a cluster turns away come out of turned_away() rather than as answers
};

// One call to add to a count.
struct CountCall {
  snowknot::CountName name{};
  std::int64_t parts = 0, milliseconds = 1;
  snowknot::Time began{};
  int hops = 0;         // how often it was turned away
  bool asking = false;  // ASKING goes before it
};

// What came back for ask(): all its replies, or none where the connection ended before.
struct Asked {
  std::uint64_t tag = 0;
  snowknot::Time sent{};
  std::vector<Reply> replies;
};

// Every call ends in exactly one answer: refused where nothing can have been added, timeout where nobody knows. A reply
// that comes after its call's limit is consumed and says nothing any more.
class Session {
 public:
  explicit Session(SessionOptions options) : options_(std::move(options)) {}

  // The connection has come up: the handshake begins. One that is lost is taken up again by this same call.
  void connected(snowknot::Time now);
  void received(snowknot::Time now, std::string_view bytes);
  // So many bytes of what output() gave have been written, in all since connected().
  void written(std::size_t bytes);
  // The connection has ended, or never came up. What was not written whole was not added.
  void lost(snowknot::Time now);
  void add(snowknot::Time now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  void add(snowknot::Time now, CountCall call);
  // Other commands, once the handshake is through: `count` replies are awaited; `text` of no replies is only written.
  void ask(snowknot::Time now, std::string_view text, std::size_t count, std::uint64_t tag);
  void release(snowknot::Time now);
  // Ends it as if the protocol had been broken.
  void give_up(std::string why) {
    if (broken_.empty()) broken_ = std::move(why);
  }
  void tick(snowknot::Time now);
  // When tick() is wanted at the latest, if at all.
  std::optional<snowknot::Time> due() const;

  std::string output();  // bytes to write, given once
  std::vector<snowknot::CountAnswer> answers();
  std::vector<std::pair<CountCall, std::string>> turned_away();  // and the server's error
  std::vector<Asked> asked();
  std::vector<Reply> pushes();
  bool greeted() const { return stage_ == Stage::up; }  // the handshake is through
  // Nothing that comes on this connection is of use: it is to be closed, and lost() called.
  bool broken() const { return !broken_.empty(); }
  const std::string& why() const { return broken_; }
  bool up() const { return stage_ == Stage::up && !held_; }
  bool answered() const { return answered_; }  // a call, since connected()
  std::size_t calls() const { return waiting_.size() + sent_.size(); }
  int protocol() const { return protocol_; }

 private:
  enum class Stage { down, hello, auth, name, select, up };
  enum class Kind { add, ping, ask };
  struct Call {
    CountCall count;
    std::size_t end = 0;  // where its last byte stands in the stream of this connection
    Kind kind = Kind::add;
    bool told = false, asking = false;  // asking: the reply to ASKING is still to come
    AddReplies replies;
    std::size_t left = 1;  // replies still to come, of an ask
    Asked asked;
  };

  void shake(Stage next);
  void take(snowknot::Time now, const Reply& reply);
  void take_handshake(const Reply& reply);
  void flush();
  void put(std::string_view text);
  void tell(snowknot::Time now, Call& call, snowknot::CountOutcome outcome, double total = 0);
  void sent(snowknot::Time now, Call call, std::string_view text);
  void take_add(snowknot::Time now, Call& call);

  SessionOptions options_;
  Stage stage_ = Stage::down;
  RespReader reader_;
  std::deque<Call> waiting_, sent_;
  std::string out_;
  std::size_t put_ = 0, written_ = 0;  // bytes since connected()
  std::vector<snowknot::CountAnswer> answers_;
  std::vector<std::pair<CountCall, std::string>> turned_;
  std::vector<Asked> asked_for_;
  std::vector<Reply> pushes_;
  std::string broken_;
  std::string leaving_;  // why a new connection is wanted as soon as nothing is owed on this one
  snowknot::Time heard_{}, asked_{};
  int protocol_ = 2;
  bool answered_ = false, held_ = false;
  bool mixed_ = false;  // calls no longer stand in the order in which they began
};

}  // namespace docklift::redis
