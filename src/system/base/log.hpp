// Logs of the system: short sentences on standard error with a fixed prefix for each part. One Log for each
// part, made where the part is made; log4cxx behind it. Writing costs processor time: nothing is logged for
// each request.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace docklift {

// Once for each process, ahead of the first Log. `level`: "debug", "info", "warn" or "error".
void start_logs(std::string_view level);

class Log {
 public:
  explicit Log(const std::string& part);
  ~Log();
  Log(Log&&) noexcept;
  void debug(std::string_view text) const;
  void info(std::string_view text) const;
  void warn(std::string_view text) const;
  void error(std::string_view text) const;

 private:
  struct Sink;
  std::unique_ptr<Sink> sink_;
};

}  // namespace docklift
