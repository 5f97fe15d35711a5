#include "LibBase/Numbers.h"
#include "LibGateway/EndpointAddress.h"
#include "LibHttpStream/Message.h"
#include "Tests/OrderServer/EventSequence.h"
#include "platform/Names.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <exception>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

// A model server for the soak of ORDER: a process of its own, so that the
// kernel ends its connections when it is killed. Draws from a seed how each
// response is framed, cut into writes and paused.

namespace pumiceturn::adapter {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view kHealthPath = "/health";

/// One response in this many is followed by a copy of it.
constexpr int kExtraOneIn = 40;
constexpr int kCommentOneIn = 10;
constexpr int kCutOneIn = 3;
constexpr int kLongPauseOneIn = 60;
constexpr int kSilentOneIn =
  3; ///< Of those that don't answer for their health.

constexpr int kKeepAliveOneIn = 2;
constexpr int kWeightChangeOneIn = 30; ///< Of events.

/// Bounds of the time that a first event or a preempted run takes.
constexpr int kMinWaitMs = 100;
constexpr int kMaxFirstWaitMs = 1000;
constexpr int kMaxPreemptionMs = 4000;

/// Upper bound of the time from the end of the streams of a server that stops
/// to the end of its process.
constexpr int kMaxExitMs = 200;

/// How often a waiting request is checked for its caller and its deadline.
constexpr milliseconds kQueueInterval{ 20 };

struct ServerOptions
{
  tcp::endpoint address_;
  std::string id_;
  std::string software_; ///< Service and version.
  unsigned seed_ = 0;
  int slots_ = 0;
  int places_ = 0; ///< In the queue for slots.
  std::int64_t startedAtMs_ = 0;
  /// One response in this many is broken off or spoiled, and as many are sent
  /// once more before the next response of their connection; 0: none.
  int faultOneIn_ = 0;
  bool namesStart_ = true; ///< In its report.
  /// Time from its start for which it refuses to answer for its health, or
  /// says nothing.
  milliseconds earlyHealthTime_{ 0 };
  /// Responses to requests without an id are sent once more, too.
  bool repeatsUnnamed_ = false;
  int idleSeconds_ = 0;    ///< After which connections are closed; 0: never.
  int maxConnections_ = 0; ///< Others are reset; 0: no limit.
  /// One response in this many is the last of its connection although its
  /// framing marks its end; 0: none.
  int closeOneIn_ = 0;
  int errorOneIn_ = 0; ///< One request in this many gets 500; 0: none.
  /// One event in this many comes after a long pause, as the run is read again
  /// from the start, and one first event in as many comes late; 0: none.
  int pauseOneIn_ = 0;
  /// One response in this many of those that end only with their connection is
  /// truncated between two events; 0: none.
  int truncateOneIn_ = 0;
  /// Path of requests that aren't truncated, as nobody may ask for their rest.
  std::string wholeBelow_;
};

ServerOptions
ParseOptions(int aCount, char** aArguments)
{
  cxxopts::Options options("order-server", "A model server for soaks.");
  auto add = options.add_options();
  add("address", "IP:PORT", cxxopts::value<std::string>());
  add("id", "Id", cxxopts::value<std::string>());
  add("software", "Service and version", cxxopts::value<std::string>());
  add("seed", "Of its draws", cxxopts::value<unsigned>());
  add("slots", "Requests at once", cxxopts::value<int>());
  add("queue", "Requests that wait", cxxopts::value<int>());
  add("start", "Unix ms", cxxopts::value<std::int64_t>());
  add("fault-one-in", "Responses", cxxopts::value<int>());
  add("names-start",
      "Whether its report names its start",
      cxxopts::value<bool>());
  add("early-health-ms",
      "Time for which it doesn't say that it is healthy",
      cxxopts::value<int>());
  add("repeats-unnamed",
      "Whether responses without a request's id are repeated",
      cxxopts::value<bool>());
  add("idle-s", "Seconds", cxxopts::value<int>());
  add("max-connections", "Of all callers", cxxopts::value<int>());
  add("close-one-in", "Responses", cxxopts::value<int>());
  add("error-one-in", "Requests", cxxopts::value<int>());
  add("pause-one-in", "Events", cxxopts::value<int>());
  add("truncate-one-in", "Responses", cxxopts::value<int>());
  add("whole-below", "Path", cxxopts::value<std::string>());
  const auto parsed = options.parse(aCount, aArguments);
  const auto address =
    gateway::ParseAddress(parsed["address"].as<std::string>());
  if (!address) {
    throw std::invalid_argument("the address isn't IP:PORT");
  }
  return { *address,
           parsed["id"].as<std::string>(),
           parsed["software"].as<std::string>(),
           parsed["seed"].as<unsigned>(),
           parsed["slots"].as<int>(),
           parsed["queue"].as<int>(),
           parsed["start"].as<std::int64_t>(),
           parsed["fault-one-in"].as<int>(),
           parsed["names-start"].as<bool>(),
           milliseconds(parsed["early-health-ms"].as<int>()),
           parsed["repeats-unnamed"].as<bool>(),
           parsed["idle-s"].as<int>(),
           parsed["max-connections"].as<int>(),
           parsed["close-one-in"].as<int>(),
           parsed["error-one-in"].as<int>(),
           parsed["pause-one-in"].as<int>(),
           parsed["truncate-one-in"].as<int>(),
           parsed["whole-below"].as<std::string>() };
}

/// The slots of a server and the requests that wait for one, which are admitted
/// in order of arrival.
class SlotQueue
{
public:
  struct Load
  {
    int running_ = 0;
    std::size_t waiting_ = 0;
  };

