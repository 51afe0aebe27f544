// Records of a journal's file, without I/O. A file is one generation: a header, all keys as they stood (the snapshot), an end mark, then what was
// put since. Each record: magic (4 bytes), length of what follows the head (4), number (8), checksum (8), then kind (1), length of the key (2), key,
// value; big-endian. The checksum is XXH3 of number, kind, key and value, salted with generation and node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::journal {

enum class Kind : std::uint8_t { header = 1, put = 2, erase = 3, end_of_snapshot = 4 };

struct Record {
  std::uint64_t number = 0;  // one above the record before it
  Kind kind = Kind::put;
  std::string key{}, value{};
  bool operator==(const Record&) const = default;
};

inline constexpr std::size_t kHead = 24;              // bytes before kind
inline constexpr std::size_t kMostValue = 1UL << 20U;  // bytes of a value; a key: 65,535

std::uint64_t salt_of(std::string_view node, std::uint64_t generation);
void append(std::string& out, const Record& r, std::uint64_t salt);
// The record that begins at `at`, and where it ends; nothing if there is none.
std::optional<std::pair<Record, std::size_t>> record_at(std::string_view bytes, std::size_t at, std::uint64_t salt);

struct Damage {
  std::string file{};
  std::size_t offset = 0;
  std::string what{};
  bool operator==(const Damage&) const = default;
};

// What one file holds.
struct Scan {
  std::vector<Record> records{};
  bool whole = false;               // the snapshot is
  std::size_t good = 0;             // bytes up to the end of the last record
  std::uint64_t missing = 0;        // numbers in the middle that no record has
  std::vector<Damage> damage{};     // a torn tail is none
};
Scan scan(const std::string& name, std::string_view bytes, std::string_view node, std::uint64_t generation);

std::string file_name(std::uint64_t generation);
std::optional<std::uint64_t> generation_of(std::string_view file_name);

// What all files of a journal say.
struct Recovered {
  std::map<std::string, std::string> state{};
  std::uint64_t number = 0;      // of the last record
  std::uint64_t generation = 0;  // the highest file there is, whole or not; 0: none
  std::uint64_t read = 0;        // the one that was read; 0: none
  std::vector<std::uint64_t> files{};  // generations of all files there are
  std::uint64_t missing = 0;     // records lost in the middle of it
  bool older = false;            // there is a newer file whose snapshot is not whole: it was being written, or is damaged
  std::vector<Damage> damage{};
};
// Files by name. Those of other names are passed over.
Recovered recover(const std::map<std::string, std::string>& files, std::string_view node);

}  // namespace docklift::journal
