#pragma once

#include "Tests/PlatformSoak/FleetSoakFixture.h"
#include "Tests/PlatformSoak/OrderStream.h"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json_fwd.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes between callers and servers that are processes, too,
/// while servers and hosts are killed, suspended and replaced by other software
/// versions. Checks each event that callers get: that it is the next one of its
/// request, from the version that began the stream, and that what looks
/// complete is.
class OrderSoakFixture : protected FleetSoakFixture
{
protected:
  OrderSoakFixture();
  ~OrderSoakFixture();

  struct RunOptions
  {
    /// Half of the servers that start again have another software version.
    bool changesSoftware_ = false;
    /// How late the registration of a server that has started may be written.
    std::chrono::milliseconds maxRegistrationDelay_{ 300 };
    /// The route of resumable streams goes to one of two services or to both,
    /// and the operator moves it. Their software has the same version, which
    /// stays.
    bool movesRoute_ = false;
    int slots_ = 12; ///< Of each server.
    /// Requests that wait at a server for a slot; the others are refused.
    int queue_ = 0;
    /// Hosts get SIGTERM and SIGHUP, also while others are killed.
    bool signalsHosts_ = false;
    std::size_t jobs_ = 3; ///< That are open at a time.
    /// Some jobs are ended before they are done, each job is read by two
    /// readers from any position, and all that was read must come again in a
    /// calm phase at the end.
    bool readsJobsAgain_ = false;
    /// Servers of another service take the addresses of servers that are gone.
    bool reusesAddresses_ = false;
    bool losesStoreAnswers_ = false;
    /// One response in this many of a server is broken off or spoiled, and as
    /// many are sent again before the next one; 0: none.
    int badResponseOneIn_ = 0;
    /// Responses to requests without an id, which are reports and health
    /// answers, are sent again, too.
    bool repeatsUnnamed_ = false;
    std::size_t workers_ = 2;
    bool wipesWorkers_ = false; ///< One at a time loses its data.
    /// Mean time between two faults, in steps of the event loop.
    int stepsPerFault_ = 120;
    /// One caller in this many has a time limit that is drawn and mostly
    /// shorter than its stream; 0: none.
    int shortLimitOneIn_ = 0;
    int routeTimeoutMs_ = 5000; ///< Of all routes but that of jobs.
    /// Servers that start again have another id, and nothing names their start.
    bool hasNewIds_ = false;
    /// Servers that are killed start again within 5 to 150 ms, and don't say
    /// for a time that they are healthy.
    bool startsAgainAtOnce_ = false;
    /// Servers close idle connections after 1 to 3 s, name that time at times,
    /// end connections after some whole responses, and reset those beyond
    /// their limit.
    bool closesConnections_ = false;
    int errorOneIn_ = 0; ///< Requests that a server answers with 500; 0: none.
    /// One event in this many comes after a long pause; 0: none.
    int pauseOneIn_ = 0;
    /// One response in this many of those that end only with their connection
    /// is truncated between two events by a server that lives on, where the
    /// rest may be asked for; 0: none.
    int truncateOneIn_ = 0;
    /// Servers that leave end their streams in order before they exit, and
    /// some don't report that they drain.
    bool exitsInOrder_ = false;
    bool losesEntries_ = false;  ///< Of servers that live; they return.
    bool sharesItemIds_ = false; ///< The items of all jobs have the same ids.
    bool keepsConnections_ = false; ///< Callers send several requests on one.
    /// Requests name their model, tokens and prompt, on routes for such ones,
    /// and some end their connection; callers leave silent streams.
    bool hasPrompts_ = false;
    /// A write of a killed server's process may reach the store after its next
    /// process has registered.
    bool delaysEntries_ = false;
  };

  /// Starts the hosts and applies load and faults for aTime.
  void Run(std::uint64_t aSeed,
           std::chrono::seconds aTime,
           const RunOptions& aOptions);

