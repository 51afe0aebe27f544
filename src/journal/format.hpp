// The format of a journal's files, without I/O. A file is one generation: a header, all keys at its creation (the snapshot), an end mark, then the
// changes since. Each record: magic (4 bytes), length of what follows the head (4), number (8), checksum (8), then kind (1), length of the key (2), key,
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
  std::uint64_t number = 0;  // one more than that of the previous record
  Kind kind = Kind::put;
  std::string key{}, value{};
  bool operator==(const Record&) const = default;
};

inline constexpr std::size_t kHead = 24;              // bytes before kind
inline constexpr std::size_t kMostValue = 1UL << 20U;  // bytes of a value; a key: 65,535

// Seed of a file's checksums, so that records of another node or generation are not accepted.
std::uint64_t salt_of(std::string_view node, std::uint64_t generation);
void append(std::string& out, const Record& r, std::uint64_t salt);
// The valid record that begins at `at`, and the offset after it; nothing if there is none.
std::optional<std::pair<Record, std::size_t>> record_at(std::string_view bytes, std::size_t at, std::uint64_t salt);

// A damaged place in a file. Operators see the text.
struct Damage {
  std::string file{};
  std::size_t offset = 0;
  std::string what{};
  bool operator==(const Damage&) const = default;
};

// The contents of one file.
struct Scan {
  std::vector<Record> records{};
  bool whole = false;               // the snapshot is complete
  std::size_t good = 0;             // bytes up to the end of the last record
  std::uint64_t missing = 0;        // missing numbers between records
  std::vector<Damage> damage{};     // a torn tail does not count as damage
};
Scan scan(const std::string& name, std::string_view bytes, std::string_view node, std::uint64_t generation);

std::string file_name(std::uint64_t generation);
std::optional<std::uint64_t> generation_of(std::string_view file_name);

// The state restored from all files of a journal.
struct Recovered {
  std::map<std::string, std::string> state{};
  std::uint64_t number = 0;      // of the last record
  std::uint64_t generation = 0;  // the newest file's, complete or not; 0: none
  std::uint64_t read = 0;        // the one whose snapshot was read; 0: none
  std::vector<std::uint64_t> files{};  // generations of all files
  std::uint64_t missing = 0;     // records missing in the middle of it
  bool older = false;            // there is a newer file whose snapshot is incomplete: unfinished or damaged
  std::vector<Damage> damage{};
};
// Takes files by name, and ignores those with other names.
Recovered recover(const std::map<std::string, std::string>& files, std::string_view node);

}  // namespace docklift::journal
