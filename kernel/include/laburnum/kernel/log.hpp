#pragma once

#include "laburnum/kernel/enum_names.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string_view>

namespace laburnum {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
  Error
};

inline constexpr EnumNames<LogLevel, 4> kLogLevelNames{
  { { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warn, "warn" },
    { LogLevel::Error, "error" } }
};

/// Sets up log4cplus with one JSON line an event on standard output, bounded
/// and never waiting for a reader, and no threads of its own. Pre: called once,
/// before `log`. Thread safety: main.
void
startLog(std::string_view aInstance, LogLevel aLevel);

/// Writes one JSON line: time, level, instance, event and the fields.
/// Secrets and bodies must not be passed. Pre: none; without `startLog`
/// nothing is written. Thread safety: loop thread.
void
log(LogLevel aLevel, std::string_view aEvent, boost::json::object aFields = {});

} // namespace laburnum
