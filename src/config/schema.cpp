#include "config/schema.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace docklift {
namespace {

struct Unit {
  std::string_view name;
  std::int64_t worth;
};
constexpr std::array<Unit, 6> kDurations{{{"h", 3'600'000'000'000},
                                          {"m", 60'000'000'000},
                                          {"s", 1'000'000'000},
                                          {"ms", 1'000'000},
                                          {"us", 1'000},
                                          {"ns", 1}}};
constexpr std::array<Unit, 7> kSizes{{{"GiB", 1LL << 30},
                                      {"MiB", 1LL << 20},
                                      {"KiB", 1LL << 10},
                                      {"GB", 1'000'000'000},
                                      {"MB", 1'000'000},
                                      {"kB", 1'000},
                                      {"B", 1}}};

template <std::size_t N>
std::optional<std::int64_t> with_unit(std::string_view text, const std::array<Unit, N>& units) {
  const auto digits = text.find_first_not_of("0123456789.");
  if (digits == 0 || digits == std::string_view::npos) return std::nullopt;
  double n = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + digits, n, std::chars_format::fixed);
  if (failed != std::errc{} || end != text.data() + digits) return std::nullopt;
  auto name = text.substr(digits);
  while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
  const auto unit = std::ranges::find(units, name, &Unit::name);
  if (unit == units.end()) return std::nullopt;
  // Whole numbers exactly; fractions to the nearest.
  const double value = n * static_cast<double>(unit->worth);
  if (!(value < 9.2e18)) return std::nullopt;
  if (const auto whole = static_cast<std::int64_t>(n); static_cast<double>(whole) == n) return whole * unit->worth;
  return std::llround(value);
}

template <std::size_t N>
std::string unit_text(std::int64_t n, const std::array<Unit, N>& units) {
  if (n == 0) return "0" + std::string(N == kDurations.size() ? "s" : "B");
  for (const auto& u : units)
    if (n % u.worth == 0) return std::to_string(n / u.worth) + std::string(u.name);
  return std::to_string(n);
}

const char* type_name(Type type) {
  switch (type) {
    case Type::boolean: return "true or false";
    case Type::whole: return "whole number";
    case Type::duration: return "duration";
    case Type::size: return "size";
    case Type::text: return "text";
    case Type::path: return "path";
    case Type::address: return "address";
    case Type::addresses: return "list of addresses";
    case Type::choice: return "choice";
  }
  return "";
}

std::string range_text(const Option& o) {
  const auto shown = [&](std::int64_t n) { return value_text(o, Value(n)); };
  const bool upper = o.most != std::numeric_limits<std::int64_t>::max();
  switch (o.type) {
    case Type::whole:
    case Type::duration:
    case Type::size: return shown(o.least) + (upper ? " to " + shown(o.most) : " or more");
    case Type::choice: {
      std::string all;
      for (const auto& c : o.choices) all += (all.empty() ? "" : ", ") + c;
      return all;
    }
    default: return "";
  }
}

std::size_t edits(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      const auto change = corner + (a[i] == b[j] ? 0 : 1);
      corner = row[j + 1];
      row[j + 1] = std::min({change, row[j] + 1, corner + 1});
    }
  }
  return row.back();
}

std::string quoted(const std::string& text) {
  std::string all(1, '"');
  all += text;
  all += '"';
  return all;
}

}  // namespace

std::optional<std::int64_t> parse_duration(std::string_view text) { return with_unit(text, kDurations); }
std::optional<std::int64_t> parse_size(std::string_view text) { return with_unit(text, kSizes); }
std::string duration_text(std::int64_t n) { return unit_text(n, kDurations); }
std::string size_text(std::int64_t n) { return unit_text(n, kSizes); }

std::string value_text(const Option& option, const Value& value) {
  struct Shown {
    const Option& o;
    std::string operator()(bool b) const { return b ? "true" : "false"; }
    std::string operator()(std::int64_t n) const {
      if (o.type == Type::duration) return quoted(duration_text(n));
      if (o.type == Type::size) return quoted(size_text(n));
      return std::to_string(n);
    }
    std::string operator()(const std::string& s) const { return quoted(s); }
    std::string operator()(const std::vector<std::string>& all) const {
      std::string text = "[";
      for (const auto& s : all) {
        if (text.size() > 1) text += ", ";
        text += quoted(s);
      }
      text += "]";
      return text;
    }
  };
  return std::visit(Shown{option}, value);
}

std::optional<std::string> nearest(std::string_view word, const std::vector<std::string>& known) {
  std::optional<std::string> best;
  std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const auto& k : known)
    if (const auto n = edits(word, k); n < least) least = n, best = k;
  return best;
}

std::string Mistake::text() const {
  std::string all = file;
  if (line > 0) all += ":" + std::to_string(line);
  all += ": ";
  if (!field.empty()) all += field + ": ";
  all += reason;
  std::ranges::replace_if(all, [](unsigned char c) { return c < ' '; }, ' ');
  return all;
}

Schema& Schema::add(Section section) {
  if (this->section(section.name)) throw std::logic_error("section " + section.name + " is there already");
  for (std::size_t i = 0; i < section.options.size(); ++i) {
    const auto& o = section.options[i];
    const auto name = section.name + "." + o.key;
    for (std::size_t j = 0; j < i; ++j)
      if (section.options[j].key == o.key) throw std::logic_error(name + " is there twice");
    if (const auto* n = std::get_if<std::int64_t>(&o.fallback); n && (*n < o.least || *n > o.most))
      throw std::logic_error(name + ": the default is out of range");
    if (o.type == Type::choice && std::ranges::find(o.choices, std::get<std::string>(o.fallback)) == o.choices.end())
      throw std::logic_error(name + ": the default is no choice");
  }
  sections_.push_back(std::move(section));
  return *this;
}

const Section* Schema::section(std::string_view name) const {
  const auto it = std::ranges::find(sections_, name, &Section::name);
  return it == sections_.end() ? nullptr : &*it;
}

const Option* Schema::option(std::string_view section_name, std::string_view key) const {
  const auto* s = section(section_name);
  if (s == nullptr) return nullptr;
  const auto it = std::ranges::find(s->options, key, &Option::key);
  return it == s->options.end() ? nullptr : &*it;
}

std::string Schema::reference() const {
  std::ostringstream out;
  for (const auto& s : sections_) {
    out << "### `[" << s.name << "]`\n\n" << s.doc << "\n\n";
    out << "| key | holds | range | default | at SIGHUP | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& o : s.options)
      out << "| `" << o.key << "` | " << type_name(o.type) << " | " << range_text(o) << " | `"
          << value_text(o, o.fallback) << "` | " << (o.reloadable ? "yes" : "restart") << " | " << o.doc << " |\n";
    out << '\n';
  }
  return out.str();
}

Config::Config(const Schema& schema) {
  for (const auto& s : schema.sections())
    for (const auto& o : s.options) entries_[s.name + "." + o.key] = {&o, o.fallback, 0};
}

const Config::Entry& Config::entry(const std::string& path) const {
  const auto it = entries_.find(path);
  if (it == entries_.end()) throw std::logic_error("no key " + path + " in the schema");
  return it->second;
}

template <class T>
const T& Config::get(const std::string& path) const {
  if (const auto* v = std::get_if<T>(&entry(path).value)) return *v;
  throw std::logic_error("key " + path + " has another type");
}
template const bool& Config::get<bool>(const std::string&) const;
template const std::int64_t& Config::get<std::int64_t>(const std::string&) const;
template const std::string& Config::get<std::string>(const std::string&) const;
template const std::vector<std::string>& Config::get<std::vector<std::string>>(const std::string&) const;

bool Config::named(const std::string& section) const { return sections_.contains(section); }

std::string Config::show() const {
  std::ostringstream out;
  for (const auto& [path, e] : entries_) {
    out << path << " = " << value_text(*e.option, e.value) << "  # ";
    if (e.line == 0)
      out << "default\n";
    else
      out << file_ << ':' << e.line << '\n';
  }
  return out.str();
}

std::vector<Mistake> changes_that_need_a_restart(const Config& now, const Config& next) {
  std::vector<Mistake> all;
  for (const auto& [path, e] : next.entries())
    if (!e.option->reloadable && e.value != now.entry(path).value)
      all.push_back({next.file(), e.line, path,
                     "only a restart or an upgrade can change this (now " +
                         value_text(*e.option, now.entry(path).value) + ")"});
  return all;
}

}  // namespace docklift
