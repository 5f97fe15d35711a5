#include "LibBase/Log.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace pumiceturn::base {

namespace {

constexpr std::size_t kQueuedLines = 8192;
constexpr std::size_t kWriterThreads = 1;
constexpr std::chrono::seconds kFlushInterval{ 1 };

/// Lines of one event in the present second.
struct EventRate
{
  std::int64_t second_ = 0;
  std::uint32_t written_ = 0;
  std::uint64_t omitted_ = 0;
};

struct LogState
{
  std::shared_ptr<spdlog::logger> logger_;
  LogOptions options_;
  std::mutex mutex_; ///< Guards rates_; nothing is called while it is held.
  std::unordered_map<std::uint16_t, EventRate> rates_;
};

LogState&
State()
{
  static LogState state;
  return state;
}

spdlog::level::level_enum
ToSpdlog(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

spdlog::sink_ptr
MakeSink(const LogOptions& aOptions)
{
  if (!aOptions.file_.empty()) {
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(aOptions.file_);
  }
  if (aOptions.target_ == LogTarget::StandardOutput) {
    return std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

/// Counts a line against its event's limit.
/// @return how many lines were left out before this one, or nothing if this one
/// is left out too.
std::optional<std::uint64_t>
TakeLine(LogState& aState, const Event& aEvent)
{
  if (aState.options_.maxLinesPerSecond_ == 0) {
    return 0;
  }
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::steady_clock::now().time_since_epoch())
      .count();
  const std::lock_guard lock(aState.mutex_);
  EventRate& rate = aState.rates_[aEvent.number_];
  if (rate.second_ != second) {
    rate.second_ = second;
    rate.written_ = 0;
  }
  if (rate.written_ >= aState.options_.maxLinesPerSecond_) {
    ++rate.omitted_;
    return std::nullopt;
  }
  ++rate.written_;
  return std::exchange(rate.omitted_, 0);
}

std::string
KeyValueLine(const Event& aEvent,
             std::initializer_list<LogField> aFields,
             const std::string& aHost)
{
  std::string line = fmt::format(
    "host={} event={} name={}", aHost, aEvent.number_, aEvent.name_);
  for (const LogField& field : aFields) {
    const bool quoted = NeedsQuotes(field.value_);
    // A JSON string escapes quotes and line ends, so that a value stays on its
    // line.
    const std::string value =
      quoted ? nlohmann::json(field.value_)
                 .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
             : field.value_;
    fmt::format_to(std::back_inserter(line), " {}={}", field.key_, value);
  }
  return line;
}

std::string
JsonLine(const Event& aEvent,
         std::initializer_list<LogField> aFields,
         const std::string& aHost)
{
  nlohmann::ordered_json line;
  line["host"] = aHost;
  line["event"] = aEvent.number_;
  line["name"] = aEvent.name_;
  for (const LogField& field : aFields) {
    line[std::string(field.key_)] = field.value_;
  }
  // The opening brace, time and level come from the pattern.
  return line
    .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)
    .substr(1);
}

} // namespace

void
StartLog(const LogOptions& aOptions)
{
  LogState& state = State();
  spdlog::init_thread_pool(kQueuedLines, kWriterThreads);
  state.options_ = aOptions;
  state.logger_ = std::make_shared<spdlog::async_logger>(
    "pumiceturn",
    MakeSink(aOptions),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  state.logger_->set_level(ToSpdlog(aOptions.level_));
  state.logger_->flush_on(spdlog::level::warn);
  const bool isJson = aOptions.format_ == LogFormat::JsonLines;
  state.logger_->set_pattern(
    isJson ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)"
           : "%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  spdlog::register_logger(state.logger_);
  spdlog::flush_every(kFlushInterval);
}

void
FlushLog()
{
  if (State().logger_) {
    State().logger_->flush();
  }
}

void
StopLog()
{
  LogState& state = State();
  if (!state.logger_) {
    return;
  }
  state.logger_->flush();
  spdlog::drop_all();
  spdlog::shutdown();
  state.logger_.reset();
}

bool
IsLogged(LogLevel aLevel)
{
  return State().logger_ && State().logger_->should_log(ToSpdlog(aLevel));
}

void
Log(const Event& aEvent, std::initializer_list<LogField> aFields)
{
  if (!IsLogged(aEvent.level_)) {
    return;
  }
  LogState& state = State();
  const auto omitted = TakeLine(state, aEvent);
  if (!omitted) {
    return;
  }
  const bool isJson = state.options_.format_ == LogFormat::JsonLines;
  std::string line = isJson
                       ? JsonLine(aEvent, aFields, state.options_.host_)
                       : KeyValueLine(aEvent, aFields, state.options_.host_);
  if (*omitted > 0 && isJson) {
    line.insert(line.size() - 1, fmt::format(",\"omitted\":\"{}\"", *omitted));
  } else if (*omitted > 0) {
    line += fmt::format(" omitted={}", *omitted);
  }
  state.logger_->log(ToSpdlog(aEvent.level_), "{}", line);
}

} // namespace pumiceturn::base
