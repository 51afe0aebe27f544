// The reader: TOML text to values by the schema, all mistakes in one go.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <toml++/toml.h>

#include "config/schema.hpp"

namespace docklift {
namespace {

constexpr std::size_t kMostBytes = 1U << 20U;
constexpr int kTries = 5;  // for a file that changes while it is read

// An IP address and a port; no names are looked up.
bool is_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const auto port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string_view::npos) return false;
  const int n = std::stoi(std::string(port));
  if (n == 0 || n > 65535) return false;
  auto host = text.substr(0, colon);
  if (host.front() == '[') {
    return host.size() > 3 && host.back() == ']' &&
           host.substr(1, host.size() - 2).find_first_not_of("0123456789abcdefABCDEF:.") == std::string_view::npos;
  }
  int parts = 0;
  while (!host.empty()) {
    const auto part = host.substr(0, host.find('.'));
    if (part.empty() || part.size() > 3 || part.find_first_not_of("0123456789") != std::string_view::npos ||
        std::stoi(std::string(part)) > 255)
      return false;
    ++parts;
    host.remove_prefix(part.size());
    if (host.empty()) break;
    host.remove_prefix(1);
    if (host.empty()) return false;
  }
  return parts == 4;
}

}  // namespace

struct ConfigReader {
  const Schema& schema;
  Config config;
  std::vector<Mistake> mistakes;

  void wrong(const toml::node& at, const std::string& field, const std::string& reason) {
    mistakes.push_back({config.file_, at.source().begin.line, field, reason});
  }

  static std::string unknown(const std::string& what, std::string_view word, const std::vector<std::string>& known) {
    const auto near = nearest(word, known);
    return "no such " + what + (near ? "; did you mean '" + *near + "'?" : "");
  }

  std::optional<Value> number(const Option& o, std::int64_t n, const toml::node& at, const std::string& path) {
    if (n >= o.least && n <= o.most) return Value(n);
    const bool upper = o.most != std::numeric_limits<std::int64_t>::max();
    wrong(at, path, value_text(o, Value(n)) + " is out of range: " + value_text(o, Value(o.least)) +
                        (upper ? " to " + value_text(o, Value(o.most)) : " or more"));
    return std::nullopt;
  }

  // The value in the type that the schema asks for; a mistake is noted and gives none.
  std::optional<Value> value(const Option& o, const toml::node& node, const std::string& path) {
    const auto text = node.value_exact<std::string>();
    switch (o.type) {
      case Type::boolean:
        if (const auto b = node.value_exact<bool>()) return Value(*b);
        return wrong(node, path, "is not true or false"), std::nullopt;
      case Type::whole:
        if (const auto n = node.value_exact<std::int64_t>()) return number(o, *n, node, path);
        return wrong(node, path, "is not a whole number"), std::nullopt;
      case Type::duration:
        if (const auto n = text ? parse_duration(*text) : std::nullopt) return number(o, *n, node, path);
        return wrong(node, path, "is not a duration with a unit, such as \"250ms\""), std::nullopt;
      case Type::size:
        if (const auto n = text ? parse_size(*text) : std::nullopt) return number(o, *n, node, path);
        return wrong(node, path, "is not a size with a unit, such as \"64KiB\""), std::nullopt;
      case Type::text:
      case Type::path:
        if (text && text->find('\0') == std::string::npos) return Value(*text);
        return wrong(node, path, "is not a text"), std::nullopt;
      case Type::address:
        if (text && (text->empty() || is_address(*text))) return Value(*text);
        return wrong(node, path, "is not an address and a port, such as \"127.0.0.1:7070\""), std::nullopt;
      case Type::addresses: {
        std::vector<std::string> all;
        const auto* list = node.as_array();
        if (list == nullptr) return wrong(node, path, "is not a list of addresses"), std::nullopt;
        for (const auto& e : *list) {
          const auto one = e.value_exact<std::string>();
          if (!one || !is_address(*one))
            return wrong(e, path, "holds what is not an address and a port, such as \"127.0.0.1:7070\""), std::nullopt;
          if (std::ranges::find(all, *one) != all.end()) return wrong(e, path, *one + " stands there twice"), std::nullopt;
          all.push_back(*one);
        }
        return Value(std::move(all));
      }
      case Type::choice:
        if (text && std::ranges::find(o.choices, *text) != o.choices.end()) return Value(*text);
        wrong(node, path, text ? unknown("choice", *text, o.choices) : "is not a text");
        return std::nullopt;
    }
    return std::nullopt;
  }

