#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pumiceturn::adapter {

/// A server that answers each request with given bytes and then ends the
/// connection. Must be used only on the thread that runs the io_context.
class RawServer
{
public:
  enum class End : std::uint8_t
  {
    Orderly, ///< As at the end of an answer that has no length.
    Reset,
    Process, ///< The server's process ends with its first answer.
    /// As Process, but the listening socket closes a moment later, and only
    /// then the connections that it took meanwhile: the kernel closes the
    /// sockets of a process one after the other.
    ProcessSlowly,
    /// As Process, but this thread doesn't run meanwhile, and the server's next
    /// process answers when it goes on.
    RestartWhileSuspended,
    /// Ends the answer in order once the request's time limit has passed, and
    /// goes on. Answers without a time limit end at once.
    AtTimeLimit,
    /// The server's next process answers at once, with another id and start.
    Restart,
    Late, ///< Ends the answer in order a while after its bytes.
    /// As Late, and soon afterwards the process, which still answers for its
    /// health until then.
    Exit,
  };

  /// What a process answers that is asked for its health.
  enum class Health : std::uint8_t
  {
    Named,   ///< That it is healthy, with its id.
    Refused, ///< That it is full, without its id.
    Waiting, ///< Nothing, until it has a slot; its report needs none.
    Silent,  ///< Nothing, nor with a report.
  };

  RawServer(boost::asio::io_context& aContext,
            std::string aId,
            std::string aAnswer,
            End aEnd);

  [[nodiscard]] std::string Address() const;

  /// Sets how this process answers for its health, and the next one.
  void SetHealth(Health aThis, Health aNext)
  {
    health_ = aThis;
    nextHealth_ = aNext;
  }

  /// Sets whether the report has the time of the process's start.
  void SetReportsStart(bool aReports) { reportsStart_ = aReports; }

  /// Sets whether reports that are meant for another server are rejected.
  void SetRejectsMisdirectedReports(bool aRejects)
  {
    rejectsMisdirectedReports_ = aRejects;
  }

  /// Sets the answer to requests for a rest; without, they get the same one as
  /// all others.
  void SetRest(std::string aRest) { rest_ = std::move(aRest); }

  /// Sets whether each connection that is made after the first request is
  /// reset, as by a server that has as many as it takes.
  void SetResetsNewConnections(bool aResets)
  {
    resetsNewConnections_ = aResets;
  }

  /// Sets the answer to all requests but a number of the first ones.
  /// @param aAnswer Empty: they get none.
  void SetLaterAnswer(std::size_t aFirstOnes, std::string aAnswer)
  {
    firstOnes_ = aFirstOnes;
    laterAnswer_ = std::move(aAnswer);
  }

  /// Sets bytes that are sent right before the end of an answer.
  void SetLastBytes(std::string aBytes) { lastBytes_ = std::move(aBytes); }

  /// @return the heads of all requests but those for its health and report.
  [[nodiscard]] const std::vector<std::string>& Requests() const
  {
    return requests_;
  }

private:
  struct Connection
  {
    boost::asio::ip::tcp::socket socket_;
    std::string input_{};
    std::optional<boost::asio::steady_timer> endTimer_{};
  };

  void Accept();
  void Read(const std::shared_ptr<Connection>& aConnection);
  void Answer(const std::shared_ptr<Connection>& aConnection);
  void EndAnswer(const std::shared_ptr<Connection>& aConnection);
  /// Answers a request for the server's health or report.
  void AnswerProbe(const std::shared_ptr<Connection>& aConnection,
                   std::string_view aAnswer);
  [[nodiscard]] std::string HealthAnswer() const;
  [[nodiscard]] std::string ReportAnswer() const;
  void EndProcess();
  /// Calls EndAnswer() at a time.
  void EndAnswerAt(const std::shared_ptr<Connection>& aConnection,
                   std::chrono::steady_clock::time_point aTime);
  void CloseAfter(std::chrono::milliseconds aTime);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer closeTimer_;
  int process_ = 1;       ///< Start time that it reports, one digit.
  bool isEnding_ = false; ///< Connections are no longer served.
  Health health_ = Health::Named;
  Health nextHealth_ = Health::Named;
  bool reportsStart_ = true;
  bool rejectsMisdirectedReports_ = true;
  bool resetsNewConnections_ = false;
  std::string id_;
  std::string answer_;
  std::optional<std::string> rest_;
  std::optional<std::size_t> firstOnes_; ///< Empty: there is no later answer.
  std::string laterAnswer_;
  std::string lastBytes_;
  End end_;
  std::vector<std::string> requests_;
  std::vector<std::shared_ptr<Connection>> unanswered_; ///< Stay open.
};

} // namespace pumiceturn::adapter
