#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::adapter {

/// How a server's response ends.
enum class ResponseEnd : std::uint8_t
{
  Whole,
  Unmarked, ///< Whole, with neither a length nor chunks.
  Lost,     ///< Reset before its first byte.
  Reset,    ///< Reset within its body.
  Short,    ///< Fewer bytes than its length.
  Garbled,  ///< The bytes aren't a response.
  Silent,   ///< Nothing follows for a while within its body.
};

/// What a server does with one request.
struct ServerPlan
{
  unsigned status_ = 200; ///< 200: a stream of events.
  ResponseEnd end_ = ResponseEnd::Whole;
  std::chrono::milliseconds work_{ 0 }; ///< Before the response.
};

/// One process of a server that answers requests as it is told, also badly.
/// Must be used only on the thread that runs the io_context.
class FaultyServer
{
public:
  using Clock = std::chrono::steady_clock;
  /// @return the plan for a request with an id.
  using Planner = std::function<ServerPlan(std::string_view)>;

  /// A request that the server ran.
  struct Run
  {
    std::string requestId_;
    Clock::time_point arrivedAt_;
    unsigned answeredStatus_ = 0; ///< 0: no head of a response was sent.
  };

  /// @param aStart  Time of its start, as it reports.
  /// @param aPort   Bound by the caller, so that it stays the same.
  FaultyServer(boost::asio::io_context& aContext,
               std::string aId,
               int aStart,
               std::uint16_t aPort,
               Planner aPlanner);

  [[nodiscard]] std::uint16_t Port() const { return port_; }
  [[nodiscard]] const std::string& Id() const { return id_; }
  [[nodiscard]] int StartTime() const { return start_; }

  /// @return the JSON that the server registers with.
  [[nodiscard]] std::string Registration() const;

  /// Sets whether new connections are reset, as beyond a server's limit.
  void SetResetsNewConnections(bool aResets) { resetsNew_ = aResets; }

  /// Takes no new connections for a time; they wait in the kernel.
  void StopAccepting(std::chrono::milliseconds aTime);

  /// Ends the process: its connections break, and new ones are refused.
  void End();

  [[nodiscard]] std::optional<Clock::time_point> EndedAt() const
  {
    return endedAt_;
  }
  [[nodiscard]] const std::vector<Run>& Runs() const { return runs_; }
  [[nodiscard]] int ResetCount() const { return resets_; }

private:
  struct Connection
  {
    Connection(boost::asio::ip::tcp::socket aSocket)
      : socket_(std::move(aSocket))
      , timer_(socket_.get_executor())
    {
    }
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string input_;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  enum class After : std::uint8_t
  {
    ReadNext,
    Close,
    Reset,
  };

  void Accept();
  void ReadHead(const ConnectionPtr& aConnection);
  void ReadBody(const ConnectionPtr& aConnection, std::size_t aHeadBytes);
  void Handle(const ConnectionPtr& aConnection, std::string_view aHead);
  void Respond(const ConnectionPtr& aConnection,
               const std::string& aHead,
               const ServerPlan& aPlan,
               std::size_t aRun);
  void Send(const ConnectionPtr& aConnection, std::string aBytes, After aAfter);
  void CallAfter(const ConnectionPtr& aConnection,
                 std::chrono::milliseconds aTime,
                 std::function<void()> aFunction);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;
  std::string id_;
  int start_;
  std::uint16_t port_ = 0;
  Planner planner_;
  bool resetsNew_ = false;
  bool isAccepting_ = true;
  int resets_ = 0;
  std::optional<Clock::time_point> endedAt_;
  std::vector<Run> runs_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace pumiceturn::adapter
