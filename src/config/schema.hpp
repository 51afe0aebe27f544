// The operator's file, declared: which sections and keys there are, what they hold, and what follows for a reader.
// From this one description come validation, `docklift config show` and the reference table. A subsystem adds its
// own section (see schema_of_docklift in known_sections.hpp) and never touches the reader.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace docklift {

// What a key holds. Durations are kept in nanoseconds, sizes in bytes; both are written with a unit in the file
// ("250ms", "64KiB"). An address is an IP address and a port ("127.0.0.1:7070", "[::1]:7070").
enum class Type { boolean, whole, duration, size, text, path, address, addresses, choice };

using Value = std::variant<bool, std::int64_t, std::string, std::vector<std::string>>;

struct Option {
  std::string key;
  Type type = Type::text;
  Value fallback;  // in force where the file doesn't name the key
  std::string doc;
  bool reloadable = true;  // a change takes effect at SIGHUP; else a file that changes it is refused there
  std::int64_t least = 0;  // range of numbers, in the kept unit
  std::int64_t most = std::numeric_limits<std::int64_t>::max();
  std::vector<std::string> choices{};  // for Type::choice
};

// One mistake of a file. `line` is 0 where no line can be told (a file that can't be opened).
struct Mistake {
  std::string file;
  std::size_t line = 0;
  std::string field, reason;
  std::string text() const;  // "FILE:LINE: FIELD: REASON", on one line
};

class Config;

struct Section {
  std::string name, doc;
  std::vector<Option> options{};
  // What holds between keys: calls `wrong(key, reason)` for each mistake. Asked only when every key is good by itself.
  using Wrong = std::function<void(const std::string& key, const std::string& reason)>;
  std::function<void(const Config&, const Wrong&)> check{};
};

class Schema {
 public:
  // Throws std::logic_error for a section or key that is there already, or a default outside its own range.
  Schema& add(Section section);
  const std::vector<Section>& sections() const { return sections_; }
  const Section* section(std::string_view name) const;
  const Option* option(std::string_view section, std::string_view key) const;
  // The table of all keys, in Markdown.
  std::string reference() const;

 private:
  std::vector<Section> sections_;
};

// The values in force, each with where it came from. Asking for a key that the schema does not have, or as another
// type than it has, is a mistake of the program: std::logic_error.
class Config {
 public:
  struct Entry {
    const Option* option = nullptr;
    Value value;
    std::size_t line = 0;  // in the file; 0: the default
  };

  explicit Config(const Schema& schema);

  bool boolean(const std::string& path) const { return get<bool>(path); }
  std::int64_t whole(const std::string& path) const { return get<std::int64_t>(path); }
  std::chrono::nanoseconds duration(const std::string& path) const {
    return std::chrono::nanoseconds(get<std::int64_t>(path));
  }
  const std::string& text(const std::string& path) const { return get<std::string>(path); }
  const std::vector<std::string>& list(const std::string& path) const {
    return get<std::vector<std::string>>(path);
  }
  bool named(const std::string& section) const;  // the file has this section
  const std::map<std::string, Entry>& entries() const { return entries_; }
  const Entry& entry(const std::string& path) const;
  const std::string& file() const { return file_; }

  // One line a key: "section.key = value  # from".
  std::string show() const;

 private:
  friend struct ConfigReader;
  template <class T>
  const T& get(const std::string& path) const;

  std::map<std::string, Entry> entries_;  // by "section.key"
  std::map<std::string, std::size_t> sections_;
  std::string file_;
};

struct ReadConfig {
  std::optional<Config> config;  // none if there is any mistake
  std::vector<Mistake> mistakes;  // all of them, by line
};

// Reads the text of a file; `file` is its name for messages. Throws nothing but std::bad_alloc.
ReadConfig read_config_text(const Schema& schema, std::string_view text, const std::string& file);

// Reads a file as one whole: one that changes while it is read (size, time or inode) is read again, some times.
// A missing one, a link to nothing, a directory or one over 1 MiB is a mistake.
ReadConfig read_config_file(const Schema& schema, const std::string& file);

// Keys that differ between two files and that only a restart may change, each as a mistake of the next one.
std::vector<Mistake> changes_that_need_a_restart(const Config& now, const Config& next);

// "250ms", "1.5s", "2m", "1h" (ns, us, ms, s, m, h); nullopt for anything else, or over some 290 years.
std::optional<std::int64_t> parse_duration(std::string_view text);
// "64KiB", "10MB", "512B" (B, kB, MB, GB, KiB, MiB, GiB).
std::optional<std::int64_t> parse_size(std::string_view text);
std::string duration_text(std::int64_t nanoseconds);
std::string size_text(std::int64_t bytes);
std::string value_text(const Option& option, const Value& value);

// The one among `known` that is fewest edits away, if few enough to be a slip.
std::optional<std::string> nearest(std::string_view word, const std::vector<std::string>& known);

}  // namespace docklift
