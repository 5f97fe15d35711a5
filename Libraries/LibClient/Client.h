#pragma once

#include "LibBase/Result.h"
#include "LibClient/EntryChannels.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::client {

/// A whole answer to a streaming call.
struct CallAnswer
{
  std::string requestKey_;
  caller::Outcome outcome_;
  std::string text_;
  std::string endpoint_;
  std::uint32_t tokens_ = 0;
  bool duplicate_ = false;
  bool replacesShown_ = false; ///< What was shown before is not the answer.
};

/// What became of a change of configuration.
struct ApplyOutcome
{
  std::uint64_t version_ = 0;
  bool unchanged_ = false;
};

/// Blocking client for callers and operators. Tries the entries in turn: when
/// one cannot be reached, is lost or is leaving, the next one is asked. Each
/// request that may be sent twice so has a key, so it still runs once. All
/// functions fail with the numbered code that the fleet gave, or Disconnected
/// when no entry could be reached. Thread-safe.
class Client
{
public:
  struct Options
  {
    std::vector<std::string> entries_; ///< IP:port, at least one.
    std::string token_;
    std::chrono::milliseconds timeout_{ 10'000 }; ///< For each short call.
  };

  using ShowText = std::function<void(std::string_view)>;
  using ShowResult = std::function<void(const caller::ItemResult&)>;

  explicit Client(Options aOptions);

  /// Streams an answer.
  /// @param aShow Receives each new part of the text as it comes.
  /// @return the answer, whose outcome may be a failure after it was accepted.
  base::Result<CallAnswer> Call(caller::CallRequest aRequest,
                                const ShowText& aShow);
  base::Result<caller::ServiceCallReply> CallService(
    caller::ServiceCallRequest aRequest);

  base::Result<caller::SubmitJobReply> SubmitJob(
    const caller::JobHeader& aHeader,
    std::span<const caller::JobItem> aItems);
  base::Result<caller::JobStatus> GetJob(const std::string& aJobKey);
  base::Result<caller::JobStatus> CancelJob(const std::string& aJobKey);
  base::Result<caller::ItemResult> GetResult(const std::string& aRequestKey);

  /// Reads results in the order recorded, and goes on at the next entry after
  /// the last one that was shown.
  /// @param aTimeout For the whole of it; 0: no limit for a job that is
  /// followed.
  base::Result<void> ReadResults(caller::ReadResultsRequest aRequest,
                                 const ShowResult& aShow,
                                 std::chrono::milliseconds aTimeout = {});

  /// @return VersionConflict, with what changed since, when another operator
  /// was first.
  base::Result<ApplyOutcome> Apply(const operations::ApplyRequest& aRequest);
  base::Result<declarations::Configuration> GetConfiguration(
    std::uint64_t aVersion);
  base::Result<operations::HistoryReply> GetHistory(std::uint32_t aLimit);
  base::Result<operations::StatusReply> GetStatus();
  base::Result<operations::QuarantineReply> GetQuarantine();
  base::Result<bool> LiftQuarantine(const std::string& aFingerprint);
  base::Result<std::uint64_t> SetDrained(
    const operations::DrainRequest& aRequest);

private:
  using Attempt = std::function<grpc::Status(std::size_t aEntry)>;

  /// Runs an attempt at one entry after the other until one does not call for
  /// the next.
  grpc::Status TryEntries(const Attempt& aAttempt);

  template<typename Reply>
  base::Result<Reply> CallCaller(
    const std::function<grpc::Status(caller::Caller::Stub&,
                                     grpc::ClientContext&,
                                     Reply&)>& aCall);
  template<typename Reply>
  base::Result<Reply> CallOperator(
    const std::function<grpc::Status(operations::Operator::Stub&,
                                     grpc::ClientContext&,
                                     Reply&)>& aCall);

  Options options_;
  EntryChannels channels_;
};

/// @return a fresh random key, 128 bits in hexadecimal.
std::string
MakeRequestKey();

} // namespace pumiceturn::client
