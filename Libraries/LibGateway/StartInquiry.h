#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"
#include "LibGateway/ProcessQuery.h"
#include "LibGateway/SharedState.h"
#include "LibHttpStream/ClientConnection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace pumiceturn::gateway {

/// Asks endpoints whose registration has no start when their process started,
/// so that a later process under the same id is noticed. Whether endpoints tell
/// it depends on their software: once one doesn't, no other of its service and
/// software version is asked. One of these is asked at a time. Used on the
/// event thread only.
class StartInquiry
{
public:
  StartInquiry(const boost::asio::any_io_executor& aExecutor,
               SharedState& aShared);
  ~StartInquiry();
  StartInquiry(const StartInquiry&) = delete;
  StartInquiry& operator=(const StartInquiry&) = delete;

  /// Handles a new registration.
  void OnEndpoint(const fleet::EndpointRecord& aEndpoint);

private:
  using Software = std::pair<std::string, std::string>; ///< Service, version.

  struct Question
  {
    fleet::EndpointRecord endpoint_;
    std::uint32_t failures_ = 0;
  };
  /// Endpoints of one software.
  struct Group
  {
    explicit Group(const boost::asio::any_io_executor& aExecutor)
      : retryTimer_(aExecutor)
    {
    }

    std::deque<Question> waiting_; ///< The first one is asked now.
    bool isAsking_ = false;
    bool isUntold_ = false; ///< An endpoint answered without a start.
    base::Instant askedAt_{};
    std::shared_ptr<httpstream::ClientConnection> connection_;
    std::unique_ptr<ProcessQuery> query_;
    boost::asio::steady_timer retryTimer_;
  };

  void AskNext(Group& aGroup);
  void OnConnected(Group& aGroup, bool aIsConnected);
  void OnAnswer(Group& aGroup, const ProcessAnswer& aAnswer);
  void OnFailure(Group& aGroup);
  void GoOn(Group& aGroup);

  boost::asio::any_io_executor executor_;
  SharedState& shared_;
  std::map<Software, Group> groups_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
