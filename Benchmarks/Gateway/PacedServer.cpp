#include "PacedServer.h"

#include "platform/Names.h"

#include <boost/asio/ip/address.hpp>

#include <fmt/format.h>

#include <stdexcept>

namespace pumiceturn::gateway {

PacedServer::PacedServer(boost::asio::io_context& aContext, Pace aPace)
  : context_(aContext)
  , listener_(aContext,
              [this](const ExchangePtr& aExchange) { OnRequest(aExchange); })
  , pace_(aPace)
{
  const auto error =
    listener_.Open({ boost::asio::ip::address_v4::loopback(), 0 });
  if (error) {
    throw std::runtime_error(error.message());
  }
}

std::string
PacedServer::Address() const
{
  return fmt::format("127.0.0.1:{}", listener_.Port());
}

void
PacedServer::OnRequest(const ExchangePtr& aExchange)
{
  httpstream::ResponseHead head;
  head.result(200);
  head.set("Content-Type", "text/event-stream");
  const auto id =
    httpstream::ValueOf(aExchange->GetRequest(), adapter::kRequestIdField);
  head.set(std::string(adapter::kRequestIdField), std::string(id));
  aExchange->BeginStream(head);
  SendEvent(aExchange, 1);
}

void
PacedServer::SendEvent(const ExchangePtr& aExchange, std::uint32_t aEvent)
{
  aExchange->SendChunk(
    fmt::format("id: {}\ndata: {{\"text\": \" surname\"}}\n\n", aEvent));
  if (aEvent == pace_.events_) {
    aExchange->EndStream();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(pace_.interval_);
  timer->async_wait(
    [this, timer, aExchange, aEvent](const boost::system::error_code&) {
      SendEvent(aExchange, aEvent + 1);
    });
}

} // namespace pumiceturn::gateway
