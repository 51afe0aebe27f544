// A stand-in for Redis, without I/O: the keys, the commands on them, and the replies as bytes, written from the
// published documentation so that an ordinary client library can work with it. One Database is one server; a Client is
// what it keeps of one connection. Time is given in milliseconds since the Unix epoch.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace docklift::standins {

using Words = std::vector<std::string>;

// Takes commands from a stream of bytes: arrays of bulks, or inline ones.
class CommandReader {
 public:
  void feed(std::string_view bytes) { in_ += bytes; }
  std::optional<Words> next();  // empty words: an empty line, to be passed over
  bool failed() const { return failed_; }

 private:
  std::string in_;
  bool failed_ = false;
};

struct Client {
  std::uint64_t id = 0;
  int protocol = 2;
  bool authenticated = false, multi = false, broken_multi = false, quits = false;
  bool asking = false;    // ASKING: for the next command, or the transaction that it begins
  bool reads_here = false;  // READONLY: a replica may answer
  std::set<std::string> channels;
  int database = 0;
  std::string name;
  std::vector<Words> queued;
  std::map<std::pair<int, std::string>, std::uint64_t> watched;  // and the version at WATCH
};

struct DatabaseOptions {
  std::string user = "default", password;  // no password: none is asked for
  bool resp3 = true;                       // HELLO is known
  std::uint64_t identity = 0;              // of this server among others: part of its run ids
};

// A command that changed something, for those that follow.
struct Logged {
  std::int64_t at = 0;
  int database = 0;
  Words words;
};

// What the server is in, beside its data.
struct DatabaseFaults {
  std::int64_t loading_until = 0;  // LOADING
  bool oom = false, readonly = false, busy = false;
  std::string denied{};  // no rights to keys that hold this: NOPERM
};

class Cluster;

class Database {
 public:
  explicit Database(DatabaseOptions options = {}) : options_(std::move(options)) { new_life(); }

  Client connect();
  // The reply to one command, as bytes; empty for what says nothing.
  std::string run(Client& client, const Words& words, std::int64_t now_ms);

  DatabaseFaults& faults() { return faults_; }
  // The process starts again: empty, or with its data as it was `ms` ago (60 s at most), under a new run id.
  void restart_empty();
  void restart_from(std::int64_t now_ms, std::int64_t ms_ago);
  void flush() { databases_.clear(); }  // all keys, in the same life
  const std::string& run_id() const { return run_id_; }
  std::optional<std::string> value(const std::string& key, std::int64_t now_ms, int database = 0);
  std::uint64_t commands() const { return commands_; }

  // It is member `index` of a group, which says where keys lie and who is whose replica; not owned.
  void join(Cluster* cluster, std::size_t index) { cluster_ = cluster, index_ = index; }
  // What has changed, from the first entry still kept on.
  const std::deque<Logged>& log() const { return log_; }
  std::uint64_t log_end() const { return log_begin_ + log_.size(); }
  std::uint64_t log_begin() const { return log_begin_; }
  void forget_log(std::uint64_t until);
  void apply(const Logged& change);           // as a replica does
  void copy_data(const Database& other);      // a full synchronisation
  std::vector<std::string> keys_in_slot(std::uint16_t slot, std::int64_t now_ms);
  void move_key(const std::string& key, Database& to, std::int64_t now_ms);  // MIGRATE
  bool has(const std::string& key, std::int64_t now_ms) { return version_of(0, key, now_ms) != 0; }

 private:
  using Hash = std::map<std::string, std::string>;
  struct Entry {
    std::variant<std::string, Hash> value;
    std::int64_t expires = 0;  // 0: never
    std::uint64_t version = 0;
  };
  using Keys = std::unordered_map<std::string, Entry>;
  struct Undo {
    std::int64_t at = 0;
    int database = 0;
    std::string key;
    std::optional<Entry> before;
  };
  struct Call {  // one command that runs
    Client& client;
    const Words& words;
    std::int64_t now;
  };

  std::string execute(Client& client, const Words& words, std::int64_t now);
  std::string execute_here(Client& client, const Words& words, std::int64_t now);
  std::optional<std::string> elsewhere(const Client& client, const std::vector<Words>& commands, std::int64_t now);
  void new_life();
  std::string run_multi(Client& client, std::int64_t now);
  std::string connection_command(const Call& c, const std::string& name, bool& known);
  std::string key_command(const Call& c, const std::string& name);
  std::string set(const Call& c);
  std::string add(const Call& c, std::int64_t amount);
  std::string add_float(const Call& c);
  std::string expire(const Call& c, std::int64_t unit);
  std::string scan(const Call& c);
  std::string info() const;
  bool denies(const Words& words) const;
  std::string mode() const;
  bool is_replica() const;
  std::string hello(const Call& c);
  Entry* find(const Call& c, const std::string& key);
  Entry& change(const Call& c, const std::string& key);  // makes it, if it isn't there
  bool erase(const Call& c, const std::string& key);
  void note_change(const Call& c, const std::string& key);
  std::uint64_t version_of(int database, const std::string& key, std::int64_t now);

  DatabaseOptions options_;
  DatabaseFaults faults_;
  std::map<int, Keys> databases_;
  std::deque<Undo> undo_;
  std::string run_id_;
  std::uint64_t clients_ = 0, versions_ = 0, commands_ = 0, runs_ = 0;
  Cluster* cluster_ = nullptr;
  std::size_t index_ = 0;
  std::deque<Logged> log_;
  std::uint64_t log_begin_ = 0;
};

}  // namespace docklift::standins
