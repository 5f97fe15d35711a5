#pragma once

#include "LibFleet/EndpointTable.h"
#include "LibFleet/ProcessEndSearch.h"
#include "LibGateway/LivenessProbe.h"
#include "LibGateway/SharedState.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace pumiceturn::gateway {

/// What a crash check found.
struct CrashCheckResult
{
  /// What shows that the process has ended; empty: nothing does.
  std::optional<fleet::EndProof> proof_;
  fleet::EndpointCheck lastCheck_ = fleet::EndpointCheck::Unreachable;
  std::size_t checks_ = 0;
  base::Duration duration_{ 0 };
};

/// Finds out whether the process of an endpoint has ended, by connecting to it
/// up to a few times. Must be used only on the event thread.
class CrashCheck : public std::enable_shared_from_this<CrashCheck>
{
public:
  using ResultHandler = std::function<void(const CrashCheckResult&)>;

  /// @param aStartedAtMs Start of the process that is looked for, as Unix time;
  ///   0: it isn't known which process of the endpoint that is.
  CrashCheck(SharedState& aShared,
             const boost::asio::any_io_executor& aExecutor,
             fleet::EndpointRecord aEndpoint,
             std::int64_t aStartedAtMs);

  /// @param aHandler Called once, unless the check is cancelled or destroyed.
  void Start(ResultHandler aHandler);

  void Cancel();

private:
  void Check();
  void OnAnswer(const LivenessAnswer& aAnswer);
  void CheckAfter(base::Duration aPause);
  void End(std::optional<fleet::EndProof> aProof);

  SharedState& shared_;
  boost::asio::any_io_executor executor_;
  fleet::EndpointRecord endpoint_;
  std::int64_t startedAtMs_;
  base::Instant begunAt_{};
  fleet::ProcessEndSearch search_;
  fleet::EndpointCheck lastCheck_ = fleet::EndpointCheck::Unreachable;
  std::shared_ptr<LivenessProbe> probe_;
  boost::asio::steady_timer pauseTimer_;
  ResultHandler handler_;
};

} // namespace pumiceturn::gateway
