#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace pumiceturn::base {

/// A timer with at most one pending wait, which may be replaced at any time.
///
/// Asio can't cancel the handler of a wait that has already expired and is
/// queued, so after a plain expires_after() both the old and the new handler
/// run. Here a replaced or cancelled handler never runs. Used on the event
/// thread only.
class RestartableTimer
{
public:
  explicit RestartableTimer(boost::asio::io_context& aContext)
    : timer_(aContext)
  {
  }

  /// Calls a handler after a delay, in place of one that is still to be called.
  template<typename Handler>
  void Start(Duration aDelay, Handler aHandler)
  {
    wait_ = {};
    timer_.expires_after(aDelay);
    timer_.async_wait(wait_.Guard(
      [handler = std::move(aHandler)](const boost::system::error_code& aError) {
        if (!aError) {
          handler();
        }
      }));
  }

  void Cancel()
  {
    wait_ = {};
    timer_.cancel();
  }

private:
  boost::asio::steady_timer timer_;
  Lifetime wait_;
};

} // namespace pumiceturn::base
