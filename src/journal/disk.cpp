#include "journal/disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>

namespace docklift::journal {
namespace {

class File {
 public:
  File(const std::filesystem::path& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (fd_ >= 0) ::close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  bool valid() const { return fd_ >= 0; }
  bool write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto n = ::write(fd_, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  bool sync() const { return ::fsync(fd_) == 0; }

 private:
  int fd_;
};

}  // namespace

bool perform(const std::filesystem::path& folder, const Commit& commit) {
  const File file(folder / commit.file, O_WRONLY | O_APPEND | (commit.create ? O_CREAT | O_EXCL : 0));
  if (!file.valid() || !file.write(commit.bytes) || !file.sync()) return false;
  if (commit.create) {
    const File entries(folder, O_RDONLY | O_DIRECTORY);
    if (!entries.valid() || !entries.sync()) return false;
  }
  for (const auto& name : commit.remove) ::unlink((folder / name).c_str());
  return true;
}

std::map<std::string, std::string> read_files(const std::filesystem::path& folder) {
  std::map<std::string, std::string> all;
  std::error_code failed;
  for (std::filesystem::directory_iterator it(folder, failed), end; !failed && it != end; it.increment(failed)) {
    const auto name = it->path().filename().string();
    if (!generation_of(name)) continue;
    std::stringstream text;
    text << std::ifstream(it->path(), std::ios::binary).rdbuf();
    all[name] = text.str();
  }
  return all;
}

}  // namespace docklift::journal
