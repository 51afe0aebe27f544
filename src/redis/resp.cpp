#include "redis/resp.hpp"

#include <charconv>

namespace docklift::redis {
namespace {

std::optional<std::int64_t> whole(std::string_view text) {
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
  std::int64_t n = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (failed != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return n;
}

template <class Words>
std::string encoded(const Words& words) {
  std::string out;
  const auto length = [&out](char type, std::size_t n) {
    out += type;
    out += std::to_string(n);
    out += "\r\n";
  };
  length('*', words.size());
  for (const auto& w : words) {
    length('$', w.size());
    out += w;
    out += "\r\n";
  }
  return out;
}

}  // namespace

std::string command(std::initializer_list<std::string_view> words) { return encoded(words); }
std::string command(const std::vector<std::string>& words) { return encoded(words); }

void RespReader::feed(std::string_view bytes) {
  if (failed_) return;
  // What was consumed goes when it is the larger part: the bytes are moved a bounded number of times.
  if (at_ > 0 && at_ * 2 >= in_.size()) in_.erase(0, at_), searched_ -= std::min(searched_, at_), at_ = 0;
  in_ += bytes;
}

RespReader::Step RespReader::fail(const char* why) {
  failed_ = true;
  why_ = why;
  return Step::failed;
}

// A line without its end; none if it has not come whole. A bare CR or LF in it is a mistake of the sender.
std::optional<std::string_view> RespReader::line() {
  searched_ = std::max(searched_, at_);
  const auto end = in_.find('\n', searched_);
  if (end == std::string::npos) {
    searched_ = in_.size();
    if (in_.size() - at_ > limits_.line) fail("a line is too long");
    return std::nullopt;
  }
  if (end == at_ || in_[end - 1] != '\r' || end - at_ > limits_.line) {
    fail("a line does not end in CRLF, or is too long");
    return std::nullopt;
  }
  const std::string_view text(in_.data() + at_, end - 1 - at_);
  at_ = searched_ = end + 1;
  if (text.find('\r') != std::string_view::npos) {
    fail("a line holds a CR");
    return std::nullopt;
  }
  return text;
}

std::optional<Reply> RespReader::next() {
  Reply reply;
  for (;;) {
    if (failed_) return std::nullopt;
    switch (step(reply)) {
      case Step::done: return reply;
      case Step::more:
        if (at_ == in_.size() || (!bulk_ && searched_ == in_.size())) return std::nullopt;
        if (bulk_ && in_.size() - at_ < *bulk_ + 2) return std::nullopt;
        break;
      case Step::failed: return std::nullopt;
    }
  }
}

// Takes one line or one bulk.
RespReader::Step RespReader::step(Reply& out) {
  using Kind = Reply::Kind;
  if (bulk_) {
    if (in_.size() - at_ < *bulk_ + 2) return Step::more;
    if (in_.compare(at_ + *bulk_, 2, "\r\n") != 0) return fail("a bulk is not as long as it says");
    Reply r;
    r.kind = verbatim_ ? Kind::verbatim : Kind::bulk;
    r.text.assign(in_, at_, *bulk_);
    if (verbatim_) {
      if (r.text.size() < 4 || r.text[3] != ':') return fail("a verbatim string has no format");
      r.text.erase(0, 4);
    }
    at_ += *bulk_ + 2;
    searched_ = at_;
    bulk_.reset();
    return finished(std::move(r), out);
  }
  const auto l = line();
  if (failed_) return Step::failed;
  if (!l) return Step::more;
  if (l->empty()) return fail("an empty line");
  const char type = l->front();
  const auto rest = l->substr(1);
  Reply r;
  switch (type) {
    case '+': r.kind = Kind::simple, r.text = rest; return finished(std::move(r), out);
    case '-': r.kind = Kind::error, r.text = rest; return finished(std::move(r), out);
    case '(': r.kind = Kind::big, r.text = rest; return finished(std::move(r), out);
    case ',': r.kind = Kind::real, r.text = rest; return finished(std::move(r), out);
    case ':':
      if (const auto n = whole(rest))
        return r.kind = Kind::integer, r.integer = *n, finished(std::move(r), out);
      return fail("an integer can't be read");
    case '#':
      if (rest != "t" && rest != "f") return fail("a boolean can't be read");
      return r.kind = Kind::boolean, r.integer = rest == "t", finished(std::move(r), out);
    case '_':
      if (!rest.empty()) return fail("a null can't be read");
      return finished(std::move(r), out);
    default: break;
  }
  const auto n = whole(rest);
  if (!n || *n < -1) return fail("a length can't be read");
  switch (type) {
    case '$':
    case '!':
    case '=':
      if (*n == -1 && type == '$') return finished(std::move(r), out);
      if (*n < 0 || static_cast<std::uint64_t>(*n) > limits_.bulk) return fail("a bulk is too long");
      if (type == '!') return fail("a bulk error");  // no server sends one; the specification allows it
      bulk_ = static_cast<std::size_t>(*n);
      verbatim_ = type == '=';
      return Step::more;
    case '*': r.kind = Kind::array; break;
    case '~': r.kind = Kind::set; break;
    case '>': r.kind = Kind::push; break;
    case '%':
    case '|': r.kind = Kind::map; break;
    default: return fail("an unknown type");
  }
  if (*n == -1) {
    if (type != '*') return fail("a length can't be read");
    r.kind = Kind::null;
    return finished(std::move(r), out);
  }
  const auto count = static_cast<std::size_t>(*n) * (r.kind == Kind::map ? 2 : 1);
  if (static_cast<std::uint64_t>(*n) > limits_.items || (items_ += count) > limits_.items)
    return fail("too many items");
  if (open_.size() == limits_.depth) return fail("aggregates too deep in each other");
  if (count == 0 && type == '|') return Step::more;
  if (count == 0) return finished(std::move(r), out);
  open_.push_back({std::move(r), count, type == '|'});
  return Step::more;
}

// A value is whole: it is the reply, or an item of the innermost aggregate, which may be whole by it.
RespReader::Step RespReader::finished(Reply reply, Reply& out) {
  while (!open_.empty()) {
    auto& level = open_.back();
    level.reply.items.push_back(std::move(reply));
    if (--level.left > 0) return Step::more;
    const bool attribute = level.attribute;
    reply = std::move(level.reply);
    open_.pop_back();
    if (attribute) return Step::more;  // it belongs to what follows, and says nothing that is needed
  }
  items_ = 0;
  out = std::move(reply);
  return Step::done;
}

}  // namespace docklift::redis
