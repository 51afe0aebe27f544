// Logging to standard error through log4cxx, with the component's name as the prefix of each line. Each
// component owns one Log. Logging is too expensive for a line per request.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace docklift {

// Configures logging; call it once per process, before the first Log is created. `level`: "debug", "info",
// "warn" or "error".
void start_logs(std::string_view level);

// The logger of one component.
class Log {
 public:
  explicit Log(const std::string& component);
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
