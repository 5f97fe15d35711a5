#pragma once

// Stand-ins for the platform's store, for model servers and for clients, and
// the processes of a small deployment, for the scripts of the review's cases.
// Written from the users' pages alone; uses nothing of the product's code.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace rig {

using Json = nlohmann::json;

/// Seconds since the start of the rig.
double
Now();

void
SleepUntil(double aTime);

/// Writes lines with their time to the record. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  std::FILE* file_;
};

struct Message
{
  std::string method_;
  std::string target_;
  int status_ = 0; ///< Of a response; 0: none came.
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;
  bool isComplete_ = false;

  /// @return the value of a header; empty if it is missing.
  [[nodiscard]] std::string Field(const std::string& aName) const;
  [[nodiscard]] std::string Path() const;
  [[nodiscard]] std::string Query(const std::string& aName) const;
};

/// Reads messages from a connection.
class Reader
{
public:
  explicit Reader(int aSocket)
    : socket_(aSocket)
  {
  }
  bool ReadRequest(Message& aMessage);
  bool ReadResponse(Message& aMessage);

private:
  bool Fill();
  bool ReadHead(Message& aMessage, std::string& aFirstLine);
  bool ReadLine(std::string& aLine);
  bool ReadBytes(std::size_t aCount, std::string& aOut);
  bool ReadBody(Message& aMessage, bool aIsResponse);

  int socket_;
  std::string buffer_;
};

bool
SendAll(int aSocket, const std::string& aBytes);

std::string
MakeResponse(
  int aStatus,
  const std::string& aBody,
  const std::vector<std::pair<std::string, std::string>>& aFields = {});

/// Makes one call on a connection of its own.
Message
Call(const std::string& aIp,
     int aPort,
     const std::string& aRequest,
     double aTimeout);

/// Sends bytes on a connection of its own.
/// @return all bytes that come back until it is silent for a time.
std::string
CallRaw(const std::string& aIp,
        int aPort,
        const std::string& aBytes,
        double aSilence);

/// What a client got that reads a part of its answer, pauses, and so on.
struct SteadyRead
{
  std::size_t received_ = 0; ///< Bytes.
  std::size_t expected_ = 0; ///< Bytes, by the length; 0: not known.
  double seconds_ = 0;
  std::string end_; ///< How the connection ended, where it did.

  [[nodiscard]] bool IsComplete() const
  {
    return expected_ > 0 && received_ >= expected_;
  }
};

/// Makes one call on a connection of its own, with the usual buffers, and reads
/// at most so many bytes, then pauses.
SteadyRead
CallSteadily(const std::string& aIp,
             int aPort,
             const std::string& aRequest,
             std::size_t aBytes,
             double aPause);

/// Accepts connections, each with a thread of its own.
class Listener
{
public:
  using Handler = std::function<void(int aSocket)>;
  Listener(const std::string& aIp, int aPort, Handler aHandler);
  /// New connections are refused, and open ones end.
  void Close();

private:
  struct State
  {
    int socket_ = -1;
    std::mutex mutex_;
    bool isClosed_ = false;
    std::set<int> connections_;
  };
  std::shared_ptr<State> state_;
};

/// The platform's store.
class Store
{
public:
  Store(const std::string& aIp, int aPort);
  void Put(const std::string& aKey, const std::string& aValue);
  void Delete(const std::string& aKey);
  /// No call that arrives meanwhile is answered, and leases run out.
  void SetDown(bool aIsDown);

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Change
  {
    std::uint64_t revision_ = 0;
    std::string key_;
    bool isRemoved_ = false;
    Item item_;
  };
  struct Lease
  {
    double ttl_ = 0;
    double endsAt_ = 0;
  };

  void Serve(int aSocket);
  std::string Answer(const Message& aRequest);
  std::string Range(const Message& aRequest);
  std::string RenewOrEnd(const std::string& aPath);
  std::string Watch(const Message& aRequest);
  std::string Commit(const Json& aCall);
  void Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease);
  void Remove(const std::string& aKey);
  void ExpireLeases();
  static Json Row(const std::string& aKey, const Item& aItem);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 100;
  std::atomic<bool> isDown_{ false };
};

/// A run of a request at a server.
struct Run
{
  std::string id_;
  std::string server_;
  double beganAt_ = 0;
  double endedAt_ = -1;
  bool isComplete_ = false;
};

