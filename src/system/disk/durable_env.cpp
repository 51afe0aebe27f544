#include "system/disk/durable_env.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace docklift {
namespace {

using leveldb::Status;

std::string folder_of(const std::string& path) {
  auto folder = std::filesystem::path(path).parent_path().string();
  return folder.empty() ? "." : folder;
}

}  // namespace

Status sync_folder(const std::string& folder) {
  const auto failure = [&] { return Status::IOError(folder, std::system_category().message(errno)); };
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return failure();
  auto status = ::fsync(descriptor) == 0 ? Status::OK() : failure();
  ::close(descriptor);
  return status;
}

Status DurableEnv::NewWritableFile(const std::string& path, leveldb::WritableFile** file) {
  const auto status = target()->NewWritableFile(path, file);
  return status.ok() ? sync_new_entry(path, file) : status;
}

Status DurableEnv::NewAppendableFile(const std::string& path, leveldb::WritableFile** file) {
  const auto status = target()->NewAppendableFile(path, file);
  return status.ok() ? sync_new_entry(path, file) : status;
}

Status DurableEnv::sync_new_entry(const std::string& path, leveldb::WritableFile** file) {
  auto status = sync_folder_(folder_of(path));
  if (!status.ok()) delete std::exchange(*file, nullptr);
  return status;
}

Status DurableEnv::RenameFile(const std::string& from, const std::string& to) {
  const auto status = target()->RenameFile(from, to);
  return status.ok() ? sync_folder_(folder_of(to)) : status;
}

Status DurableEnv::CreateDir(const std::string& folder) {
  const auto status = target()->CreateDir(folder);
  return status.ok() ? sync_folder_(folder_of(folder)) : status;
}

leveldb::Env& durable_env() {
  // Leaked on purpose: LevelDB's background threads may still use it while the process exits.
  static auto& env = *new DurableEnv(*leveldb::Env::Default(), sync_folder);
  return env;
}

}  // namespace docklift
