#pragma once

#include "LibAccount/LogLine.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace pumiceturn::account {

/// How a request ended, as its caller sees it.
enum class RequestEnd : std::uint8_t
{
  InTime, ///< Answered, its first event within the objective.
  Late,   ///< Answered, its first event after the objective.
  RejectedByWait,
  RejectedByRate,
  RejectedByShare,
  RejectedByKey,
  NotRun, ///< Rejected for another reason, for example without an endpoint.
  Failed, ///< Failed, broken off, timed out or suspect.
  CallerGone,
};

inline constexpr std::size_t kRequestEnds =
  static_cast<std::size_t>(RequestEnd::CallerGone) + 1;

/// Numbers of requests by how they ended.
class RequestCounts
{
public:
  void Count(RequestEnd aEnd);
  void Add(const RequestCounts& aOther);

  [[nodiscard]] std::uint64_t Of(RequestEnd aEnd) const;
  [[nodiscard]] std::uint64_t Sum() const;

private:
  std::array<std::uint64_t, kRequestEnds> counts_{};
};

/// What the requests of one row have in common.
struct RowKey
{
  std::chrono::sys_seconds second_; ///< In which they ended.
  std::string organisation_;        ///< Empty: none, unknown, or not asked for.

  bool operator<(const RowKey& aOther) const
  {
    return std::tie(second_, organisation_) <
           std::tie(aOther.second_, aOther.organisation_);
  }
};

/// Adds up the requests in hosts' log lines by second, each request once.
///
/// A request that is rejected for its wait or its share has two lines, one with
/// the reason and one with its end. They are matched by host and request id, in
/// either order. The memory in use grows with the number of rows.
class RequestAccount
{
public:
  struct Options
  {
    std::chrono::milliseconds objective_{ 300 };
    bool isByOrganisation_ = false;
  };

  explicit RequestAccount(Options aOptions);

  /// Adds a line without its line end. Lines of other events and empty lines
  /// have no effect. A line that can't be parsed is counted as unreadable.
  /// @return MalformedMessage, MissingField or OutOfRange for such a line.
  base::Result<void> AddLine(std::string_view aText);

  /// Counts the requests of which only one of two lines was added. Call it
  /// after the last line.
  void Finish();

  /// @return the counts, in the order of time.
  [[nodiscard]] const std::map<RowKey, RequestCounts>& Rows() const
  {
    return rows_;
  }

  [[nodiscard]] std::uint64_t UnreadableLines() const
  {
    return unreadableLines_;
  }

  /// @return how many lines of the counted events the hosts didn't write, since
  /// they limit the lines per second. The counts lack them.
  [[nodiscard]] std::uint64_t OmittedLines() const { return omittedLines_; }

private:
  /// The first line of a rejected request.
  struct PendingRequest
  {
    std::chrono::sys_seconds at_;
    std::string organisation_;
    std::optional<RequestEnd> reason_; ///< Nothing: the line with its end.
  };

  struct Host
  {
    std::unordered_map<std::string, PendingRequest> pending_; ///< By id.
    /// When lines came to be pending; those matched since are still listed.
    std::deque<std::pair<std::chrono::sys_seconds, std::string>> order_;
  };

  base::Result<void> AddParsed(const LogLine& aLine);
  base::Result<void> AddEnded(const LogLine& aLine);
  base::Result<void> AddHalf(const LogLine& aLine,
                             std::optional<RequestEnd> aReason);
  void Settle(const PendingRequest& aPending);
  void SettleOld(Host& aHost, std::chrono::sys_seconds aNow);
  void SettleAll(Host& aHost);
  void Count(std::chrono::sys_seconds aSecond,
             const std::string& aOrganisation,
             RequestEnd aEnd);

  Options options_;
  std::map<RowKey, RequestCounts> rows_;
  std::unordered_map<std::string, Host> hosts_;
  std::uint64_t unreadableLines_ = 0;
  std::uint64_t omittedLines_ = 0;
};

} // namespace pumiceturn::account
