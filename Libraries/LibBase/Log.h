#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pumiceturn::base {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat : std::uint8_t
{
  KeyValue,
  JsonLines,
};

/// A numbered event. Each library lists its own in LibX/Events.h, one
/// initializer a line: { number, name, level, meaning }. docs/EVENTS.md has the
/// catalogue, and a test compares both.
struct Event
{
  std::uint16_t number_;
  std::string_view name_;
  LogLevel level_;
  std::string_view meaning_;
};

/// One key of a log line and its value as text.
struct LogField
{
  std::string_view key_;
  std::string value_;

  template<typename Value>
  LogField(std::string_view aKey, const Value& aValue)
    : key_(aKey)
    , value_(fmt::format("{}", aValue))
  {
  }
};

enum class LogTarget : std::uint8_t
{
  StandardError,
  StandardOutput,
};

struct LogOptions
{
  LogFormat format_ = LogFormat::KeyValue;
  LogLevel level_ = LogLevel::Info;
  std::string file_; ///< Empty: the target below.
  LogTarget target_ = LogTarget::StandardError;
  std::string host_; ///< Written on each line.
  /// Lines of one event written in a second; what is over is counted, and the
  /// next line tells how many were left out. Zero: no limit. A burst must not
  /// spend the processor on telling about itself.
  std::uint32_t maxLinesPerSecond_ = 0;
};

/// Sets up the process's log. Call once, before other threads log; without it,
/// nothing is written.
void
StartLog(const LogOptions& aOptions);

/// Writes out what is buffered.
void
FlushLog();

/// Writes out everything and ends the writer. Nothing is logged afterwards.
void
StopLog();

/// @return whether lines of this level are written.
bool
IsLogged(LogLevel aLevel);

/// Writes one line: time, level, host, event number and name, then the fields.
/// Lines may be dropped, and are counted, when the disk is slower than the log.
void
Log(const Event& aEvent, std::initializer_list<LogField> aFields = {});

} // namespace pumiceturn::base
