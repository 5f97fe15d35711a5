#pragma once

#include "LibHttpStream/Listener.h"
#include "Tests/LibHttpStream/HttpFixture.h"

#include <boost/asio/write.hpp>

#include <array>
#include <vector>

namespace pumiceturn::httpstream {

/// A listener, a connected caller, and the exchanges of its requests.
class ListenerFixture : protected HttpFixture
{
protected:
  ListenerFixture()
    : listener_(context_,
                [this](const std::shared_ptr<Exchange>& aExchange) {
                  exchanges_.push_back(aExchange);
                })
    , caller_(context_)
  {
    REQUIRE_FALSE(listener_.Open(Loopback(0)));
    caller_.connect(Loopback(listener_.Port()));
  }

  void Send(const std::string& aBytes)
  {
    boost::asio::write(caller_, boost::asio::buffer(aBytes));
  }

  /// Reads until the received bytes contain aExpected or the connection closes.
  void ReadUntil(const std::string& aExpected)
  {
    bool isClosed = false;
    ReadAll(isClosed);
    RunUntil([&] {
      return received_.find(aExpected) != std::string::npos || isClosed;
    });
    CHECK(received_.find(aExpected) != std::string::npos);
  }

  void ReadUntilClosed()
  {
    bool isClosed = false;
    ReadAll(isClosed);
    RunUntil([&isClosed] { return isClosed; });
  }

  void ReadAll(bool& aIsClosed)
  {
    caller_.async_read_some(
      boost::asio::buffer(buffer_),
      [this, &aIsClosed](const boost::system::error_code& aError,
                         std::size_t aBytes) {
        received_.append(buffer_.data(), aBytes);
        if (aError) {
          aIsClosed = true;
          return;
        }
        ReadAll(aIsClosed);
      });
  }

  Listener listener_;
  boost::asio::ip::tcp::socket caller_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
  std::array<char, 4096> buffer_{};
  std::string received_;
};

} // namespace pumiceturn::httpstream