  SlotQueue(int aSlots, int aPlaces)
    : slots_(aSlots)
    , places_(static_cast<std::size_t>(aPlaces))
  {
  }

  /// Takes a slot, which may take a while.
  /// @param aIsWanted Whether the request still waits.
  /// @return false if there is no place, or the request no longer waits.
  template<typename Predicate>
  [[nodiscard]] bool Enter(Predicate&& aIsWanted)
  {
    std::unique_lock lock(mutex_);
    if (running_ < slots_ && waiting_.empty()) {
      ++running_;
      return true;
    }
    if (waiting_.size() >= places_) {
      return false;
    }
    const std::uint64_t ticket = ++lastTicket_;
    waiting_.push_back(ticket);
    const auto isNext = [this, ticket] {
      return running_ < slots_ && waiting_.front() == ticket;
    };
    while (!condition_.wait_for(lock, kQueueInterval, isNext)) {
      if (!aIsWanted()) {
        std::erase(waiting_, ticket);
        condition_.notify_all();
        return false;
      }
    }
    waiting_.pop_front();
    ++running_;
    condition_.notify_all();
    return true;
  }

  void Leave()
  {
    const std::lock_guard lock(mutex_);
    --running_;
    condition_.notify_all();
  }

  [[nodiscard]] Load CurrentLoad() const
  {
    const std::lock_guard lock(mutex_);
    return { running_, waiting_.size() };
  }

private:
  int slots_;
  std::size_t places_;
  mutable std::mutex mutex_;
  std::condition_variable condition_;
  int running_ = 0;
  std::deque<std::uint64_t> waiting_;
  std::uint64_t lastTicket_ = 0;
};

/// @return whether the caller has closed its connection.
bool
IsClosed(tcp::socket& aSocket)
{
  char next = 0;
  const auto bytes =
    ::recv(aSocket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

enum class Framing : std::uint8_t
{
  Length,
  Chunked,
  ConnectionEnd,
};

/// How a response goes wrong.
enum class Fault : std::uint8_t
{
  None,
  Close,   ///< It ends early, inside an event where nothing else shows that.
  Reset,   ///< Its connection is reset midway.
  Spoiled, ///< Bytes that are no response, or no chunk, follow midway.
};

/// Sent where a head or a chunk is due.
constexpr std::string_view kNoResponse = "\x01\x02zz no response\r\n\r\n";

class OrderServer
{
public:
  OrderServer(asio::io_context& aContext, ServerOptions aOptions)
    : options_(std::move(aOptions))
    , acceptor_(aContext, options_.address_)
    , random_(options_.seed_)
    , queue_(options_.slots_, options_.places_)
  {
  }

  [[noreturn]] void Accept()
  {
    while (true) {
      tcp::socket accepted = acceptor_.accept();
      if (options_.maxConnections_ > 0 &&
          connections_ >= options_.maxConnections_) {
        accepted.set_option(asio::socket_base::linger(true, 0));
        continue;
      }
      ++connections_;
      std::thread([this, socket = std::move(accepted)]() mutable {
        Serve(std::move(socket));
        --connections_;
      }).detach();
    }
  }

  /// From now on says that it isn't healthy, and closes its connections.
  void Leave() { isLeaving_ = true; }

  /// Ends all responses in order after an event, and then the process.
  [[noreturn]] void Stop()
  {
    isStopping_ = true;
    Pause(Draw(0, kMaxExitMs));
    ::_exit(0);
  }

private:
  int Draw(int aMin, int aMax)
  {
    const std::lock_guard lock(mutex_);
    return std::uniform_int_distribution<int>(aMin, aMax)(random_);
  }
  bool DrawOneIn(int aCount) { return Draw(1, aCount) == 1; }

  static void Pause(int aMs) { std::this_thread::sleep_for(milliseconds(aMs)); }

  void Serve(tcp::socket aSocket)
  {
    std::string input;
    std::string late;
    try {
      bool isKept = true;
      while (isKept) {
        if (input.empty() && !WaitForRequest(aSocket)) {
          return;
        }
        const httpstream::Request request = ReadRequest(aSocket, input);
        if (!late.empty()) {
          Write(aSocket, std::exchange(late, {}));
        }
        isKept = Answer(aSocket, request, late);
      }
    } catch (const boost::system::system_error&) {
      // The caller has closed the connection.
    }
  }

  /// @return false if nothing came for as long as connections may be idle.
  [[nodiscard]] bool WaitForRequest(tcp::socket& aSocket) const
  {
    constexpr int kMsPerSecond = 1000;
    const int timeoutMs =
      options_.idleSeconds_ > 0 ? options_.idleSeconds_ * kMsPerSecond : -1;
    pollfd socket{ aSocket.native_handle(), POLLIN, 0 };
    return ::poll(&socket, 1, timeoutMs) != 0;
  }

  httpstream::Request ReadRequest(tcp::socket& aSocket, std::string& aInput)
  {
    constexpr std::size_t kBlockBytes = 8192;
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    while (true) {
      boost::system::error_code error;
      aInput.erase(0, parser.put(asio::buffer(aInput), error));
      if (error && error != http::error::need_more) {
        throw boost::system::system_error(error);
      }
      if (parser.is_done()) {
        break;
      }
      std::array<char, kBlockBytes> block{};
      const std::size_t bytes = aSocket.read_some(asio::buffer(block));
      aInput.append(block.data(), bytes);
    }
    return parser.release();
  }

  /// @return the head of a response. Only one to a question for its health
  ///         names the server.
  std::string Head(const httpstream::Request& aRequest,
                   std::string_view aStatus)
  {
    std::string head =
      fmt::format("HTTP/1.1 {}\r\nServer-Seal: {}\r\n", aStatus, options_.id_);
    if (const auto id = httpstream::ValueOf(aRequest, kRequestIdField);
        !id.empty()) {
      head += fmt::format("{}: {}\r\n", kRequestIdField, id);
    }
    if (options_.idleSeconds_ > 0 && DrawOneIn(kKeepAliveOneIn)) {
      head += fmt::format("Keep-Alive: timeout={}\r\n", options_.idleSeconds_);
    }
    if (options_.places_ > 0) {
      const SlotQueue::Load load = queue_.CurrentLoad();
      head += fmt::format("{}: {},{},{}\r\n",
                          kLoadField,
                          load.running_,
                          load.waiting_,
                          options_.slots_);
    }
    return head;
  }

  /// @return whether a response is the last one of its connection.
  bool DrawLast()
  {
    return isLeaving_ ||
           (options_.closeOneIn_ > 0 && DrawOneIn(options_.closeOneIn_));
  }

  /// Sends a response that isn't a stream.
  /// @param aFields Complete lines.
  /// @return whether the connection is kept.
  bool Respond(tcp::socket& aSocket,
               const httpstream::Request& aRequest,
               std::string_view aStatus,
               std::string_view aFields,
               std::string_view aBody,
               std::string& aLate)
  {
    const bool isLast = DrawLast();
    std::string response = fmt::format("{}{}{}Content-Length: {}\r\n\r\n{}",
                                       Head(aRequest, aStatus),
                                       aFields,
                                       isLast ? "Connection: close\r\n" : "",
                                       aBody.size(),
                                       aBody);
    Write(aSocket, response);
    const bool hasId = !httpstream::ValueOf(aRequest, kRequestIdField).empty();
    if ((hasId || options_.repeatsUnnamed_) && HasFault()) {
      aLate = std::move(response);
    }
    return !isLast;
  }

  void Write(tcp::socket& aSocket, std::string aBytes)
  {
    if (aBytes.size() > 1 && DrawOneIn(kCutOneIn)) {
      const auto cut =
        static_cast<std::size_t>(Draw(1, static_cast<int>(aBytes.size()) - 1));
      asio::write(aSocket, asio::buffer(aBytes.data(), cut));
      Pause(Draw(0, 20));
      aBytes.erase(0, cut);
    }
    asio::write(aSocket, asio::buffer(aBytes));
  }

  /// @param aLate Set to what is to be sent before the next response.
  /// @return whether the connection is kept.
  bool Answer(tcp::socket& aSocket,
              const httpstream::Request& aRequest,
              std::string& aLate)
  {
    const std::string notRun = fmt::format("{}: 1\r\n", kNotRunField);
    const auto target = httpstream::ValueOf(aRequest, kTargetInstanceField);
    if (!target.empty() && target != options_.id_) {
      const std::string fields =
        fmt::format("{}{}: {}\r\n", notRun, kInstanceIdField, options_.id_);
      return Respond(aSocket, aRequest, "421 Misdirected", fields, {}, aLate);
    }
    if (httpstream::TargetOf(aRequest) == kReportPath) {
      return Report(aSocket, aRequest, aLate);
    }
    const bool isHealth = httpstream::TargetOf(aRequest) == kHealthPath;
    if (isHealth && IsEarly() && DrawOneIn(kSilentOneIn)) {
      Pause(static_cast<int>(options_.earlyHealthTime_.count()));
    }
    const auto limit = Clock::now() + LimitOf(aRequest);
    if ((isHealth && IsEarly()) || !EnterQueue(aSocket, limit)) {
      return Respond(aSocket, aRequest, "503 Unavailable", notRun, {}, aLate);
    }
    try {
      const bool isKept = isHealth ? AnswerHealth(aSocket, aRequest, aLate)
                                   : Run(aSocket, aRequest, limit, aLate);
      queue_.Leave();
      return isKept;
    } catch (const boost::system::system_error&) {
      queue_.Leave();
      throw;
    }
  }

  bool AnswerHealth(tcp::socket& aSocket,
                    const httpstream::Request& aRequest,
                    std::string& aLate)
  {
    return Respond(aSocket,
                   aRequest,
                   isLeaving_ ? "503 Unavailable" : "200 OK",
                   fmt::format("{}: {}\r\n", kInstanceIdField, options_.id_),
                   {},
                   aLate);
  }

  bool Report(tcp::socket& aSocket,
              const httpstream::Request& aRequest,
              std::string& aLate)
  {
    const std::string report =
      options_.namesStart_
        ? fmt::format("{{\"born\":{}}}", options_.startedAtMs_)
        : "{}";
    return Respond(aSocket, aRequest, "200 OK", {}, report, aLate);
  }

  /// Runs a request that has a slot.
  bool Run(tcp::socket& aSocket,
           const httpstream::Request& aRequest,
           Clock::time_point aLimit,
           std::string& aLate)
  {
    if (options_.errorOneIn_ > 0 && DrawOneIn(options_.errorOneIn_)) {
      return Respond(aSocket, aRequest, "500 Failed", {}, "failed", aLate);
    }
    const int waitMs =
      DrawPause() ? Draw(kMinWaitMs, kMaxFirstWaitMs) : Draw(2, 40);
    if (!PauseWithin(aLimit, waitMs)) {
      return Respond(aSocket, aRequest, "504 Too late", {}, {}, aLate);
    }
    return Stream(aSocket, aRequest, aLimit, aLate);
  }

  /// @return whether a run makes a long pause.
  bool DrawPause()
  {
    return options_.pauseOneIn_ > 0 && DrawOneIn(options_.pauseOneIn_);
  }

  [[nodiscard]] bool IsEarly() const
  {
    return Clock::now() - startedAt_ < options_.earlyHealthTime_;
  }

  /// @return how long the server may work on a request.
  static milliseconds LimitOf(const httpstream::Request& aRequest)
  {
    constexpr int kNoLimitMs = 3600 * 1000;
    return milliseconds(
      base::ParseNumber<int>(httpstream::ValueOf(aRequest, kDeadlineField))
        .value_or(kNoLimitMs));
  }

  /// Pauses until a limit at the latest.
  /// @return whether the limit hasn't passed.
  static bool PauseWithin(Clock::time_point aLimit, int aMs)
  {
    std::this_thread::sleep_until(
      std::min(aLimit, Clock::now() + milliseconds(aMs)));
    return Clock::now() < aLimit;
  }

  /// @return whether the request has a slot.
  bool EnterQueue(tcp::socket& aSocket, Clock::time_point aLimit)
  {
    return queue_.Enter([&aSocket, aLimit] {
      return Clock::now() < aLimit && !IsClosed(aSocket);
    });
  }

  bool HasFault()
  {
    return options_.faultOneIn_ > 0 && DrawOneIn(options_.faultOneIn_);
  }

  /// Sends the last bytes of a response that goes wrong.
  void BreakOff(tcp::socket& aSocket, Fault aFault, std::string_view aNextBytes)
  {
    if (aFault == Fault::Spoiled) {
      Write(aSocket, std::string(kNoResponse));
      return;
    }
    // Inside the event, also where a comment comes before it.
    const auto bytes = static_cast<int>(aNextBytes.size());
    const int least = aNextBytes.starts_with(':') ? bytes / 2 : 1;
    const auto part = static_cast<std::size_t>(Draw(least, bytes - 1));
    Write(aSocket, std::string(aNextBytes.substr(0, part)));
    if (aFault == Fault::Reset) {
      aSocket.set_option(asio::socket_base::linger(true, 0));
    }
    aSocket.close();
  }

  /// @param aLimit When the server stops.
  bool Stream(tcp::socket& aSocket,
              const httpstream::Request& aRequest,
              Clock::time_point aLimit,
              std::string& aLate)
  {
    const EventSequence sequence =
      ParseEventSequence(httpstream::TargetOf(aRequest));
    const auto after = base::ParseNumber<std::uint64_t>(
                         httpstream::ValueOf(aRequest, kLastEventField))
                         .value_or(0);
    const EventRun run{
      options_.software_,
      fmt::format("{}.{}.{}", options_.id_, options_.startedAtMs_, ++runs_),
      after
    };
    std::vector<std::string> events;
    std::size_t bytes = 0;
    for (std::uint64_t number = after + 1; number <= sequence.count_;
         ++number) {
      std::string text = DrawOneIn(kCommentOneIn) ? ": comment\n\n" : "";
      if (DrawOneIn(kWeightChangeOneIn)) {
        text += fmt::format("weight-versions: {}\n", number);
      }
      text += TextOf(sequence, number, run);
      bytes += text.size();
      events.push_back(std::move(text));
    }
    const auto framing = static_cast<Framing>(Draw(0, 2));
    if (framing == Framing::ConnectionEnd && IsTruncated(aRequest, events)) {
      events.resize(
        static_cast<std::size_t>(Draw(1, static_cast<int>(events.size()) - 1)));
    }
    const bool isLast = framing == Framing::ConnectionEnd || DrawLast();
    std::string head = Head(aRequest, "200 OK") +
                       "Content-Type: text/event-stream\r\n"
                       "Weight-Versions: 1\r\n";
    if (framing == Framing::Length) {
      head += fmt::format("Content-Length: {}\r\n", bytes);
    } else if (framing == Framing::Chunked) {
      head += "Transfer-Encoding: chunked\r\n";
    }
    if (isLast) {
      head += "Connection: close\r\n";
    }
    std::string sent = head + "\r\n";
    Write(aSocket, sent);
    if (!SendEvents(aSocket, events, framing, aLimit, sent) || isLast) {
      return false;
    }
    if (HasFault()) {
      aLate = std::move(sent);
      return true;
    }
    if (DrawOneIn(kExtraOneIn)) {
      Pause(Draw(0, 10));
      Write(aSocket, sent);
    }
    return true;
  }

  /// @return whether a response whose end isn't marked lacks its last events.
  bool IsTruncated(const httpstream::Request& aRequest,
                   const std::vector<std::string>& aEvents)
  {
    return options_.truncateOneIn_ > 0 && aEvents.size() > 1 &&
           !httpstream::TargetOf(aRequest).starts_with(options_.wholeBelow_) &&
           DrawOneIn(options_.truncateOneIn_);
  }

  /// @return how a response of that framing goes wrong.
  Fault DrawFault(Framing aFraming)
  {
    if (!HasFault()) {
      return Fault::None;
    }
    // Other framings don't show which bytes are wrong.
    const bool maySpoil = aFraming == Framing::Chunked;
    return static_cast<Fault>(Draw(1, maySpoil ? 3 : 2));
  }

  /// Ends a response that isn't whole, in order.
  void StopAtLimit(tcp::socket& aSocket, Framing aFraming)
  {
    if (aFraming == Framing::Chunked && DrawOneIn(2)) {
      asio::write(aSocket, asio::buffer(httpstream::kLastChunk));
    }
    aSocket.close();
  }

  /// @return events in one chunk or two, which may end inside an event.
  std::string MakeChunks(std::string_view aText)
  {
    const auto cut =
      static_cast<std::size_t>(Draw(1, static_cast<int>(aText.size()) - 1));
    return DrawOneIn(kCutOneIn) ? httpstream::MakeChunk(aText.substr(0, cut)) +
                                    httpstream::MakeChunk(aText.substr(cut))
                                : httpstream::MakeChunk(aText);
  }

  /// @return whether the response was sent whole.
  bool SendEvents(tcp::socket& aSocket,
                  std::span<const std::string> aEvents,
                  Framing aFraming,
                  Clock::time_point aLimit,
                  std::string& aSent)
  {
    const Fault fault = DrawFault(aFraming);
    const auto faultAt = static_cast<std::size_t>(
      fault == Fault::None ? 0 : Draw(0, static_cast<int>(aEvents.size())));
    while (!aEvents.empty()) {
      if (fault != Fault::None && aEvents.size() <= faultAt) {
        const std::string& next = aEvents.front();
        BreakOff(aSocket,
                 fault,
                 aFraming == Framing::Chunked ? httpstream::MakeChunk(next)
                                              : next);
        return false;
      }
      const auto count = std::min<std::size_t>(
        static_cast<std::size_t>(Draw(1, 3)), aEvents.size());
      std::string text;
      for (const std::string& event : aEvents.first(count)) {
        text += event;
      }
      aEvents = aEvents.subspan(count);
      if (aFraming == Framing::Chunked) {
        text = MakeChunks(text);
      }
      aSent += text;
      Write(aSocket, text);
      int pauseMs = DrawOneIn(kLongPauseOneIn) ? Draw(100, 500) : Draw(2, 50);
      if (DrawPause()) {
        pauseMs = Draw(kMinWaitMs, kMaxPreemptionMs);
      }
      const bool isInTime = PauseWithin(aLimit, pauseMs);
      if (isStopping_ && !aEvents.empty()) {
        aSocket.close();
        return false;
      }
      if (!isInTime && !aEvents.empty()) {
        StopAtLimit(aSocket, aFraming);
        return false;
      }
    }
    if (aFraming == Framing::Chunked) {
      aSent += httpstream::kLastChunk;
      Write(aSocket, std::string(httpstream::kLastChunk));
    }
    return true;
  }

  ServerOptions options_;
  Clock::time_point startedAt_ = Clock::now();
  tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::mt19937 random_; ///< Guarded by mutex_.
  SlotQueue queue_;
  std::atomic<std::uint64_t> runs_ = 0; ///< Since the start of the process.
  std::atomic<int> connections_ = 0;
  std::atomic<bool> isLeaving_ = false;
  std::atomic<bool> isStopping_ = false;
};

/// @return the signals that a server waits for: SIGUSR1, from which it leaves,
///         and SIGTERM, at which it stops.
sigset_t
BlockSignals()
{
  sigset_t signals{};
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGUSR1);
  ::sigaddset(&signals, SIGTERM);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
Run(int aCount, char** aArguments)
{
  const sigset_t signals = BlockSignals();
  asio::io_context context;
  OrderServer server(context, ParseOptions(aCount, aArguments));
  std::thread([&server, &signals] {
    int signal = 0;
    while (::sigwait(&signals, &signal) == 0 && signal != SIGTERM) {
      server.Leave();
    }
    server.Stop();
  }).detach();
  server.Accept();
}

} // namespace

} // namespace pumiceturn::adapter

int
main(int aCount, char** aArguments)
{
  try {
    pumiceturn::adapter::Run(aCount, aArguments);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
