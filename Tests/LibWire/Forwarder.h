#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace pumiceturn::wire {

/// Stands between two processes and can lose track of the connections that are
/// open, as a firewall or address translator does: they stay open, and what is
/// sent in a direction that was stopped disappears. New connections work.
class Forwarder
{
public:
  enum class Direction : std::uint8_t
  {
    ToTarget = 1,
    FromTarget = 2,
    Both = 3,
  };

  /// @param aTarget IP:port on the loopback address.
  explicit Forwarder(const std::string& aTarget);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// @return the IP:port to connect to.
  [[nodiscard]] std::string Address() const;

  /// Loses what is sent in a direction over the connections open now, and that
  /// one end closes.
  void Lose(Direction aDirection);

private:
  struct Stream
  {
    int from_ = -1;
    int to_ = -1;
    Direction direction_ = Direction::ToTarget;
    bool lost_ = false;
    bool ended_ = false;
  };

  void Run();
  void Accept();
  void Forward(Stream& aStream);

  const std::uint16_t targetPort_;
  int listener_ = -1;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::list<Stream> streams_;
  std::thread thread_;
};

/// @return a socket connected to an IP:port on the loopback address.
int
ConnectSocket(const std::string& aAddress);

} // namespace pumiceturn::wire
