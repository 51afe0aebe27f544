#include "succession/succession.hpp"

#include <algorithm>
#include <charconv>

namespace docklift::succession {
namespace {

constexpr std::size_t kStartShare = 72;  // what a process holds before it serves, and some for what is passed to it at once

constexpr std::string_view kHello = "docklift", kListener = "listener", kServing = "serving", kPromise = "promise", kClient = "client";

bool read_number(std::string_view text, std::size_t& n) {
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n);
  return !text.empty() && failed == std::errc{} && end == text.data() + text.size();
}

}  // namespace

Word read_word(std::string_view packet) {
  const auto end = packet.find('\n');
  if (end == std::string_view::npos) return {};
  const auto line = packet.substr(0, end);
  const auto name = line.substr(0, line.find(' '));
  std::size_t n = 0;
  const bool numbered = name.size() < line.size() && read_number(line.substr(name.size() + 1), n);
  if (name == kHello && numbered) return {Word::Kind::hello, n};
  if (name == kListener && numbered) return {Word::Kind::listener, n};
  if (name == kPromise && numbered) return {Word::Kind::promise, n};
  if (line == kServing) return {Word::Kind::serving};
  if (line == kClient) return {Word::Kind::client, 0, packet.substr(end + 1)};
  return {};
}

std::string hello() { return std::string(kHello) + ' ' + std::to_string(kVersion) + '\n'; }
std::string listener(std::size_t n) { return std::string(kListener) + ' ' + std::to_string(n) + '\n'; }
std::string serving() { return std::string(kServing) + '\n'; }
std::string promise(std::size_t n) { return std::string(kPromise) + ' ' + std::to_string(n) + '\n'; }
std::string client(std::string_view bytes) { return std::string(kClient) + '\n' + std::string(bytes); }

std::size_t start_share(std::size_t limit) { return std::min(kStartShare, limit / 3); }

// ---- The running one ------------------------------------------------------------------------------------------------

std::vector<Incumbency> Incumbent::asked(std::size_t version) {
  if (state_ != State::alone || version != kVersion) return {Incumbency::refuse};
  state_ = State::offered;
  promised_ = limit_ - start_share(limit_);
  return {Incumbency::give_listener};
}

std::vector<Incumbency> Incumbent::successor_serves() {
  if (state_ != State::offered) return {};
  state_ = State::yielded;
  return {Incumbency::stop_accepting};
}

std::vector<Incumbency> Incumbent::successor_ended() {
  const auto was = state_;
  state_ = State::alone;
  promised_ = limit_;
  if (was == State::yielded) return {Incumbency::take_back, Incumbency::accept_again};
  if (was == State::offered) return {Incumbency::take_back};
  return {};
}

std::vector<Incumbency> Incumbent::holds(std::size_t descriptors) {
  if (state_ != State::yielded || descriptors >= promised_) return {};
  promised_ = descriptors;
  return {Incumbency::promise};
}

// ---- The new one ----------------------------------------------------------------------------------------------------

std::vector<Succession> Successor::nobody_there() {
  if (state_ != State::asking) return {};
  return on_its_own(limit_);
}

// It serves at once, also before it is ready: nobody else does. Beside one that can't help, both accept.
std::vector<Succession> Successor::on_its_own(std::size_t share) {
  state_ = State::alone;
  share_ = share;
  serves_ = true;
  return {Succession::bind, Succession::share, Succession::accept, Succession::await_next};
}

std::vector<Succession> Successor::came_listener(std::size_t promise) {
  if (state_ != State::asking) return {};
  state_ = State::helped;
  share_ = limit_ - std::min(promise, limit_);
  std::vector<Succession> all{Succession::adopt, Succession::share};
  const auto more = ready_ ? ready() : std::vector<Succession>{};
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

std::vector<Succession> Successor::came_promise(std::size_t descriptors) {
  if (state_ != State::helped) return {};
  share_ = std::max(share_, limit_ - std::min(descriptors, limit_));
  return {Succession::share};
}

std::vector<Succession> Successor::incumbent_ended() {
  if (state_ == State::asking) return on_its_own(limit_);
  state_ = State::alone;
  share_ = limit_;
  if (serves_) return {Succession::share};
  serves_ = true;  // ready or not: the listener is its alone now
  return {Succession::share, Succession::accept, Succession::await_next};
}

std::vector<Succession> Successor::overdue() {
  if (state_ != State::asking) return {};
  return on_its_own(limit_ / 2);
}

std::vector<Succession> Successor::ready() {
  ready_ = true;
  if (serves_ || state_ != State::helped) return {};
  serves_ = true;
  return {Succession::accept, Succession::tell_serving, Succession::await_next};
}

}  // namespace docklift::succession
