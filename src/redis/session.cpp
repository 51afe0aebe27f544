#include "redis/session.hpp"

#include <algorithm>
#include <utility>

namespace docklift::redis {

using snowknot::CountOutcome;
using snowknot::Duration;
using snowknot::Time;

void Session::put(std::string_view text) {
  out_ += text;
  put_ += text.size();
}

void Session::connected(Time now) {
  reader_ = RespReader();
  out_.clear();
  broken_.clear();
  leaving_.clear();
  put_ = written_ = 0;
  heard_ = asked_ = now;
  answered_ = false;
  held_ = options_.held;
  protocol_ = 2;
  shake(options_.resp3 ? Stage::hello : Stage::auth);
}

// ---- Handshake: one command at a time, since what comes next may depend on the answer ------------------------

void Session::shake(Stage next) {
  for (stage_ = next;; stage_ = static_cast<Stage>(static_cast<int>(stage_) + 1)) {
    switch (stage_) {
      case Stage::hello: {
        std::vector<std::string> words{"HELLO", "3"};
        if (!options_.password.empty())
          words.insert(words.end(),
                       {"AUTH", options_.user.empty() ? "default" : options_.user, options_.password});
        if (!options_.client_name.empty()) words.insert(words.end(), {"SETNAME", options_.client_name});
        return put(command(words));
      }
      case Stage::auth:
        if (options_.password.empty()) continue;
        if (options_.user.empty()) return put(command({"AUTH", options_.password}));
        return put(command({"AUTH", options_.user, options_.password}));
      case Stage::name:
        if (options_.client_name.empty()) continue;
        return put(command({"CLIENT", "SETNAME", options_.client_name}));
      case Stage::select:
        if (options_.database == 0) continue;
        return put(command({"SELECT", std::to_string(options_.database)}));
      default: return flush();
    }
  }
}

void Session::take_handshake(const Reply& r) {
  switch (stage_) {
    case Stage::hello:
      // A server before version 6 doesn't know the command, a proxy perhaps not the version.
      if (r.is_error() && (r.text.starts_with("ERR") || r.text.starts_with("NOPROTO")))
        return shake(Stage::auth);
      if (r.is_error()) broken_ = "HELLO: " + r.text;
      protocol_ = 3;
      return broken_.empty() ? shake(Stage::select) : void();
    case Stage::name: return shake(Stage::select);  // only for people who look: a refusal does no harm
    default:
      if (r.is_error()) {
        broken_ = (stage_ == Stage::auth ? "AUTH: " : "SELECT: ") + r.text;
        return;
      }
      return shake(static_cast<Stage>(static_cast<int>(stage_) + 1));
  }
}

// ---- Calls ----------------------------------------------------------------------------------------------

void Session::add(Time now, snowknot::CountName name, double amount, Duration lifetime) {
  Call c;
  c.count.name = name, c.count.began = now;
  const auto parts = to_parts(amount);
  if (!parts) return tell(now, c, CountOutcome::refused);
  c.count.parts = *parts, c.count.milliseconds = milliseconds_of(lifetime);
  add(now, std::move(c.count));
}

void Session::add(Time now, CountCall call) {
  Call c;
  c.count = std::move(call), c.asking = c.count.asking;
  if (calls() >= options_.most_calls) return tell(now, c, CountOutcome::refused);
  mixed_ = calls() > 0 && (mixed_ || c.count.hops > 0);
  waiting_.push_back(std::move(c));
  flush();
}

void Session::ask(Time now, std::string_view text, std::size_t count, std::uint64_t tag) {
  if (stage_ != Stage::up || broken()) return asked_for_.push_back({tag, now, {}});
  if (count == 0) return put(text);
  Call c;
  c.kind = Kind::ask, c.left = count, c.count.began = now;
  c.asked.tag = tag, c.asked.sent = now;
  sent(now, std::move(c), text);
}

void Session::sent(Time now, Call c, std::string_view text) {
  if (sent_.empty()) asked_ = std::max(asked_, now);
  put(text);
  c.end = put_;
  sent_.push_back(std::move(c));
}

void Session::release(Time now) {
  if (!std::exchange(held_, false)) return;
  heard_ = std::max(heard_, now);
  flush();
}

void Session::flush() {
  if (!up() || !leaving_.empty()) return;
  for (; !waiting_.empty(); waiting_.pop_front()) {
    auto& c = waiting_.front();
    std::string text = c.asking ? command({"ASKING"}) : std::string();
    text += add_command(key_of(options_.prefix, c.count.name), c.count.parts, c.count.milliseconds);
    const auto began = c.count.began;
    sent(began, std::move(c), text);
  }
}

void Session::tell(Time now, Call& c, CountOutcome outcome, double total) {
  if (c.kind != Kind::add || std::exchange(c.told, true)) return;
  answers_.push_back({c.count.name, outcome, total, now - c.count.began});
}

void Session::received(Time now, std::string_view bytes) {
  if (stage_ == Stage::down || broken()) return;
  heard_ = now;
  reader_.feed(bytes);
  while (!broken()) {
    const auto reply = reader_.next();
    if (!reply) break;
    take(now, *reply);
  }
  if (reader_.failed() && !broken()) broken_ = "what came is no answer: " + reader_.why();
}

void Session::take(Time now, const Reply& r) {
  if (r.kind == Reply::Kind::push) {  // belongs to no command
    if (pushes_.size() < options_.most_calls) pushes_.push_back(r);
    return;
  }
  if (stage_ != Stage::up) return take_handshake(r);
  if (sent_.empty()) {
    broken_ = "a reply to nothing";
    return;
  }
  auto& c = sent_.front();
  if (std::exchange(c.asking, false))
    return;  // what ASKING is answered; a refused one shows in the replies behind it
  switch (c.kind) {
    case Kind::ping: break;
    case Kind::ask:
      c.asked.replies.push_back(r);
      if (--c.left > 0) return;
      asked_for_.push_back(std::move(c.asked));
      break;
    case Kind::add:
      if (!c.replies.take(r)) return;
      take_add(now, c);
  }
  sent_.pop_front();
  asked_ = now;
  if (sent_.empty() && !leaving_.empty()) broken_ = leaving_;
}

void Session::take_add(Time now, Call& c) {
  const auto& all = c.replies;
  answered_ = answered_ || all.outcome() == CountOutcome::ok;
  if (options_.redirects && !c.told && all.outcome() == CountOutcome::refused && is_redirect(all.error())) {
    c.told = true;
    turned_.emplace_back(std::move(c.count), all.error());
    return;
  }
  tell(now, c, all.outcome(), all.total());
  // One that was sent to the wrong place, or may not be done with these rights: a new connection may do better.
  if (all.error().starts_with("READONLY") || all.error().starts_with("NOAUTH")) leaving_ = all.error();
}

void Session::written(std::size_t bytes) { written_ = std::max(written_, bytes); }

void Session::lost(Time now) {
  stage_ = Stage::down;
  out_.clear();
  // A call of which EXEC was not written whole is discarded by the server.
  for (auto& c : std::exchange(sent_, {})) {
    if (c.kind == Kind::ask) asked_for_.push_back({c.asked.tag, c.asked.sent, {}});
    tell(now, c, c.end > written_ ? CountOutcome::refused : CountOutcome::timeout);
  }
  for (auto& c : std::exchange(waiting_, {})) tell(now, c, CountOutcome::refused);
  mixed_ = false;
}

void Session::tick(Time now) {
  // One that was never given to the connection is taken back.
  const auto over = [&](const Call& c) { return now >= c.count.began + options_.call_limit; };
  if (mixed_) {
    for (auto& c : waiting_)
      if (over(c)) tell(now, c, CountOutcome::refused);
    std::erase_if(waiting_, [](const Call& c) { return c.told; });
  }
  for (; !waiting_.empty() && over(waiting_.front()); waiting_.pop_front())
    tell(now, waiting_.front(), CountOutcome::refused);
  for (auto& c : sent_) {
    if (!over(c) && !mixed_) break;
    if (over(c)) tell(now, c, CountOutcome::timeout);
  }
  if (stage_ == Stage::down || broken()) return;
  const bool owed = stage_ != Stage::up || !sent_.empty();
  if (owed && now >= std::max(heard_, asked_) + options_.silence_limit) {
    broken_ = "silent";
  } else if (!owed && now >= heard_ + options_.idle_limit) {
    Call c;
    c.kind = Kind::ping, c.count.began = now;
    asked_ = now;
    sent(now, std::move(c), command({"PING"}));
  }
}

std::optional<Time> Session::due() const {
  std::optional<Time> at;
  const auto wanted = [&](Time t) { at = at ? std::min(*at, t) : t; };
  const auto first = [&](const std::deque<Call>& calls) {
    for (const auto& c : calls) {
      if (c.told || c.kind != Kind::add) continue;
      wanted(c.count.began + options_.call_limit);
      if (!mixed_) return;
    }
  };
  first(waiting_);
  first(sent_);
  if (stage_ != Stage::down && !broken()) {
    const bool owed = stage_ != Stage::up || !sent_.empty();
    wanted(owed ? std::max(heard_, asked_) + options_.silence_limit : heard_ + options_.idle_limit);
  }
  return at;
}

std::string Session::output() { return std::exchange(out_, {}); }
std::vector<snowknot::CountAnswer> Session::answers() { return std::exchange(answers_, {}); }
std::vector<std::pair<CountCall, std::string>> Session::turned_away() { return std::exchange(turned_, {}); }
std::vector<Asked> Session::asked() { return std::exchange(asked_for_, {}); }
std::vector<Reply> Session::pushes() { return std::exchange(pushes_, {}); }

}  // namespace docklift::redis
