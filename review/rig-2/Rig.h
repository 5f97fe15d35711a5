#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Test doubles of the platform and processes of the gateway, for the cases of
/// the review. Everything listens on loopback addresses of a network of its
/// own.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

/// Exit codes of the cases.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Writes record.txt, one line for each thing that was sent, answered or run.
class Recorder
{
public:
  explicit Recorder(const std::string& aPath);
  void Line(const std::string& aText);
  [[nodiscard]] double Seconds() const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point startedAt_ = Clock::now();
};

struct Message
{
  std::string firstLine_;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;

  [[nodiscard]] std::string Field(std::string_view aName) const;
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string Target() const;
  [[nodiscard]] int Status() const;
};

/// How a response ended.
enum class BodyEnd : std::uint8_t
{
  Complete, ///< By its length, or by the last chunk.
  Closed,   ///< Its connection was closed in order.
  Broken,   ///< Its connection was reset, or ended too early.
  TimedOut,
};

struct Answer
{
  Message message_;
  BodyEnd end_ = BodyEnd::Broken;
  bool hasHead_ = false;
};

/// A blocking connection.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket_(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  [[nodiscard]] bool Send(std::string_view aBytes) const;
  /// @return whether a whole request was read.
  [[nodiscard]] bool ReadRequest(Message& aRequest);
  [[nodiscard]] Answer ReadAnswer(Clock::time_point aDeadline);
  /// Sends a reset instead of an orderly end when it is closed.
  void ResetOnClose() const;
  /// Reads and drops everything until the peer closes.
  void Swallow();
  /// @return whether the peer has closed.
  [[nodiscard]] bool IsClosedByPeer() const;
  [[nodiscard]] int Socket() const { return socket_; }

private:
  enum class ReadResult : std::uint8_t
  {
    Bytes,
    End,
    Failed,
    TimedOut,
  };
  ReadResult ReadMore(std::optional<Clock::time_point> aDeadline);
  [[nodiscard]] bool ReadHead(Message& aMessage,
                              std::optional<Clock::time_point> aDeadline,
                              ReadResult& aResult);
  /// Reads until the input holds this many bytes.
  [[nodiscard]] bool ReadTo(std::size_t aBytes,
                            std::optional<Clock::time_point> aDeadline,
                            ReadResult& aResult);
  /// Appends all chunks to the body.
  [[nodiscard]] bool ReadChunks(std::string& aBody,
                                std::optional<Clock::time_point> aDeadline,
                                ReadResult& aResult);

  int socket_;
  std::string input_;
};

/// Accepts connections on a thread of its own and serves each on another one.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  Server(const std::string& aIp, std::uint16_t aPort, Handler aHandler);
  [[nodiscard]] std::string Address() const;

private:
  std::string ip_;
  std::uint16_t port_ = 0;
};

/// The platform's metadata store.
class Store
{
public:
  enum class Mode : std::uint8_t
  {
    Serving,
    Silent, ///< Down: calls aren't done and not answered.
  };

  Store(const std::string& aIp, std::uint16_t aPort);
  [[nodiscard]] std::string Address() const { return server_->Address(); }
  void SetMode(Mode aMode) { mode_ = aMode; }
  std::uint64_t Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  [[nodiscard]] std::map<std::string, std::string> Range(
    const std::string& aPrefix);

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Lease
  {
    Milliseconds lifetime_{};
    Clock::time_point endsAt_;
  };

  void Serve(Connection& aConnection);
  std::pair<int, json> Handle(const Message& aRequest);
  std::pair<int, json> HandleRange(const std::map<std::string, std::string>&);
  std::pair<int, json> HandleKey(const std::map<std::string, std::string>&);
  std::pair<int, json> HandleWatch(const std::map<std::string, std::string>&);
  std::pair<int, json> HandleTransaction(const json& aCall);
  [[nodiscard]] json ItemJson(const std::string& aKey, const Item& aItem) const;
  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease,
                 std::uint64_t aRevision);
  void RemoveLocked(const std::string& aKey, std::uint64_t aRevision);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<json> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 100;
  std::uint64_t nextLease_ = 7000;
  std::atomic<Mode> mode_ = Mode::Serving;
  std::unique_ptr<Server> server_;
};

/// Kinds of hosts, as in the deploy file.
enum class Role : std::uint8_t
{
  Front,
  Store,
};

/// The processes of the system and the platform's store, on loopback addresses.
class Deployment
{
public:
  explicit Deployment(Recorder& aRecorder);
  ~Deployment() = default;
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  [[nodiscard]] std::string Ip(int aHost) const;
  [[nodiscard]] Store& PlatformStore() { return *store_; }
  /// Writes the settings of a host and starts its process.
  void Start(const std::string& aNode, int aHost, Role aRole);
  /// Starts the process of a host again, with the same settings and disk.
  void StartAgain(const std::string& aNode);
  void Signal(const std::string& aNode, int aSignal);
  void Kill(const std::string& aNode);
  [[nodiscard]] pid_t Pid(const std::string& aNode) const;
  /// @return whether all entry hosts are ready.
  [[nodiscard]] bool AwaitReady(Milliseconds aTimeout);
  /// @return the text of the process's log.
  [[nodiscard]] std::string LogOf(const std::string& aNode) const;
  /// Ends all processes, and this one with a case's exit code: the threads of
  /// the test doubles go on until then.
  [[noreturn]] void Finish(int aStatus);

  static constexpr std::uint16_t kFrontPort = 8161;
  static constexpr std::uint16_t kReadyPort = 8167;
  static constexpr int kMemoryMbFront = 110;
  static constexpr int kMemoryMbStore = 140;

private:
  struct Process
  {
    pid_t pid_ = -1;
    Role role_ = Role::Front;
    int host_ = 0;
  };

  void EndAll();

  Recorder& recorder_;
  std::string folder_;
  std::string network_;
  std::unique_ptr<Store> store_;
  mutable std::mutex mutex_; ///< Of the processes.
  std::map<std::string, Process> processes_;
};

/// @return an answer to a request that is sent on a new connection; without a
///         head if none could be had.
[[nodiscard]] Answer
Call(const std::string& aIp,
     std::uint16_t aPort,
     const std::string& aRequest,
     Milliseconds aTimeout);

[[nodiscard]] int
Connect(const std::string& aIp, std::uint16_t aPort);

[[nodiscard]] std::string
RandomId();

[[nodiscard]] std::string
EncodeBase64(std::string_view aText);

[[nodiscard]] std::string
DecodeBase64(std::string_view aText);

/// @return whether TROUBLE=0 isn't set.
[[nodiscard]] bool
HasTrouble();

/// @return the milliseconds since the epoch.
[[nodiscard]] std::int64_t
UnixMs();

} // namespace review
