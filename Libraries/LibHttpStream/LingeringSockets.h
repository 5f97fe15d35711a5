#pragma once

#include "LibBase/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <list>
#include <memory>

namespace pumiceturn::httpstream {

/// Sockets of closed connections whose callers may not have read the last
/// response yet.
///
/// Closing a socket that has unread input, or gets more, makes the kernel reset
/// the connection, which destroys the part of the response that is still on its
/// way. So only sending is ended, and input is dropped until the caller closes.
class LingeringSockets
{
public:
  /// How long a caller may take to close its connection.
  static constexpr base::Duration kMaxTime{ std::chrono::seconds{ 2 } };

  /// Input that is dropped from one connection.
  static constexpr std::size_t kMaxDroppedBytes = 16777216;

  /// Beyond these, the oldest socket is closed.
  static constexpr std::size_t kMaxSockets = 256;

  LingeringSockets() = default;
  ~LingeringSockets();
  LingeringSockets(const LingeringSockets&) = delete;
  LingeringSockets& operator=(const LingeringSockets&) = delete;

  /// Ends sending and takes care of the socket from then on.
  void Add(boost::asio::ip::tcp::socket aSocket, base::Instant aNow);

  /// Closes the sockets whose callers have taken too long. Called periodically.
  void CloseExpired(base::Instant aNow);

  [[nodiscard]] std::size_t Count() const { return entries_.size(); }

private:
  struct Entry
  {
    boost::asio::ip::tcp::socket socket_;
    base::Instant closeAt_;
    std::size_t droppedBytes_ = 0;
  };

  void Wait(const std::shared_ptr<Entry>& aEntry);

  /// @return whether the caller may send more.
  [[nodiscard]] bool DropInput(Entry& aEntry);

  std::list<std::shared_ptr<Entry>> entries_; ///< The oldest is first.
  std::array<char, 16384> dropped_{};
};

} // namespace pumiceturn::httpstream
