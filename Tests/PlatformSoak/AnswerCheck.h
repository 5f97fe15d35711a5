#pragma once

#include "Tests/PlatformSoak/CallerConnection.h"
#include "platform/Standin/ServerStandin.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::adapter {

/// A route, and what its callers may expect.
struct SoakRoute
{
  std::string_view name_;
  std::string_view kind_;
  bool isResumable_ = false;
  int maxAttempts_ = 1;
  int sloMs_ = 0;
  int maxPauseMs_ = 0;

  [[nodiscard]] bool IsStream() const { return kind_ == "stream"; }
  [[nodiscard]] bool IsIdempotent() const
  {
    return IsStream() ? isResumable_ : kind_ == "safe";
  }
};

/// A caller's request with what is known about it.
struct SoakRequest : CallerRequest
{
  const SoakRoute* route_ = nullptr;
  std::string host_;
  std::size_t padding_ = 0; ///< Of the events that it asks for.
  /// Time by which the caller's own pace delays the response, at most.
  std::chrono::milliseconds readTime_{ 0 };
  /// When the host's process got SIGTERM.
  std::optional<TimePoint> stoppedAt_;
};

/// Checks from what callers got and what servers sent, or would have sent, that
/// no answer was lost.
class AnswerCheck
{
public:
  struct Bounds
  {
    /// Least timeout that a route had.
    std::chrono::milliseconds routeTimeout_{ 0 };
    /// From SIGTERM to SIGKILL.
    std::chrono::milliseconds grace_{ 0 };
    /// Time by which the way through a host may delay an answer.
    std::chrono::milliseconds margin_{ 0 };
  };

  struct Counts
  {
    int requests_ = 0;
    int complete_ = 0; ///< Whole responses of a server.
    int refused_ = 0;  ///< Responses that the request didn't run.
    int failed_ = 0;   ///< Other responses of a host.
    int cut_ = 0;      ///< Incomplete responses.
    int unanswered_ = 0;
    int crossed_ = 0; ///< Sent into a connection that was already closed.
    int givenUp_ = 0; ///< By callers.
    int unanswerable_ = 0;
  };

  explicit AnswerCheck(const Bounds& aBounds)
    : bounds_(aBounds)
  {
  }

  /// Adds what a server did with its requests. The server must outlive this.
  void AddServer(const ServerStandin& aServer);

  /// Checks a request that has ended, after all servers were added.
  void Check(const SoakRequest& aRequest);

  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return violations_;
  }
  [[nodiscard]] const Counts& GetCounts() const { return counts_; }

private:
  using TimePoint = CallerRequest::TimePoint;

  void CheckResponse(const SoakRequest& aRequest);
  void CheckClose(const SoakRequest& aRequest);
  void AddViolation(const SoakRequest& aRequest, const std::string& aWhat);
  [[nodiscard]] std::string DescribeRuns(const SoakRequest& aRequest,
                                         TimePoint aSince) const;

  /// @return whether a server would have ended its answer within the caller's
  ///         patience and deadline.
  [[nodiscard]] bool WouldHaveEnded(const SoakRequest& aRequest) const;
  [[nodiscard]] bool WouldHaveEnded(const SoakRequest& aRequest,
                                    const ServerRun& aRun) const;

  /// @return by when a request is to be answered.
  [[nodiscard]] TimePoint AnswerBy(const SoakRequest& aRequest) const;

  /// @return whether a host may have exited without answering a request: its
  ///         grace period has passed, or a server still works in the last
  ///         sixth.
  [[nodiscard]] bool IsPastGrace(const SoakRequest& aRequest) const;
  [[nodiscard]] TimePoint LastSixthOfGrace(const SoakRequest& aRequest) const;
  [[nodiscard]] const std::vector<const ServerRun*>& RunsOf(
    const std::string& aId) const;

  Bounds bounds_;
  std::map<std::string, std::vector<const ServerRun*>> runs_; ///< By request.
  std::map<std::string, int> arrivals_; ///< Runs that began, by request.
  std::vector<std::string> violations_;
  Counts counts_;
};

} // namespace pumiceturn::adapter
