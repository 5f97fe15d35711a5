#pragma once

#include "LibFleet/EndpointTable.h"
#include "LibGateway/SharedState.h"
#include "LibHttpStream/ClientConnection.h"

#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// One request at one endpoint: counts it, takes a connection from the pool,
/// sends, passes the answer to an observer, and gives the connection back.
/// Belongs to the event thread.
class EndpointAttempt
  : public httpstream::CallObserver
  , public std::enable_shared_from_this<EndpointAttempt>
{
public:
  EndpointAttempt(SharedState& aShared,
                  fleet::EndpointRecord aEndpoint,
                  fleet::WorkClass aWork);
  ~EndpointAttempt() override;
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;

  /// Sends the call. The observer must outlive the run or call Cancel().
  void Start(httpstream::Call aCall, httpstream::CallObserver& aObserver);

  /// Stops the work at the endpoint by closing the connection, and calls back
  /// no more.
  void Cancel();

  void SetPaused(bool aIsPaused);

  [[nodiscard]] const fleet::EndpointRecord& Endpoint() const
  {
    return endpoint_;
  }

  void OnHead(const httpstream::ResponseHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(httpstream::CallOutcome aEnd) override;

private:
  void Leave();

  SharedState& shared_;
  fleet::EndpointRecord endpoint_;
  fleet::WorkClass work_;
  httpstream::CallObserver* observer_ = nullptr;
  std::shared_ptr<httpstream::ClientConnection> connection_;
  base::Instant startedAt_{};
  bool counted_ = false;
};

} // namespace pumiceturn::gateway
