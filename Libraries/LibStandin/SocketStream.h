#pragma once

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace pumiceturn::standin {

/// Waits until a socket has something to read, its end of stream included.
/// @return false on a timeout or an error.
bool
WaitReadable(int aSocket, int aTimeoutMs);

/// @return whether the peer has not closed. Does not wait.
bool
IsPeerOpen(int aSocket);

/// Buffered reads and direct writes of one accepted connection. One thread uses
/// it.
class SocketStream : public httplib::Stream
{
public:
  explicit SocketStream(int aSocket)
    : socket_(aSocket)
  {
  }

  /// @return whether bytes of a next request were read already.
  [[nodiscard]] bool HasBuffered() const { return begin_ < end_; }

  [[nodiscard]] bool is_readable() const override;

  /// @return false also when the peer has closed: nobody reads the answer then.
  [[nodiscard]] bool is_writable() const override;
  ssize_t read(char* aData, std::size_t aSize) override;
  ssize_t write(const char* aData, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  [[nodiscard]] socket_t socket() const override { return socket_; }

private:
  static constexpr std::size_t kBufferBytes = 4096;

  int socket_;
  std::array<char, kBufferBytes> buffer_{};
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

} // namespace pumiceturn::standin