/// What the model servers do, and what they ran.
class Servers
{
public:
  struct Options
  {
    std::string ip_;
    std::string service_ = "llm";
    int firstId_ = 1001;
    int firstPort_ = 9000;
    int count_ = 4;
    int slots_ = 8;
    int events_ = 40;
    double eventInterval_ = 0.03;
    /// The bytes of an event.
    std::function<std::string(int aEvent)> event_;
  };
  Servers(Options aOptions, Store& aStore, Record& aRecord);

  [[nodiscard]] std::vector<Run> Runs();
  /// All of them crash and are lost for good. Their entries are removed after
  /// three heartbeat intervals of silence.
  void CrashForGood();

private:
  struct Server
  {
    std::string id_;
    std::unique_ptr<Listener> listener_;
    int port_ = 0;
    std::int64_t born_ = 0;
    std::atomic<int> active_{ 0 };
    int sequence_ = 0;
  };
  void Serve(Server& aServer, int aSocket);
  bool Stream(Server& aServer, int aSocket, const Message& aRequest);
  void Beat();

  Options options_;
  Store& store_;
  Record& record_;
  std::atomic<bool> isCrashed_{ false };
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<std::unique_ptr<Server>> servers_;
};

/// The processes of the deployment, each at an address of its own.
class Fleet
{
public:
  struct Host
  {
    std::string name_;
    std::string ip_;
    bool isFront_ = false;
    pid_t pid_ = -1;
    bool isGone_ = false;
    int exits_ = 0;
    int memoryKills_ = 0;
    long peakKb_ = 0;     ///< Of all its processes.
    double startAt_ = -1; ///< When its process is started again.
  };

  Fleet(std::string aNetwork, std::string aFolder, Record& aRecord);
  ~Fleet();

  /// Starts a machine. Its process is started again whenever it ends by itself.
  void Add(const std::string& aName, int aDigit, bool aIsFront);
  /// SIGKILL; the machine never comes back.
  void RemoveForGood(const std::string& aName);
  [[nodiscard]] std::vector<Host> Hosts();
  [[nodiscard]] int CountExits();
  /// From now on, "A process that uses more than `memoryMb` is killed."
  void LimitMemory() { limitsMemory_ = true; }
  [[nodiscard]] const std::string& Network() const { return network_; }
  /// Sends SIGHUP to a machine's process, so long after it began to run the
  /// program.
  void HangUp(const std::string& aName, double aDelay);
  /// @return whether all fronts answer that they are ready.
  bool WaitUntilReady(double aUntil);
  void End();

private:
  void Start(Host& aHost);
  void Watch();
  void CheckMemory(Host& aHost);

  std::string network_;
  std::string folder_;
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, Host> hosts_;
  std::atomic<bool> isEnding_{ false };
  std::atomic<bool> limitsMemory_{ false };
  std::thread watcher_;
};

constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kStorePort = 8169;

/// The memory of the machines that clients reach and of the store machines.
constexpr int kFrontMemoryMb = 110;
constexpr int kStoreMemoryMb = 140;

constexpr const char* kHostName = "nony24.example";

/// @return a network 127.X.Y for this run.
std::string
DrawNetwork();

std::string
EncodeBase64(const std::string& aText);

/// A batch job and what its client saw.
struct Job
{
  std::string id_;
  std::string prefix_ = "/b/"; ///< Of its route.
  std::vector<std::string> items_;
  std::string body_;
  double sentAt_ = 0;
  double acceptedAt_ = -1;
  int lastStatus_ = 0;
  std::map<std::string, std::string> listed_; ///< State by item.
  std::map<std::string, std::string> outputs_;
  std::size_t next_ = 0;
};

/// @return a job with items whose headers a caller may change.
Job
MakeJob(const std::string& aId,
        int aItems,
        const Json& aMoreHeaders = {},
        int aTokens = 940,
        const std::string& aPrefix = "/b/");

/// Sends a job to one front after the other until it is accepted, as clients
/// do.
void
Submit(Job& aJob,
       const std::vector<std::string>& aFronts,
       Record& aRecord,
       const std::string& aHost = kHostName);

/// Reads a job's results on from the last position.
void
ReadResults(Job& aJob,
            const std::string& aFront,
            Record& aRecord,
            const std::string& aHost = kHostName);

/// The routes: /s/ streams that may be resumed, /u/ streams that may not, /b/
/// batch jobs, /c/ batch jobs of another service.
std::string
MakeConfiguration();

} // namespace rig
