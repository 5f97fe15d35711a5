#pragma once

#include "LibHttpStream/Listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace pumiceturn::gateway {

/// Server that streams events at a fixed interval, as a model server does. Must
/// be used only on the thread that runs the io_context.
class PacedServer
{
public:
  struct Pace
  {
    std::uint32_t events_ = 0;
    std::chrono::milliseconds interval_{ 0 };
  };

  PacedServer(boost::asio::io_context& aContext, Pace aPace);

  [[nodiscard]] std::string Address() const;

private:
  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  void OnRequest(const ExchangePtr& aExchange);
  void SendEvent(const ExchangePtr& aExchange, std::uint32_t aEvent);

  boost::asio::io_context& context_;
  httpstream::Listener listener_;
  Pace pace_;
};

} // namespace pumiceturn::gateway
