// The Redis serialization protocol, versions 2 and 3, without I/O: replies from bytes, commands to bytes. Written from
// the published specification; hiredis's reader in Debian 12 (0.14) stops at version 2.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::redis {

struct Reply {
  enum class Kind { simple, error, integer, bulk, null, array, map, set, push, boolean, real, big, verbatim };
  Kind kind = Kind::null;
  std::string text;  // of simple, error, bulk, verbatim (without its format), real and big, as it came
  std::int64_t integer = 0;  // of integer and boolean
  std::vector<Reply> items;  // of array, set and push; a map's keys and values in turn

  bool is_error() const { return kind == Kind::error; }
};

struct RespLimits {
  std::size_t line = 64 * 1024;    // bytes of a line
  std::size_t bulk = 1024 * 1024;  // bytes of a bulk
  std::size_t items = 64 * 1024;   // of one reply, over all levels
  std::size_t depth = 16;          // of aggregates in each other
};

// Replies from a stream of bytes that may be split anywhere. Each byte is looked at once. What breaks the protocol or a
// limit is final: nothing behind it can be trusted.
class RespReader {
 public:
  explicit RespReader(RespLimits limits = {}) : limits_(limits) {}

  void feed(std::string_view bytes);
  // The next whole reply, if there is one. Attributes are passed over.
  std::optional<Reply> next();
  bool failed() const { return failed_; }
  const std::string& why() const { return why_; }
  std::size_t buffered() const { return in_.size() - at_; }

 private:
  struct Level {
    Reply reply;
    std::size_t left = 0;  // items still to come
    bool attribute = false;
  };
  enum class Step { done, more, failed };

  Step step(Reply& whole);
  Step fail(const char* why);
  Step finished(Reply reply, Reply& whole);
  std::optional<std::string_view> line();

  RespLimits limits_;
  std::string in_;
  std::size_t at_ = 0, searched_ = 0;
  std::vector<Level> open_;
  std::size_t items_ = 0;
  std::optional<std::size_t> bulk_;  // length of the bulk whose bytes are awaited
  bool verbatim_ = false;
  bool failed_ = false;
  std::string why_;
};

// One command as an array of bulks.
std::string command(std::initializer_list<std::string_view> words);
std::string command(const std::vector<std::string>& words);

}  // namespace docklift::redis
