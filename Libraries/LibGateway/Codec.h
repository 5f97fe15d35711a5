#pragma once

#include "LibBase/Time.h"
#include "LibBatch/BatchJob.h"
#include "LibFleet/CallerAuthentication.h"
#include "LibFleet/Declarations.h"
#include "LibHttpStream/Message.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pumiceturn::gateway {

/// What an online request says of itself.
struct OnlineCall
{
  std::string requestId_; ///< New for each attempt of the caller.
  /// How long the caller waits, from now.
  std::optional<base::Duration> clientTimeout_;
  std::uint64_t lastEvent_ = 0; ///< The caller has events up to this one.
};

/// What an endpoint's answer says beyond its status and body.
struct ResponseInfo
{
  bool isCertainlyNotRun_ = false; ///< Another endpoint may run it.
  bool isMisdirected_ = false;     ///< Another process has the address now.
  std::string answeredBy_;         ///< Id of the process; empty: not said.
};

/// Who calls, as endpoints are told: the name of an organisation, or nobody's
/// (empty). Nothing: no organisations are declared, and whatever the caller
/// wrote of itself is passed on as any other field.
using CallerName = std::optional<std::string>;

/// Where and under which conditions a request is sent.
struct ForwardOptions
{
  std::string endpoint_;         ///< The process that must run it, by id.
  base::Duration clientTimeout_; ///< What is left of the caller's time.
  std::uint64_t lastEvent_ = 0;  ///< The endpoint goes on after this event.
  CallerName caller_{};
};

/// Calls on jobs.
struct ReadResults
{
  std::string job_;
  std::uint32_t position_ = 0;
  base::Duration longestWait_{ 0 }; ///< Until a result exists.
};
struct ReadItemBody
{
  std::string job_;
  std::string item_;
};
struct EndBatchJob
{
  std::string job_;
};

/// A call that can't be read, with the reason for its caller.
struct MalformedCall
{
  std::string reason_;
};

using BatchJobCall =
  std::variant<ReadResults, ReadItemBody, EndBatchJob, MalformedCall>;

/// The names and formats of callers and endpoints. The adapter implements it;
/// it decides nothing.
class Codec
{
public:
  virtual ~Codec() = default;

  [[nodiscard]] virtual OnlineCall ReadOnline(
    const httpstream::Request& aRequest) const = 0;

  /// @return what the request shows of its caller.
  [[nodiscard]] virtual fleet::Credential ReadCredential(
    const httpstream::Request& aRequest) const = 0;

  /// @return the caller's request as it is sent to an endpoint.
  [[nodiscard]] virtual httpstream::Request MakeEndpointRequest(
    const httpstream::Request& aRequest,
    const ForwardOptions& aOptions) const = 0;

  /// @return a job's item as it is sent to an endpoint.
  [[nodiscard]] virtual httpstream::Request MakeItemRequest(
    const batch::BatchItem& aItem,
    std::string_view aHostName,
    const ForwardOptions& aOptions) const = 0;

  [[nodiscard]] virtual ResponseInfo ReadAnswer(
    const httpstream::ResponseHead& aHead) const = 0;

  /// Copies the fields of a call on a job for the host that runs the job, which
  /// needs no key of the caller's.
  virtual void CopyForPeer(const httpstream::Request& aFrom,
                           httpstream::Request& aTo) const = 0;

  /// @return the field by which an answer names its request.
  [[nodiscard]] virtual std::string_view EchoField() const = 0;

  /// @return nothing where the request is no call on a stored job.
  [[nodiscard]] virtual std::optional<BatchJobCall> ReadBatchJobCall(
    const httpstream::Request& aRequest) const = 0;

  /// Reads the content of a submitted job.
  /// @return the items, or what is wrong.
  [[nodiscard]] virtual std::variant<std::vector<batch::BatchItem>,
                                     MalformedCall>
  ReadBatchJobContent(std::string_view aBody) const = 0;

  /// Writes a page of results.
  /// @param aTotal    Items of the job.
  /// @param aPosition Of the first result.
  [[nodiscard]] virtual std::string WriteResults(
    std::uint32_t aTotal,
    std::uint32_t aPosition,
    std::span<const batch::ItemResult> aResults) const = 0;

  /// Answers that tell a caller when to come back.
  [[nodiscard]] virtual httpstream::Response MakeNotRun(
    base::Duration aRetryAfter) const = 0;

  /// The same where the caller has used up what it may.
  [[nodiscard]] virtual httpstream::Response MakeRateLimited(
    base::Duration aRetryAfter) const = 0;

  /// Answers a caller without a valid key.
  [[nodiscard]] virtual httpstream::Response MakeUnauthorised() const = 0;
};

} // namespace pumiceturn::gateway
