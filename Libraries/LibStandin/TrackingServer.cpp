#include "LibStandin/TrackingServer.h"

#include "LibStandin/GrowingThreadPool.h"
#include "LibStandin/SocketStream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pumiceturn::standin {

namespace {

constexpr int kKeepAliveMs = 10000;

/// The library's own backlog of 5 makes a burst of connections wait a second
/// for the kernel's next try.
constexpr int kBacklog = 1024;

thread_local int currentSocket = -1;

} // namespace

TrackingServer::TrackingServer(std::size_t aMaxConnections)
{
  new_task_queue = [aMaxConnections]() -> httplib::TaskQueue* {
    return new GrowingThreadPool(aMaxConnections);
  };
}

int
TrackingServer::Bind(const std::string& aHost, int aPort)
{
  int listener = -1;
  set_socket_options([&listener](socket_t aSocket) {
    const int on = 1;
    // Without SO_REUSEPORT, which the library sets by default: a second
    // stand-in on the same port must fail instead of sharing its traffic.
    ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listener = aSocket;
  });
  const int port = aPort == 0                   ? bind_to_any_port(aHost)
                   : bind_to_port(aHost, aPort) ? aPort
                                                : 0;
  if (port <= 0 || ::listen(listener, kBacklog) != 0) {
    return 0;
  }
  return port;
}

void
TrackingServer::DropConnections()
{
  const std::scoped_lock lock(mutex_);
  dropping_ = true;
  for (const socket_t socket : open_) {
    ::shutdown(socket, SHUT_RDWR);
  }
}

void
TrackingServer::DropCurrentConnection()
{
  if (currentSocket >= 0) {
    ::shutdown(currentSocket, SHUT_RDWR);
  }
}

bool
TrackingServer::IsCurrentConnectionOpen()
{
  return currentSocket >= 0 && IsPeerOpen(currentSocket);
}

bool
TrackingServer::process_and_close_socket(socket_t aSocket)
{
  {
    const std::scoped_lock lock(mutex_);
    open_.insert(aSocket);
    if (dropping_) {
      ::shutdown(aSocket, SHUT_RDWR);
    }
  }
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  currentSocket = aSocket;
  SocketStream stream(aSocket);
  bool ok = true;
  bool closed = false;
  while (ok && !closed &&
         (stream.HasBuffered() || WaitReadable(aSocket, kKeepAliveMs))) {
    ok = process_request(stream, false, closed, nullptr);
  }
  currentSocket = -1;
  {
    const std::scoped_lock lock(mutex_);
    open_.erase(aSocket);
  }
  ::close(aSocket);
  return ok;
}

} // namespace pumiceturn::standin
