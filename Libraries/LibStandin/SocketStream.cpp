#include "LibStandin/SocketStream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace pumiceturn::standin {

namespace {

constexpr int kTransferTimeoutMs = 5000;
constexpr const char* kLoopback = "127.0.0.1";
constexpr int kClosed = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;

} // namespace

bool
WaitReadable(int aSocket, int aTimeoutMs)
{
  pollfd entry{ aSocket, POLLIN, 0 };
  return ::poll(&entry, 1, aTimeoutMs) > 0;
}

bool
IsPeerOpen(int aSocket)
{
  pollfd entry{ aSocket, POLLRDHUP, 0 };
  return ::poll(&entry, 1, 0) >= 0 && (entry.revents & kClosed) == 0;
}

bool
SocketStream::is_readable() const
{
  return HasBuffered() || WaitReadable(socket_, kTransferTimeoutMs);
}

bool
SocketStream::is_writable() const
{
  pollfd entry{ socket_, POLLOUT | POLLRDHUP, 0 };
  if (::poll(&entry, 1, kTransferTimeoutMs) <= 0) {
    return false;
  }
  return (entry.revents & kClosed) == 0;
}

ssize_t
SocketStream::read(char* aData, std::size_t aSize)
{
  if (!HasBuffered()) {
    if (!WaitReadable(socket_, kTransferTimeoutMs)) {
      return -1;
    }
    const ssize_t received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (received <= 0) {
      return received;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(received);
  }
  const std::size_t size = std::min(aSize, end_ - begin_);
  std::memcpy(aData, buffer_.data() + begin_, size);
  begin_ += size;
  return static_cast<ssize_t>(size);
}

ssize_t
SocketStream::write(const char* aData, std::size_t aSize)
{
  if (!is_writable()) {
    return -1;
  }
  return ::send(socket_, aData, aSize, MSG_NOSIGNAL);
}

void
SocketStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp = kLoopback;
  aPort = 0;
}

void
SocketStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp = kLoopback;
  aPort = 0;
}

} // namespace pumiceturn::standin
