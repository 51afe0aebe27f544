#include "system/base/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace docklift {

struct Log::Sink {
  log4cxx::LoggerPtr logger;
};

void start_logs(std::string_view level) {
  const auto root = log4cxx::Logger::getRootLogger();
  const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%c: %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

Log::Log(const std::string& component)
    : sink_(std::make_unique<Sink>(Sink{log4cxx::Logger::getLogger(component)})) {}
Log::~Log() = default;
Log::Log(Log&&) noexcept = default;
void Log::debug(std::string_view text) const { LOG4CXX_DEBUG(sink_->logger, std::string(text)); }
void Log::info(std::string_view text) const { LOG4CXX_INFO(sink_->logger, std::string(text)); }
void Log::warn(std::string_view text) const { LOG4CXX_WARN(sink_->logger, std::string(text)); }
void Log::error(std::string_view text) const { LOG4CXX_ERROR(sink_->logger, std::string(text)); }

}  // namespace docklift
