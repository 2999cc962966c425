#include "laburnum/kernel/log.hpp"

#include "laburnum/kernel/bounded_writer.hpp"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <string>
#include <unistd.h>

namespace laburnum {
namespace {

/// Writes each event's line to standard output, bounded and never waiting.
class LineAppender final : public log4cplus::Appender
{
public:
  LineAppender()
    : mWriter(STDOUT_FILENO)
  {
  }
  ~LineAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    const auto now =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    mWriter.write(aEvent.getMessage(), now);
  }

private:
  BoundedWriter mWriter;
};

struct LogState
{
  std::unique_ptr<log4cplus::Initializer> initializer;
  log4cplus::Logger logger;
  std::string instance;
  LogLevel level = LogLevel::Info;
};

LogState&
state()
{
  static LogState instance;
  return instance;
}

log4cplus::LogLevel
toLog4cplus(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

void
startLog(std::string_view aInstance, LogLevel aLevel)
{
  LogState& log = state();
  log.initializer = std::make_unique<log4cplus::Initializer>();
  log4cplus::setThreadPoolSize(0);
  log.instance = aInstance;
  log.level = aLevel;
  log4cplus::SharedAppenderPtr appender(new LineAppender());
  log.logger = log4cplus::Logger::getRoot();
  log.logger.addAppender(appender);
  log.logger.setLogLevel(toLog4cplus(aLevel));
}

void
log(LogLevel aLevel, std::string_view aEvent, boost::json::object aFields)
{
  LogState& log = state();
  if (!log.initializer || aLevel < log.level) {
    return;
  }
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  boost::json::object line;
  line["time_ms"] = wall.count();
  line["level"] = nameIn(kLogLevelNames, aLevel);
  line["instance"] = log.instance;
  line["event"] = aEvent;
  for (auto& field : aFields) {
    line[field.key()] = std::move(field.value());
  }
  log.logger.log(toLog4cplus(aLevel), boost::json::serialize(line));
}

} // namespace laburnum
