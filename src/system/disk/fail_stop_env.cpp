#include "system/disk/fail_stop_env.hpp"

#include <memory>
#include <utility>

namespace docklift {
namespace {

using leveldb::Slice;
using leveldb::Status;

class FailStopSequentialFile : public leveldb::SequentialFile {
 public:
  FailStopSequentialFile(FailStopEnv& env, leveldb::SequentialFile* file) : env_(env), file_(file) {}
  Status Read(std::size_t size, Slice* result, char* scratch) override {
    return env_.run([&] { return file_->Read(size, result, scratch); });
  }
  Status Skip(std::uint64_t size) override {
    return env_.run([&] { return file_->Skip(size); });
  }

 private:
  FailStopEnv& env_;
  std::unique_ptr<leveldb::SequentialFile> file_;
};

class FailStopRandomAccessFile : public leveldb::RandomAccessFile {
 public:
  FailStopRandomAccessFile(FailStopEnv& env, leveldb::RandomAccessFile* file) : env_(env), file_(file) {}
  Status Read(std::uint64_t offset, std::size_t size, Slice* result, char* scratch) const override {
    return env_.run([&] { return file_->Read(offset, size, result, scratch); });
  }

 private:
  FailStopEnv& env_;
  std::unique_ptr<leveldb::RandomAccessFile> file_;
};

class FailStopWritableFile : public leveldb::WritableFile {
 public:
  FailStopWritableFile(FailStopEnv& env, leveldb::WritableFile* file) : env_(env), file_(file) {}
  Status Append(const Slice& data) override {
    return env_.run([&] { return file_->Append(data); });
  }
  Status Close() override {
    return env_.run([&] { return file_->Close(); });
  }
  Status Flush() override {
    return env_.run([&] { return file_->Flush(); });
  }
  Status Sync() override {
    return env_.run([&] { return file_->Sync(); });
  }

 private:
  FailStopEnv& env_;
  std::unique_ptr<leveldb::WritableFile> file_;
};

// Runs `open`, which sets `*file`, and replaces the file by its fail-stop wrapper.
template <class Wrapped, class File, class Open>
Status open_wrapped(FailStopEnv& env, File** file, Open open) {
  auto status = env.run(open);
  if (status.ok()) *file = new Wrapped(env, *file);
  return status;
}

}  // namespace

Status FailStopEnv::NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) {
  return open_wrapped<FailStopSequentialFile>(*this, file,
                                              [&] { return target()->NewSequentialFile(path, file); });
}

Status FailStopEnv::NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) {
  return open_wrapped<FailStopRandomAccessFile>(*this, file,
                                                [&] { return target()->NewRandomAccessFile(path, file); });
}

Status FailStopEnv::NewWritableFile(const std::string& path, leveldb::WritableFile** file) {
  return open_wrapped<FailStopWritableFile>(*this, file,
                                            [&] { return target()->NewWritableFile(path, file); });
}

Status FailStopEnv::NewAppendableFile(const std::string& path, leveldb::WritableFile** file) {
  return open_wrapped<FailStopWritableFile>(*this, file,
                                            [&] { return target()->NewAppendableFile(path, file); });
}

Status FailStopEnv::GetChildren(const std::string& folder, std::vector<std::string>* names) {
  return run([&] { return target()->GetChildren(folder, names); });
}

Status FailStopEnv::GetFileSize(const std::string& path, std::uint64_t* size) {
  return run([&] { return target()->GetFileSize(path, size); });
}

Status FailStopEnv::RemoveFile(const std::string& path) {
  return run([&] { return target()->RemoveFile(path); });
}

Status FailStopEnv::RenameFile(const std::string& from, const std::string& to) {
  return run([&] { return target()->RenameFile(from, to); });
}

}  // namespace docklift
