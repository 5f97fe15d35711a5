#include "Forwarder.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <vector>

namespace pumiceturn::wire {

namespace {

constexpr int kPollMs = 5;

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::uint16_t
PortOf(const std::string& aAddress)
{
  return static_cast<std::uint16_t>(
    std::stoi(aAddress.substr(aAddress.rfind(':') + 1)));
}

int
ConnectPort(std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(aPort);
  if (connect(socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

} // namespace

int
ConnectSocket(const std::string& aAddress)
{
  return ConnectPort(PortOf(aAddress));
}

Forwarder::Forwarder(const std::string& aTarget)
  : targetPort_(PortOf(aTarget))
  , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const sockaddr_in address = LoopbackAddress(0);
  [[maybe_unused]] const int bound = bind(
    listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  assert(bound == 0);
  listen(listener_, SOMAXCONN);
  thread_ = std::thread([this] { Run(); });
}

Forwarder::~Forwarder()
{
  stopping_ = true;
  thread_.join();
  close(listener_);
  for (const Stream& stream : streams_) {
    if (stream.direction_ == Direction::ToTarget) {
      close(stream.from_);
      close(stream.to_);
    }
  }
}

std::string
Forwarder::Address() const
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void
Forwarder::Lose(Direction aDirection)
{
  const std::lock_guard lock(mutex_);
  for (Stream& stream : streams_) {
    const auto lost = static_cast<unsigned int>(aDirection);
    if ((lost & static_cast<unsigned int>(stream.direction_)) != 0) {
      stream.lost_ = true;
    }
  }
}

void
Forwarder::Run()
{
  while (!stopping_) {
    std::vector<pollfd> polled{ { listener_, POLLIN, 0 } };
    std::vector<Stream*> streams{ nullptr };
    {
      const std::lock_guard lock(mutex_);
      for (Stream& stream : streams_) {
        if (!stream.ended_) {
          polled.push_back({ stream.from_, POLLIN, 0 });
          streams.push_back(&stream);
        }
      }
    }
    poll(polled.data(), polled.size(), kPollMs);
    for (std::size_t i = 1; i < polled.size(); ++i) {
      if (polled[i].revents != 0) {
        Forward(*streams[i]);
      }
    }
    if (polled[0].revents != 0) {
      Accept();
    }
  }
}

void
Forwarder::Accept()
{
  const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  const int target = ConnectPort(targetPort_);
  if (target < 0) {
    close(client);
    return;
  }
  const std::lock_guard lock(mutex_);
  streams_.push_back({ client, target, Direction::ToTarget });
  streams_.push_back({ target, client, Direction::FromTarget });
}

void
Forwarder::Forward(Stream& aStream)
{
  constexpr std::size_t kBufferBytes = 64U << 10U;
  std::array<char, kBufferBytes> buffer{};
  const ssize_t got = recv(aStream.from_, buffer.data(), buffer.size(), 0);
  const std::lock_guard lock(mutex_);
  aStream.ended_ = got <= 0;
  if (aStream.lost_) {
    return;
  }
  if (aStream.ended_) {
    shutdown(aStream.to_, SHUT_WR);
    return;
  }
  std::size_t sent = 0;
  while (sent < static_cast<std::size_t>(got)) {
    const ssize_t count = send(aStream.to_,
                               buffer.data() + sent,
                               static_cast<std::size_t>(got) - sent,
                               MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

} // namespace pumiceturn::wire
