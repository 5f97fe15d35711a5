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

/// Fields that a caller sets on a request.
struct CallerFields
{
  std::string requestId_; ///< A resubmitted batch job has the same id.
  /// Time until the caller gives up, counted from the receipt of the request.
  std::optional<base::Duration> callerTimeout_;
  std::uint64_t lastEvent_ = 0; ///< Id of the last event received.
  /// Id of the caller's request that brought the first event of the stream that
  /// this one resumes; empty if not given.
  std::string resumedRequestId_;
  /// Hashes of the parts of the prompt, in order, without the last one, which
  /// belongs to the request alone.
  std::vector<std::uint64_t> sharedParts_{};
};

/// Fields of an endpoint's response beyond its status and body.
struct ResponseInfo
{
  /// The request was rejected before it ran; another endpoint may run it.
  bool wasNotRun_ = false;
  bool isMisdirected_ = false; ///< Another process has the address now.
  std::string responderId_;    ///< Id of the endpoint; empty if not given.
  std::optional<fleet::EndpointLoad> load_; ///< The endpoint's load, if given.
};

/// The caller's organisation as it is sent to endpoints; empty if the caller is
/// anonymous. std::nullopt if no organisations are declared: the caller's own
/// fields are then forwarded unchanged.
using OrganisationName = std::optional<std::string>;

/// Options for a request that is forwarded to an endpoint.
struct ForwardOptions
{
  std::string endpoint_;         ///< Id of the endpoint to run the request.
  base::Duration callerTimeout_; ///< Time left until the caller's deadline.
  std::uint64_t lastEvent_ = 0;  ///< The endpoint resumes after this event.
  OrganisationName caller_{};
};

/// A call that reads a page of a job's results.
struct ReadResultsCall
{
  std::string job_;
  std::uint32_t position_ = 0;  ///< Of the first result in the job.
  base::Duration maxWait_{ 0 }; ///< Maximum wait for a result.
};
/// A call that reads the submitted body of one item.
struct ReadItemBodyCall
{
  std::string job_;
  std::string item_;
};
/// A call with which the submitter ends a job.
struct EndBatchJobCall
{
  std::string job_;
};

/// A call that can't be parsed, with the reason that its caller gets.
struct MalformedCall
{
  std::string reason_;
};

using BatchJobCall = std::
  variant<ReadResultsCall, ReadItemBodyCall, EndBatchJobCall, MalformedCall>;

/// Translates between the gateway's types and the HTTP formats of callers and
/// endpoints. Implemented in platform/; only translates.
class Codec
{
public:
  virtual ~Codec() = default;

  [[nodiscard]] virtual CallerFields ReadCallerFields(
    const httpstream::Request& aRequest) const = 0;

  /// @return the caller's credential, from the request's fields.
  [[nodiscard]] virtual fleet::Credential ReadCredential(
    const httpstream::Request& aRequest) const = 0;

  /// @return the request to send to an endpoint for a caller's request.
  [[nodiscard]] virtual httpstream::Request MakeEndpointRequest(
    const httpstream::Request& aRequest,
    const ForwardOptions& aOptions) const = 0;

  /// @return the serialized request to an endpoint for a job's item. Its fields
  ///         may be larger than a httpstream::Request can hold.
  /// @param aHostField Host header of the submitting request.
  [[nodiscard]] virtual std::string MakeItemRequest(
    const batch::BatchItem& aItem,
    std::string_view aHostField,
    const ForwardOptions& aOptions) const = 0;

  /// @return a request for the health of an endpoint. Another one at its
  ///         address rejects it.
  /// @param aEndpoint Id of the endpoint.
  [[nodiscard]] virtual httpstream::Request MakeHealthRequest(
    std::string_view aPath,
    std::string_view aEndpoint,
    std::string_view aAddress) const = 0;

  /// @return a request for an endpoint's report on itself. Another one at its
  ///         address rejects it.
  /// @param aEndpoint Id of the endpoint.
  [[nodiscard]] virtual httpstream::Request MakeReportRequest(
    std::string_view aEndpoint,
    std::string_view aAddress) const = 0;

  /// @return when the process started that wrote a report, as Unix time in
  ///         milliseconds; empty if the report doesn't say.
  [[nodiscard]] virtual std::optional<std::int64_t> ReadProcessStart(
    std::string_view aReport) const = 0;

  /// @return hashes of the parts of an item's prompt, as in CallerFields.
  [[nodiscard]] virtual std::vector<std::uint64_t> ReadSharedParts(
    const batch::BatchItem& aItem) const = 0;

  [[nodiscard]] virtual ResponseInfo ReadResponseInfo(
    const httpstream::ResponseHead& aHead) const = 0;

  /// Copies the fields of a call on a job to the request for the host that runs
  /// the job. Leaves out the caller's key.
  virtual void CopyForPeer(const httpstream::Request& aFrom,
                           httpstream::Request& aTo) const = 0;

  /// @return the name of the field that carries the request id, and that a
  ///         response must repeat.
  [[nodiscard]] virtual std::string_view EchoField() const = 0;

  /// @return std::nullopt if the request is not a call on a stored job.
  [[nodiscard]] virtual std::optional<BatchJobCall> ReadBatchJobCall(
    const httpstream::Request& aRequest) const = 0;

  /// Parses the body of a submitted job.
  /// @return the items, or the error.
  [[nodiscard]] virtual std::variant<std::vector<batch::BatchItem>,
                                     MalformedCall>
  ReadBatchJobContent(std::string_view aBody) const = 0;

  /// Serialises a page of results.
  /// @param aTotal    Number of items in the job.
  /// @param aPosition Position of the first result in the job.
  [[nodiscard]] virtual std::string WriteResults(
    std::uint32_t aTotal,
    std::uint32_t aPosition,
    std::span<const batch::ItemResult> aResults) const = 0;

  /// @return a response to a request that was not run.
  /// @param aRetryAfter Delay after which the caller may retry.
  [[nodiscard]] virtual httpstream::Response MakeUnavailable(
    base::Duration aRetryAfter) const = 0;

  /// @return a response to a request over its organisation's rate limit.
  /// @param aRetryAfter Delay after which the caller may retry.
  [[nodiscard]] virtual httpstream::Response MakeRateLimited(
    base::Duration aRetryAfter) const = 0;

  /// @return a response to a caller without a valid key.
  [[nodiscard]] virtual httpstream::Response MakeUnauthorised() const = 0;
};

} // namespace pumiceturn::gateway
