#pragma once

#include "LibGateway/Codec.h"
#include "LibHttpStream/ClientConnection.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace pumiceturn::gateway {

/// The endpoint's process said when it started.
struct ProcessStart
{
  std::int64_t startedAtMs_ = 0; ///< Unix time.
};
/// The endpoint answered, but doesn't say when its process started.
struct ProcessStartNotTold
{
  bool hasReport_ = false; ///< It sent a report.
};
/// Another endpoint has the address.
struct OtherInstanceAnswered
{};
/// There was no answer to read.
struct ProcessQueryFailed
{
  httpstream::CallOutcome outcome_ = httpstream::CallOutcome::Broken;
};

using ProcessAnswer = std::variant<ProcessStart,
                                   ProcessStartNotTold,
                                   OtherInstanceAnswered,
                                   ProcessQueryFailed>;

/// Asks an endpoint which process it is. A connection belongs to one process,
/// so the answer holds for all that is sent on it afterwards. Must be used only
/// on the event thread.
class ProcessQuery : public httpstream::CallObserver
{
public:
  using ResultHandler = std::function<void(const ProcessAnswer&)>;
  using SilenceHandler =
    std::function<httpstream::SilenceDecision(const httpstream::Silence&)>;

  /// @param aOnSilence Decides whether a silent query goes on.
  ProcessQuery(const Codec& aCodec,
               SilenceHandler aOnSilence,
               ResultHandler aOnResult);

  /// Sends the question. The query must outlive the call unless the connection
  /// is cancelled.
  /// @param aEndpoint Id of the endpoint. Another one at its address rejects
  ///                  the question.
  /// @param aAddress IP:PORT of the endpoint.
  /// @param aTimeout For the first byte of the answer, and between bytes.
  void Start(httpstream::ClientConnection& aConnection,
             std::string_view aEndpoint,
             std::string_view aAddress,
             base::Duration aTimeout);

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  httpstream::SilenceDecision OnSilence(
    const httpstream::Silence& aSilence) override;
  void OnEnd(httpstream::CallOutcome aOutcome) override;

private:
  [[nodiscard]] ProcessAnswer Evaluate(httpstream::CallOutcome aOutcome) const;

  const Codec& codec_;
  SilenceHandler onSilence_;
  ResultHandler onResult_;
  unsigned status_ = 0;
  bool hasMarkedEnd_ = false; ///< By more than the end of the connection.
  std::string body_;
};

} // namespace pumiceturn::gateway
