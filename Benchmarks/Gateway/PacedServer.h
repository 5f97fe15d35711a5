#pragma once

#include "LibHttpStream/Listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// Streams events at an even pace, as an engine does. Belongs to the event
/// thread.
class PacedServer
{
public:
  struct Pace
  {
    std::uint32_t events_ = 0;
    std::chrono::milliseconds gap_{ 0 };
  };

  PacedServer(boost::asio::io_context& aContext, Pace aPace);

  [[nodiscard]] std::string Address() const;

private:
  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  void OnRequest(const ExchangePtr& aExchange);
  void SendNext(const ExchangePtr& aExchange, std::uint32_t aEvent);

  boost::asio::io_context& context_;
  httpstream::Listener listener_;
  Pace pace_;
};

} // namespace pumiceturn::gateway
