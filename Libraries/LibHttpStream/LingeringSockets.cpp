#include "LibHttpStream/LingeringSockets.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace pumiceturn::httpstream {

namespace asio = boost::asio;

namespace {

/// Maximum number of reads from a socket before other handlers have their turn.
constexpr int kMaxReads = 4;

} // namespace

LingeringSockets::~LingeringSockets()
{
  // Unread input would reset the connections.
  for (const auto& entry : entries_) {
    (void)DropInput(*entry);
  }
}

void
LingeringSockets::Add(asio::ip::tcp::socket aSocket, base::Instant aNow)
{
  boost::system::error_code error;
  aSocket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error) {
    return;
  }
  aSocket.non_blocking(true, error);
  if (entries_.size() >= kMaxSockets) {
    entries_.pop_front();
  }
  entries_.push_back(
    std::make_shared<Entry>(Entry{ std::move(aSocket), aNow + kMaxTime }));
  Wait(entries_.back());
}

void
LingeringSockets::CloseExpired(base::Instant aNow)
{
  while (!entries_.empty() && entries_.front()->closeAt_ <= aNow) {
    entries_.pop_front();
  }
}

void
LingeringSockets::Wait(const std::shared_ptr<Entry>& aEntry)
{
  aEntry->socket_.async_wait(asio::ip::tcp::socket::wait_read,
                             [this, weak = std::weak_ptr<Entry>(aEntry)](
                               const boost::system::error_code& aError) {
                               const auto entry = weak.lock();
                               if (!entry) {
                                 return;
                               }
                               if (aError || !DropInput(*entry)) {
                                 entries_.remove(entry);
                                 return;
                               }
                               Wait(entry);
                             });
}

bool
LingeringSockets::DropInput(Entry& aEntry)
{
  boost::system::error_code error;
  for (int i = 0; i < kMaxReads && !error; ++i) {
    aEntry.droppedBytes_ +=
      aEntry.socket_.read_some(asio::buffer(dropped_), error);
  }
  return (!error || error == asio::error::would_block) &&
         aEntry.droppedBytes_ < kMaxDroppedBytes;
}

} // namespace pumiceturn::httpstream