  void section(const std::string& name, const toml::node& node) {
    const auto* s = schema.section(name);
    if (s == nullptr) {
      std::vector<std::string> known;
      for (const auto& k : schema.sections()) known.push_back(k.name);
      return wrong(node, name, unknown(node.is_table() ? "section" : "key outside a section", name, known));
    }
    const auto* table = node.as_table();
    if (table == nullptr) return wrong(node, name, "is a section: write [" + name + "]");
    config.sections_[name] = node.source().begin.line;
    for (const auto& [k, v] : *table) {
      const std::string key(k.str()), path = name + "." + key;
      const auto* o = schema.option(name, key);
      if (o == nullptr) {
        std::vector<std::string> known;
        for (const auto& other : s->options) known.push_back(other.key);
        // A key's own line tells more than that of its value, but they are the same unless it is a table.
        wrong(v, path, unknown("key", key, known));
        continue;
      }
      if (auto good = value(*o, v, path)) config.entries_[path] = {o, std::move(*good), v.source().begin.line};
    }
  }

  void read(std::string_view text) {
    try {
      const auto table = toml::parse(text, config.file_);
      for (const auto& [k, v] : table) section(std::string(k.str()), v);
    } catch (const toml::parse_error& x) {
      mistakes.push_back({config.file_, x.source().begin.line, "", std::string(x.description())});
      return;
    }
    if (!mistakes.empty()) return;
    for (const auto& s : schema.sections())
      if (s.check)
        s.check(config, [&](const std::string& key, const std::string& reason) {
          const auto& e = config.entry(s.name + "." + key);
          const auto line = e.line > 0 || !config.named(s.name) ? e.line : config.sections_[s.name];
          mistakes.push_back({config.file_, line, s.name + "." + key, reason});
        });
  }

  static ReadConfig run(const Schema& schema, std::string_view text, const std::string& file) {
    ConfigReader reader{schema, Config(schema), {}};
    reader.config.file_ = file;
    reader.read(text);
    std::ranges::stable_sort(reader.mistakes, {}, &Mistake::line);
    if (!reader.mistakes.empty()) return {std::nullopt, std::move(reader.mistakes)};
    return {std::move(reader.config), {}};
  }
};

ReadConfig read_config_text(const Schema& schema, std::string_view text, const std::string& file) {
  return ConfigReader::run(schema, text, file);
}

ReadConfig read_config_file(const Schema& schema, const std::string& file) {
  const auto failed = [&](const std::string& why) { return ReadConfig{std::nullopt, {{file, 0, "", why}}}; };
  for (int i = 0; i < kTries; ++i) {
    struct Descriptor {
      int fd;
      ~Descriptor() {
        if (fd >= 0) ::close(fd);
      }
    } const opened{::open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)};
    if (opened.fd < 0) return failed(std::string("can't be opened: ") + std::strerror(errno));
    struct stat before {}, after {}, named {};
    if (::fstat(opened.fd, &before) != 0 || !S_ISREG(before.st_mode)) return failed("is not a file");
    if (static_cast<std::size_t>(before.st_size) > kMostBytes) return failed("is larger than 1 MiB");
    std::string text;
    std::array<char, 4096> space{};
    ssize_t n = 0;
    while ((n = ::read(opened.fd, space.data(), space.size())) > 0 && text.size() <= kMostBytes)
      text.append(space.data(), static_cast<std::size_t>(n));
    if (n < 0) return failed(std::string("can't be read: ") + std::strerror(errno));
    const bool same = ::fstat(opened.fd, &after) == 0 && ::stat(file.c_str(), &named) == 0 &&
                      named.st_ino == before.st_ino && after.st_size == before.st_size &&
                      static_cast<std::size_t>(after.st_size) == text.size() &&
                      after.st_mtim.tv_sec == before.st_mtim.tv_sec && after.st_mtim.tv_nsec == before.st_mtim.tv_nsec;
    if (same) return read_config_text(schema, text, file);
  }
  return failed("goes on changing while it is read");
}

}  // namespace docklift