  struct RunCounts
  {
    int streams_ = 0;
    int begun_ = 0;
    int whole_ = 0;
    int resumptions_ = 0;
    int goneOn_ = 0;
    /// Resumptions at hosts that have run for 3 s, while two servers of the
    /// stream's version are registered.
    int owed_ = 0;
    int owedGoneOn_ = 0;
    int items_ = 0;
    int faults_ = 0;
    int serversKilled_ = 0;
    int softwareChanges_ = 0; ///< Of servers that started again.
    int releases_ = 0;
    int moves_ = 0; ///< Of the route of resumable streams.
    int terminations_ = 0;
    int hangUps_ = 0;
    int wipes_ = 0;
    int reuses_ = 0; ///< Of addresses.
    int orderlyExits_ = 0;
    int lostEntries_ = 0;
    int reusedConnections_ = 0; ///< Of callers.
    int givenUp_ = 0;           ///< Tries that their callers left.
    /// Streams that were truncated by servers that may not be asked for the
    /// rest any more, and look complete.
    int undecidable_ = 0;
    int lateEntries_ = 0;
    int jobsEnded_ = 0;
    int jobsReadAgain_ = 0;
    /// Reads that got fewer results than an earlier one, which is allowed for a
    /// time.
    int shorterReads_ = 0;
    std::map<OrderFault, int> orderFaults_{};
  };
  [[nodiscard]] const RunCounts& Counts() const { return counts_; }

private:
  struct Server
  {
    std::string id_;
    std::string service_;
    std::string version_;
    std::string address_;
    std::int64_t startedAtMs_ = 0; ///< Unix time; later at each start.
    bool isReady_ = true;          ///< Registered as ready, and running.
    bool isLeaving_ = false;       ///< It drains, and exits later.
    bool hasEntry_ = true;         ///< To be registered.
    std::optional<Clock::time_point> drainsSince_; ///< Empty: it doesn't.
    std::unique_ptr<ChildProcess> process_;

    [[nodiscard]] std::string Software() const
    {
      return service_ + "/" + version_;
    }
  };
  struct Caller
  {
    OrderStream stream_;
    std::string route_;
    bool isResumable_ = false;
    bool isSlow_ = false;
    std::unique_ptr<CallerCall> call_{}; ///< Empty between two tries.
    Clock::time_point nextTryAt_{};
    std::string beganAs_{}; ///< Id of the try that brought the first event.
    std::string tryId_{};
    std::string triedAt_{}; ///< Host of the current try.
    std::string address_{}; ///< Of that host.
    std::size_t seenBytes_ = 0;
    Clock::time_point progressAt_{}; ///< When a byte of the try came last.
    int tries_ = 0;
    bool isOwed_ = false; ///< The current try is a resumption that must go on.
    bool hasEnded_ = false;
  };
  enum class JobAction : std::uint8_t
  {
    Submit,
    Read,
    End,
  };
  /// A client of a job, which makes one call after the other.
  struct JobClient
  {
    std::unique_ptr<CallerCall> call_{};
    JobAction action_ = JobAction::Submit;
    std::size_t after_ = 0;  ///< First position that it reads.
    std::string calledAt_{}; ///< Host of the current call.
    Clock::time_point nextCallAt_{};
  };
  struct Job
  {
    std::string id_;
    std::string itemPrefix_;             ///< Of the ids of its items.
    std::array<JobClient, 2> clients_{}; ///< The second one is optional.
    bool isAccepted_ = false;
    std::vector<std::string> outputs_{}; ///< By position, as first read.
    /// When a client ends the job; std::nullopt: never.
    std::optional<Clock::time_point> endAt_{};
    std::optional<Clock::time_point> endedAt_{}; ///< When that was answered.
    Clock::time_point createdAt_ = Clock::now();
    bool isReadAgain_ = false; ///< In the calm phase.
  };

