#include "database.hpp"

#include "cluster.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace docklift::standins {
namespace {

constexpr std::int64_t kUndoSpan = 60'000;
constexpr int kDatabases = 16;
constexpr const char* kSyntax = "-ERR syntax error\r\n";
constexpr const char* kNotInteger = "-ERR value is not an integer or out of range\r\n";
constexpr const char* kWrongType = "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n";
constexpr const char* kOk = "+OK\r\n";

std::string upper(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return text;
}
std::string integer(std::int64_t n) { return ":" + std::to_string(n) + "\r\n"; }
std::string bulk(const std::string& text) { return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n"; }
std::string null(const Client& c) { return c.protocol == 3 ? "_\r\n" : "$-1\r\n"; }
std::string array(const std::vector<std::string>& items) {
  std::string all = "*" + std::to_string(items.size()) + "\r\n";
  for (const auto& i : items) all += i;
  return all;
}
// Keys and values in turn: a map in version 3, a flat array before.
std::string map(const Client& c, const std::vector<std::string>& items) {
  auto all = array(items);
  if (c.protocol == 3) all.replace(0, all.find("\r\n"), "%" + std::to_string(items.size() / 2));
  return all;
}
std::string arguments(const std::string& name) {
  std::string lower = name;
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return "-ERR wrong number of arguments for '" + lower + "' command\r\n";
}
std::optional<std::int64_t> number(const std::string& text) {
  std::int64_t n = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (failed != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}

// How few and how many words a command has, itself among them; and whether it writes, or may need memory.
struct Shape {
  std::size_t least, most;
  bool writes = false, grows = false;
  // Words that are keys: the first, all, or none.
  enum class Keys { none, one, all } keys = Keys::one;
};
constexpr std::size_t kMany = 1'000'000;
const std::map<std::string, Shape>& shapes() {
  static const std::map<std::string, Shape> all{
      {"GET", {2, 2}}, {"SET", {3, kMany, true, true}}, {"DEL", {2, kMany, true, false, Shape::Keys::all}},
      {"UNLINK", {2, kMany, true, false, Shape::Keys::all}}, {"EXISTS", {2, kMany, false, false, Shape::Keys::all}}, {"TYPE", {2, 2}}, {"INCR", {2, 2, true, true}}, {"DECR", {2, 2, true, true}},
      {"INCRBY", {3, 3, true, true}}, {"DECRBY", {3, 3, true, true}}, {"INCRBYFLOAT", {3, 3, true, true}},
      {"EXPIRE", {3, 4, true}}, {"PEXPIRE", {3, 4, true}}, {"PERSIST", {2, 2, true}}, {"TTL", {2, 2}}, {"PTTL", {2, 2}},
      {"MGET", {2, kMany, false, false, Shape::Keys::all}}, {"HSET", {4, kMany, true, true}}, {"HGET", {3, 3}}, {"HINCRBY", {4, 4, true, true}},
      {"HGETALL", {2, 2}}, {"SCAN", {2, kMany, false, false, Shape::Keys::none}},
      {"KEYS", {2, 2, false, false, Shape::Keys::none}}, {"DBSIZE", {1, 1, false, false, Shape::Keys::none}},
      {"FLUSHALL", {1, 2, true, false, Shape::Keys::none}}, {"FLUSHDB", {1, 2, true, false, Shape::Keys::none}},
      {"TIME", {1, 1, false, false, Shape::Keys::none}}};
  return all;
}

// The glob patterns of SCAN and KEYS, as far as they are used: * and ?.
bool matches(std::string_view pattern, std::string_view text) {
  if (pattern.empty()) return text.empty();
  if (pattern[0] == '*') return matches(pattern.substr(1), text) || (!text.empty() && matches(pattern, text.substr(1)));
  return !text.empty() && (pattern[0] == '?' || pattern[0] == text[0]) && matches(pattern.substr(1), text.substr(1));
}

}  // namespace

// ---- Commands from bytes ----------------------------------------------------------------------------------

std::optional<Words> CommandReader::next() {
  if (failed_) return std::nullopt;
  auto end = in_.find("\r\n");
  if (end == std::string::npos) return std::nullopt;
  if (in_[0] != '*') {
    Words words(1);
    for (const char c : in_.substr(0, end)) {
      if (c == ' ')
        words.emplace_back();
      else
        words.back() += c;
    }
    std::erase(words, "");
    in_.erase(0, end + 2);
    return words;
  }
  const auto count = number(in_.substr(1, end - 1));
  if (!count || *count < 0 || *count > 1024 * 1024) return failed_ = true, std::nullopt;
  Words words;
  std::size_t at = end + 2;
  for (std::int64_t i = 0; i < *count; ++i) {
    end = in_.find("\r\n", at);
    if (end == std::string::npos) return std::nullopt;
    const auto length = in_[at] == '$' ? number(in_.substr(at + 1, end - at - 1)) : std::nullopt;
    if (!length || *length < 0 || *length > 512LL * 1024 * 1024) return failed_ = true, std::nullopt;
    at = end + 2;
    if (in_.size() < at + static_cast<std::size_t>(*length) + 2) return std::nullopt;
    words.push_back(in_.substr(at, static_cast<std::size_t>(*length)));
    at += static_cast<std::size_t>(*length) + 2;
  }
  in_.erase(0, at);
  return words;
}

// ---- Keys ---------------------------------------------------------------------------------------------------

Database::Entry* Database::find(const Call& c, const std::string& key) {
  auto& keys = databases_[c.client.database];
  const auto it = keys.find(key);
  if (it == keys.end()) return nullptr;
  if (it->second.expires == 0 || it->second.expires > c.now) return &it->second;
  keys.erase(it);
  return nullptr;
}

void Database::note_change(const Call& c, const std::string& key) {
  const auto* e = find(c, key);
  undo_.push_back({c.now, c.client.database, key, e ? std::optional(*e) : std::nullopt});
  while (!undo_.empty() && undo_.front().at + kUndoSpan < c.now) undo_.pop_front();
}

Database::Entry& Database::change(const Call& c, const std::string& key) {
  note_change(c, key);
  auto& e = databases_[c.client.database][key];
  e.version = ++versions_;
  return e;
}

bool Database::erase(const Call& c, const std::string& key) {
  if (!find(c, key)) return false;
  note_change(c, key);
  ++versions_;
  databases_[c.client.database].erase(key);
  return true;
}

std::uint64_t Database::version_of(int database, const std::string& key, std::int64_t now) {
  Client reader;
  reader.database = database;
  const Words none;
  const auto* e = find({reader, none, now}, key);
  return e ? e->version : 0;
}

std::optional<std::string> Database::value(const std::string& key, std::int64_t now, int database) {
  Client reader;
  reader.database = database;
  const Words none;
  const auto* e = find({reader, none, now}, key);
  const auto* s = e ? std::get_if<std::string>(&e->value) : nullptr;
  return s ? std::optional(*s) : std::nullopt;
}

void Database::restart_empty() {
  databases_.clear();
  undo_.clear();
  new_life();
}

void Database::new_life() {
  std::array<char, 48> id{};
  std::snprintf(id.data(), id.size(), "%016llx%024llu", static_cast<unsigned long long>(options_.identity),
                static_cast<unsigned long long>(++runs_));
  run_id_ = id.data();
}

void Database::forget_log(std::uint64_t until) {
  for (; log_begin_ < until && !log_.empty(); ++log_begin_) log_.pop_front();
}

void Database::apply(const Logged& change) {
  Client c;
  c.authenticated = true, c.database = change.database;
  execute_here(c, change.words, change.at);
}

void Database::copy_data(const Database& other) {
  databases_ = other.databases_;
  undo_.clear();
}

std::vector<std::string> Database::keys_in_slot(std::uint16_t slot, std::int64_t now) {
  std::vector<std::string> found;
  for (const auto& [k, e] : databases_[0])
    if (Cluster::slot_of(k) == slot && (e.expires == 0 || e.expires > now)) found.push_back(k);
  return found;
}

void Database::move_key(const std::string& key, Database& to, std::int64_t now) {
  Client c;
  const Words none;
  const Call call{c, none, now};
  if (const auto* e = find(call, key)) {
    to.change({c, none, now}, key) = *e;
    erase(call, key);
  }
}

void Database::restart_from(std::int64_t now, std::int64_t ago) {
  while (!undo_.empty() && undo_.back().at > now - ago) {
    auto u = std::move(undo_.back());
    undo_.pop_back();
    auto& keys = databases_[u.database];
    if (u.before)
      keys[u.key] = std::move(*u.before);
    else
      keys.erase(u.key);
  }
  auto kept = std::move(databases_);
  auto undo = std::move(undo_);
  restart_empty();
  databases_ = std::move(kept);
  undo_ = std::move(undo);
}

// ---- Commands -------------------------------------------------------------------------------------------

Client Database::connect() {
  Client c;
  c.id = ++clients_;
  c.authenticated = options_.password.empty();
  return c;
}

constexpr const char* kNoRights = "-NOPERM No permissions to access a key\r\n";

bool Database::denies(const Words& words) const {
  return !faults_.denied.empty() && words.size() > 1 && words[1].find(faults_.denied) != std::string::npos;
}

std::string Database::run(Client& client, const Words& words, std::int64_t now) {
  if (words.empty()) return {};
  ++commands_;
  const auto name = upper(words[0]);
  bool known = true;
  const Call call{client, words, now};
  if (!client.authenticated && name != "AUTH" && name != "HELLO" && name != "QUIT")
    return "-NOAUTH Authentication required.\r\n";
  if (cluster_)
    if (auto reply = cluster_->command(index_, client, words, now)) return *reply;
  if (name == "EXEC") {
    auto reply = run_multi(client, now);
    client.asking = false;
    return reply;
  }
  if (client.multi && name != "MULTI" && name != "DISCARD" && name != "WATCH" && name != "QUIT" && name != "RESET") {
    // What is wrong with a command is said when it is queued, and breaks the transaction.
    std::string refused;
    const auto shape = shapes().find(name);
    if (shape == shapes().end())
      refused = name == "PING" || name == "ECHO" ? "" : "-ERR unknown command '" + words[0] + "'\r\n";
    else if (words.size() < shape->second.least || words.size() > shape->second.most)
      refused = arguments(name);
    else if (denies(words))
      refused = kNoRights;
    else if (now < faults_.loading_until)
      refused = "-LOADING Redis is loading the dataset in memory\r\n";
    else if (const auto where = elsewhere(client, {words}, now))
      refused = *where;
    else if (shape->second.writes && (faults_.readonly || (cluster_ && cluster_->is_replica(index_))))
      refused = "-READONLY You can't write against a read only replica.\r\n";
    else if (shape->second.grows && faults_.oom)
      refused = "-OOM command not allowed when used memory > 'maxmemory'.\r\n";
    if (!refused.empty()) {
      client.broken_multi = true;
      return refused;
    }
    client.queued.push_back(words);
    return "+QUEUED\r\n";
  }
  if (auto reply = connection_command(call, name, known); known) {
    if (!client.multi) client.asking = false;
    return reply;
  }
  auto reply = execute(client, words, now);
  client.asking = false;
  return reply;
}

// MOVED, ASK and their like, where the keys of these commands don't lie here.
std::optional<std::string> Database::elsewhere(const Client& client, const std::vector<Words>& commands, std::int64_t now) {
  if (!cluster_ || !cluster_->has_slots()) return std::nullopt;
  std::vector<std::string> keys;
  bool writes = false;
  for (const auto& words : commands) {
    const auto shape = shapes().find(upper(words[0]));
    if (shape == shapes().end() || shape->second.keys == Shape::Keys::none || words.size() < 2) continue;
    writes = writes || shape->second.writes;
    if (shape->second.keys == Shape::Keys::one)
      keys.push_back(words[1]);
    else
      keys.insert(keys.end(), words.begin() + 1, words.end());
  }
  return cluster_->elsewhere(index_, keys, client, !writes, now);
}

std::string Database::execute(Client& client, const Words& words, std::int64_t now) {
  if (auto reply = elsewhere(client, {words}, now)) return *reply;
  return execute_here(client, words, now);
}

std::string Database::execute_here(Client& client, const Words& words, std::int64_t now) {
  const auto name = upper(words[0]);
  if (name == "PING") return words.size() > 1 ? bulk(words[1]) : "+PONG\r\n";
  if (name == "ECHO") return words.size() == 2 ? bulk(words[1]) : arguments(name);
  const auto shape = shapes().find(name);
  if (shape == shapes().end()) return "-ERR unknown command '" + words[0] + "', with args beginning with: \r\n";
  if (words.size() < shape->second.least || words.size() > shape->second.most) return arguments(name);
  if (denies(words)) return kNoRights;
  if (faults_.busy) return "-BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN NOSAVE.\r\n";
  if (now < faults_.loading_until) return "-LOADING Redis is loading the dataset in memory\r\n";
  const bool replica = cluster_ && cluster_->is_replica(index_) && client.id != 0;  // 0: its own master
  if (shape->second.writes && (faults_.readonly || replica))
    return "-READONLY You can't write against a read only replica.\r\n";
  if (shape->second.grows && faults_.oom) return "-OOM command not allowed when used memory > 'maxmemory'.\r\n";
  auto reply = key_command({client, words, now}, name);
  if (cluster_ && shape->second.writes && !reply.starts_with('-') && client.id != 0) {
    log_.push_back({now, client.database, words});
    cluster_->logged(index_, now);
  }
  return reply;
}

std::string Database::run_multi(Client& client, std::int64_t now) {
  if (!client.multi) return "-ERR EXEC without MULTI\r\n";
  const auto queued = std::exchange(client.queued, {});
  const auto watched = std::exchange(client.watched, {});
  client.multi = false;
  if (std::exchange(client.broken_multi, false))
    return "-EXECABORT Transaction discarded because of previous errors.\r\n";
  if (auto reply = elsewhere(client, queued, now)) return *reply;
  for (const auto& [where, version] : watched)
    if (version_of(where.first, where.second, now) != version) return client.protocol == 3 ? "_\r\n" : "*-1\r\n";
  std::vector<std::string> replies;
  for (const auto& words : queued) replies.push_back(execute_here(client, words, now));
  return array(replies);
}

std::string Database::hello(const Call& c) {
  if (!options_.resp3) return "-ERR unknown command 'HELLO', with args beginning with: \r\n";
  std::size_t at = 1;
  int protocol = c.client.protocol;
  if (c.words.size() > at) {
    const auto n = number(c.words[at++]);
    if (!n) return "-ERR Protocol version is not an integer or out of range\r\n";
    if (*n != 2 && *n != 3) return "-NOPROTO unsupported protocol version\r\n";
    protocol = static_cast<int>(*n);
  }
  std::string name = c.client.name;
  bool authenticated = c.client.authenticated;
  while (at < c.words.size()) {
    const auto word = upper(c.words[at]);
    if (word == "AUTH" && at + 2 < c.words.size()) {
      if (c.words[at + 1] != options_.user || c.words[at + 2] != options_.password)
        return "-WRONGPASS invalid username-password pair or user is disabled.\r\n";
      authenticated = true;
      at += 3;
    } else if (word == "SETNAME" && at + 1 < c.words.size()) {
      name = c.words[at + 1];
      at += 2;
    } else {
      return kSyntax;
    }
  }
  if (!authenticated)
    return "-NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> "
           "<pass> option can be used to authenticate the client and select the RESP protocol version at the same time\r\n";
  c.client.protocol = protocol, c.client.name = name, c.client.authenticated = true;
  return map(c.client, {bulk("server"), bulk("redis"), bulk("version"), bulk("7.0.0"), bulk("proto"), integer(protocol),
                        bulk("id"), integer(static_cast<std::int64_t>(c.client.id)), bulk("mode"), bulk(mode()),
                        bulk("role"), bulk(is_replica() ? "replica" : "master"), bulk("modules"), array({})});
}

bool Database::is_replica() const { return faults_.readonly || (cluster_ && cluster_->is_replica(index_)); }

std::string Database::mode() const {
  return !cluster_ ? "standalone" : cluster_->is_sentinel(index_) ? "sentinel" : cluster_->has_slots() ? "cluster" : "standalone";
}

std::string Database::info() const {
  return "# Server\r\nredis_version:7.0.0\r\nredis_mode:" + mode() + "\r\nrun_id:" + run_id_ +
         "\r\n\r\n# Clients\r\nconnected_clients:1\r\n\r\n# Persistence\r\nloading:0\r\n\r\n# Replication\r\nrole:" +
         (is_replica() ? "slave" : "master") + "\r\nconnected_slaves:0\r\nmaster_replid:" + (cluster_ ? cluster_->replication_id(index_) : run_id_) +
         "\r\nmaster_repl_offset:" +
         std::to_string(versions_) + "\r\n";
}

// What concerns the connection, the transaction or the server rather than keys.
std::string Database::connection_command(const Call& c, const std::string& name, bool& known) {
  auto& client = c.client;
  const auto n = c.words.size();
  if (name == "HELLO") return hello(c);
  if (name == "AUTH") {
    if (n < 2 || n > 3) return arguments(name);
    if (options_.password.empty() && n == 2)
      return "-ERR AUTH <password> called without any password configured for the default user. Are you sure your "
             "configuration is correct?\r\n";
    const auto& user = n == 3 ? c.words[1] : "default";
    if (user != options_.user || c.words[n - 1] != options_.password)
      return "-WRONGPASS invalid username-password pair or user is disabled.\r\n";
    client.authenticated = true;
    return kOk;
  }
  if (name == "QUIT") return client.quits = true, kOk;
  if (name == "RESET") {
    const auto id = client.id;
    client = Client{};
    client.id = id, client.authenticated = options_.password.empty();
    return "+RESET\r\n";
  }
  if (name == "SELECT") {
    const auto db = n == 2 ? number(c.words[1]) : std::nullopt;
    if (!db) return n == 2 ? "-ERR invalid DB index\r\n" : arguments(name);
    if (*db < 0 || *db >= kDatabases) return "-ERR DB index is out of range\r\n";
    client.database = static_cast<int>(*db);
    return kOk;
  }
  if (name == "CLIENT") {
    if (n < 2) return arguments(name);
    const auto what = upper(c.words[1]);
    if (what == "SETNAME" && n == 3) return client.name = c.words[2], kOk;
    if (what == "GETNAME") return client.name.empty() ? null(client) : bulk(client.name);
    if (what == "ID") return integer(static_cast<std::int64_t>(client.id));
    if (what == "INFO") return bulk("id=" + std::to_string(client.id) + " name=" + client.name + " resp=" +
                                    std::to_string(client.protocol) + "\n");
    return kOk;  // SETINFO, NO-EVICT, NO-TOUCH, TRACKING: nothing follows from them here
  }
  if (name == "INFO") return bulk(info());
  if (name == "COMMAND") {
    if (n == 1 || upper(c.words[1]) == "INFO") return array({});
    if (upper(c.words[1]) == "COUNT") return integer(static_cast<std::int64_t>(shapes().size()));
    return map(client, {});
  }
  if (name == "CONFIG") {
    if (n == 3 && upper(c.words[1]) == "GET") {
      std::vector<std::string> items;
      const std::map<std::string, std::string> all{{"maxmemory", "0"}, {"maxmemory-policy", "noeviction"},
                                                   {"save", ""}, {"appendonly", "no"}, {"databases", "16"}};
      for (const auto& [k, v] : all)
        if (matches(c.words[2], k)) items.push_back(bulk(k)), items.push_back(bulk(v));
      return map(client, items);
    }
    return kOk;
  }
  if (name == "MULTI") {
    if (client.multi) return "-ERR MULTI calls can not be nested\r\n";
    client.multi = true;
    return kOk;
  }
  if (name == "DISCARD") {
    if (!client.multi) return "-ERR DISCARD without MULTI\r\n";
    client.multi = client.broken_multi = false;
    client.queued.clear(), client.watched.clear();
    return kOk;
  }
  if (name == "WATCH") {
    if (client.multi) return "-ERR WATCH inside MULTI is not allowed\r\n";
    if (n < 2) return arguments(name);
    for (std::size_t i = 1; i < n; ++i)
      client.watched[{client.database, c.words[i]}] = version_of(client.database, c.words[i], c.now);
    return kOk;
  }
  if (name == "UNWATCH") return client.watched.clear(), kOk;
  known = false;
  return {};
}

std::string Database::set(const Call& c) {
  const auto& w = c.words;
  bool nx = false, xx = false, get = false, keep = false;
  std::int64_t expires = 0;
  for (std::size_t i = 3; i < w.size(); ++i) {
    const auto o = upper(w[i]);
    if (o == "NX") {
      nx = true;
    } else if (o == "XX") {
      xx = true;
    } else if (o == "GET") {
      get = true;
    } else if (o == "KEEPTTL") {
      keep = true;
    } else if ((o == "EX" || o == "PX" || o == "EXAT" || o == "PXAT") && i + 1 < w.size() && expires == 0) {
      const auto n = number(w[++i]);
      if (!n) return kNotInteger;
      if (*n <= 0) return "-ERR invalid expire time in 'set' command\r\n";
      expires = *n * (o[0] == 'E' ? 1000 : 1) + (o.size() == 2 ? c.now : 0);
    } else {
      return kSyntax;
    }
  }
  if ((nx && xx) || (keep && expires > 0)) return kSyntax;
  const auto* e = find(c, w[1]);
  if (get && e && !std::holds_alternative<std::string>(e->value)) return kWrongType;
  const auto old = get ? (e ? bulk(std::get<std::string>(e->value)) : null(c.client)) : std::string();
  if ((nx && e) || (xx && !e)) return get ? old : null(c.client);
  auto& changed = change(c, w[1]);
  changed.value = w[2];
  if (!keep) changed.expires = expires;
  return get ? old : kOk;
}

std::string Database::add(const Call& c, std::int64_t amount) {
  const auto* e = find(c, c.words[1]);
  std::int64_t now = 0;
  if (e) {
    const auto* s = std::get_if<std::string>(&e->value);
    if (!s) return kWrongType;
    const auto n = number(*s);
    if (!n) return kNotInteger;
    now = *n;
  }
  std::int64_t sum = 0;
  if (__builtin_add_overflow(now, amount, &sum)) return "-ERR increment or decrement would overflow\r\n";
  change(c, c.words[1]).value = std::to_string(sum);
  return integer(sum);
}

std::string Database::add_float(const Call& c) {
  const auto read = [](const std::string& text) -> std::optional<long double> {
    char* end = nullptr;
    const long double n = std::strtold(text.c_str(), &end);
    if (text.empty() || *end != '\0' || std::isnan(n)) return std::nullopt;
    return n;
  };
  const auto* e = find(c, c.words[1]);
  if (e && !std::holds_alternative<std::string>(e->value)) return kWrongType;
  const auto now = e ? read(std::get<std::string>(e->value)) : 0.0L;
  const auto more = read(c.words[2]);
  if (!now || !more) return "-ERR value is not a valid float\r\n";
  const long double sum = *now + *more;
  if (!std::isfinite(sum)) return "-ERR increment would produce NaN or Infinity\r\n";
  std::array<char, 128> text{};
  std::snprintf(text.data(), text.size(), "%.17Lf", sum);
  std::string shown = text.data();
  while (shown.back() == '0') shown.pop_back();
  if (shown.back() == '.') shown.pop_back();
  change(c, c.words[1]).value = shown;
  return bulk(shown);
}

std::string Database::expire(const Call& c, std::int64_t unit) {
  const auto n = number(c.words[2]);
  if (!n) return kNotInteger;
  const auto at = c.now + *n * unit;
  auto* e = find(c, c.words[1]);
  if (!e) return integer(0);
  if (c.words.size() == 4) {
    const auto how = upper(c.words[3]);
    if (how != "NX" && how != "XX" && how != "GT" && how != "LT") return "-ERR Unsupported option " + c.words[3] + "\r\n";
    if ((how == "NX" && e->expires != 0) || (how == "XX" && e->expires == 0) ||
        (how == "GT" && (e->expires == 0 || at <= e->expires)) || (how == "LT" && e->expires != 0 && at >= e->expires))
      return integer(0);
  }
  if (at <= c.now) return erase(c, c.words[1]), integer(1);
  change(c, c.words[1]).expires = at;
  return integer(1);
}

// All in one go: a cursor of 0 comes back at once, which the specification allows.
std::string Database::scan(const Call& c) {
  std::string pattern = "*";
  for (std::size_t i = 2; i + 1 < c.words.size(); i += 2)
    if (upper(c.words[i]) == "MATCH") pattern = c.words[i + 1];
  std::vector<std::string> found, names;
  for (const auto& [k, e] : databases_[c.client.database]) names.push_back(k);
  for (const auto& k : names)
    if (find(c, k) && matches(pattern, k)) found.push_back(bulk(k));
  return array({bulk("0"), array(found)});
}

std::string Database::key_command(const Call& c, const std::string& name) {
  const auto& w = c.words;
  if (name == "SET") return set(c);
  if (name == "GET") {
    const auto* e = find(c, w[1]);
    if (!e) return null(c.client);
    const auto* s = std::get_if<std::string>(&e->value);
    return s ? bulk(*s) : kWrongType;
  }
  if (name == "MGET") {
    std::vector<std::string> items;
    for (std::size_t i = 1; i < w.size(); ++i) {
      const auto* e = find(c, w[i]);
      const auto* s = e ? std::get_if<std::string>(&e->value) : nullptr;
      items.push_back(s ? bulk(*s) : null(c.client));
    }
    return array(items);
  }
  if (name == "DEL" || name == "UNLINK" || name == "EXISTS") {
    std::int64_t n = 0;
    for (std::size_t i = 1; i < w.size(); ++i) n += name == "EXISTS" ? find(c, w[i]) != nullptr : erase(c, w[i]);
    return integer(n);
  }
  if (name == "TYPE") {
    const auto* e = find(c, w[1]);
    return !e ? "+none\r\n" : std::holds_alternative<std::string>(e->value) ? "+string\r\n" : "+hash\r\n";
  }
  if (name == "INCR") return add(c, 1);
  if (name == "DECR") return add(c, -1);
  if (name == "INCRBY" || name == "DECRBY") {
    const auto n = number(w[2]);
    if (!n || *n == INT64_MIN) return kNotInteger;
    return add(c, name == "INCRBY" ? *n : -*n);
  }
  if (name == "INCRBYFLOAT") return add_float(c);
  if (name == "EXPIRE") return expire(c, 1000);
  if (name == "PEXPIRE") return expire(c, 1);
  if (name == "PERSIST") {
    const auto* e = find(c, w[1]);
    if (!e || e->expires == 0) return integer(0);
    change(c, w[1]).expires = 0;
    return integer(1);
  }
  if (name == "TTL" || name == "PTTL") {
    const auto* e = find(c, w[1]);
    if (!e) return integer(-2);
    if (e->expires == 0) return integer(-1);
    return integer(name == "PTTL" ? e->expires - c.now : (e->expires - c.now + 500) / 1000);
  }
  if (name == "HSET" || name == "HINCRBY" || name == "HGETALL" || name == "HGET") {
    const auto* e = find(c, w[1]);
    if (e && !std::holds_alternative<Hash>(e->value)) return kWrongType;
    Hash hash = e ? std::get<Hash>(e->value) : Hash{};
    if (name == "HGET") return hash.contains(w[2]) ? bulk(hash[w[2]]) : null(c.client);
    if (name == "HGETALL") {
      std::vector<std::string> items;
      for (const auto& [k, v] : hash) items.push_back(bulk(k)), items.push_back(bulk(v));
      return map(c.client, items);
    }
    std::int64_t result = 0;
    if (name == "HSET") {
      if (w.size() % 2 != 0) return arguments(name);
      for (std::size_t i = 2; i < w.size(); i += 2) result += hash.insert_or_assign(w[i], w[i + 1]).second;
    } else {
      const auto now = hash.contains(w[2]) ? number(hash[w[2]]) : std::optional<std::int64_t>(0);
      const auto more = number(w[3]);
      if (!now) return "-ERR hash value is not an integer\r\n";
      if (!more) return kNotInteger;
      if (__builtin_add_overflow(*now, *more, &result)) return "-ERR increment or decrement would overflow\r\n";
      hash[w[2]] = std::to_string(result);
    }
    change(c, w[1]).value = std::move(hash);
    return integer(result);
  }
  if (name == "SCAN") return number(w[1]) ? scan(c) : "-ERR invalid cursor\r\n";
  if (name == "KEYS") {
    std::vector<std::string> found, names;
    for (const auto& [k, e] : databases_[c.client.database]) names.push_back(k);
    for (const auto& k : names)
      if (find(c, k) && matches(w[1], k)) found.push_back(bulk(k));
    return array(found);
  }
  if (name == "DBSIZE") {
    std::vector<std::string> names;
    for (const auto& [k, e] : databases_[c.client.database]) names.push_back(k);
    return integer(std::ranges::count_if(names, [&](const auto& k) { return find(c, k) != nullptr; }));
  }
  if (name == "FLUSHALL" || name == "FLUSHDB") {
    for (auto& [index, keys] : databases_) {
      if (name == "FLUSHDB" && index != c.client.database) continue;
      Client other;
      other.database = index;
      const Words none;
      std::vector<std::string> names;
      for (const auto& [k, e] : keys) names.push_back(k);
      for (const auto& k : names) erase({other, none, c.now}, k);
    }
    return kOk;
  }
  if (name == "TIME") return array({bulk(std::to_string(c.now / 1000)), bulk(std::to_string(c.now % 1000 * 1000))});
  return "-ERR unknown command '" + w[0] + "'\r\n";
}

}  // namespace docklift::standins