  /// Fails if another run uses the same addresses, which is the case for one
  /// with the same seed.
  void ReserveNetwork();
  void WriteConfiguration();
  /// Chooses other services for the route of resumable streams.
  void MoveRoute();
  void AddServer(const std::string& aService, const std::string& aVersion);
  /// @return a server that isn't started, with an id and address of its own.
  [[nodiscard]] std::unique_ptr<Server> MakeServer(const std::string& aService,
                                                   const std::string& aVersion);
  void StartServer(Server& aServer);
  void Register(const Server& aServer, std::string_view aState);
  /// Kills a server; another process takes over its id and address later.
  void KillServer(Server& aServer);
  /// Writes the entry of a server's former process once more, until the next
  /// write of its present one.
  void DelayEntry(const std::string& aId, const std::string& aEntry);
  /// Starts a server again that was killed.
  void StartAgain(Server& aServer);
  /// Gives a server that isn't running another software version.
  void ChangeSoftware(Server& aServer);
  /// Lets a server drain, and end after that.
  void Drain(Server& aServer);
  /// Ends a server that has drained.
  void StopServer(const std::string& aId);
  /// Lets a server's entry expire, or another writer spoil it, for a time.
  void LoseEntry();
  /// Removes a server for good.
  void EndServer(const std::string& aId);
  /// Kills a server for good. Another one of its service starts elsewhere, and
  /// one of another service at its address, while its entry may still stand.
  void ReuseAddress();
  void BeginRelease();
  void InjectFault();
  /// Fills moreFaults_.
  void ChooseFaults();
  void KillHosts(int aOneIn, bool aWithWorkers);
  /// Ends some hosts one after the other with SIGTERM; at times others are
  /// killed meanwhile.
  void TerminateHosts();
  /// @return whether workers may be killed or suspended: the others have caught
  ///         up since the last one lost its data.
  [[nodiscard]] bool MayDisturbWorkers() const;
  /// Lets a worker lose its data if the others hold all of it.
  void WipeWorker();
  /// Sends SIGHUP to some hosts one after the other; at times they are killed
  /// soon after it.
  void HangUpHosts();
  void Step();
  void AddCaller();
  void Try(Caller& aCaller);
  /// @return whether a caller leaves its try, as nothing has come for long.
  [[nodiscard]] bool GivesUp(Caller& aCaller) const;
  void EndTry(Caller& aCaller);
  void AddJob();
  [[nodiscard]] bool IsDone(const Job& aJob) const;
  void StepJobs();
  void CancelJobCalls();
  void StepJob(Job& aJob);
  void StartJobCall(Job& aJob, JobClient& aClient);
  void SubmitJob(const Job& aJob, JobClient& aClient);
  void EndJobCall(Job& aJob, JobClient& aClient);
  void ReadResults(Job& aJob, std::size_t aAfter, const std::string& aBody);
  /// Checks what ReadResults() doesn't: the numbers of a page, and items that
  /// have failed for no reason.
  /// @return whether the page can be read.
  [[nodiscard]] bool CheckPage(const Job& aJob,
                               const JobClient& aClient,
                               const std::string& aBody);
  /// Waits until the fleet is calm, and reads jobs again from the start.
  void ReadJobsAgain();
  void ReadJobAgain(Job& aJob);
  void CheckShares();
  /// Checks that the service that began a stream may serve its route.
  void CheckService(const Caller& aCaller, const std::string& aWhere);
  void AddFault(OrderFault aFault, const std::string& aWhere);
  [[nodiscard]] Server* FindServer(const std::string& aId);
  /// @return the number of ready servers of a service and version.
  [[nodiscard]] int CountReady(const std::string& aSoftware) const;
  /// @return whether a host may ask a server of a service and version for the
  ///         rest of a stream.
  [[nodiscard]] bool MayAskForRest(const std::string& aSoftware) const;
  /// @return whether resumable streams of a service and version may go on.
  [[nodiscard]] bool IsRouted(const std::string& aSoftware) const;
  [[nodiscard]] std::unique_ptr<CallerCall> SendToHost(
    const Host& aHost,
    const std::string& aMethod,
    const std::string& aTarget,
    const std::string& aFields,
    const std::string& aBody = {});
  /// Sends a try on a connection to the host that earlier calls have left
  /// open, if there is one.
  [[nodiscard]] std::unique_ptr<CallerCall> SendTry(const Host& aHost,
                                                    const std::string& aTarget,
                                                    const std::string& aFields);

  std::vector<std::unique_ptr<Server>> servers_;
  /// Of the service that takes the addresses of servers that are gone.
  std::vector<std::unique_ptr<Server>> otherServers_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<std::unique_ptr<Job>> doneJobs_; ///< To be read again.
  RunCounts counts_;
  RunOptions options_;
  /// Callers' connections that can carry another request, by host's address.
  std::map<std::string,
           std::vector<std::shared_ptr<httpstream::ClientConnection>>>
    idleConnections_;
  std::string network_;
  std::optional<boost::asio::ip::tcp::acceptor> reservation_;
  std::vector<std::string> routed_; ///< Services of resumable streams.
  /// Faults beyond the usual ones, as the options say.
  std::vector<void (OrderSoakFixture::*)()> moreFaults_;
  Clock::time_point workersRestUntil_{};
  int configuration_ = 0;
  int version_ = 1;
  int nextServer_ = 0;
  int nextTry_ = 0;
  int nextStream_ = 0;
};

} // namespace pumiceturn::adapter
