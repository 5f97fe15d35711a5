#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/OrderSoakFixture.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs the soak with the seed and time of the environment, and checks it.
class OrderSoakRun : protected OrderSoakFixture
{
protected:
  void RunAndCheck(const RunOptions& aOptions)
  {
    const SoakRun run = ReadSoakRun(15);
    INFO("seed " << run.seed_);
    Run(run.seed_, run.time_, aOptions);
    const RunCounts& counts = Counts();
    std::cout << fmt::format(
      "seed {}: {} streams, {} begun, {} whole; {} resumptions, {} went on; "
      "{} owed, {} of them went on; {} items; {} faults, {} servers killed, "
      "{} of them changed their software, {} releases, {} moves of a route, {} "
      "restarts, {} terminations, {} hang-ups; {} jobs ended, {} read again, "
      "{} shorter reads; {} addresses used again; {} wipes; {} orderly exits, "
      "{} lost entries, {} late ones, {} connections used again, {} tries "
      "given up; {} truncated where nobody may be asked\n",
      run.seed_,
      counts.streams_,
      counts.begun_,
      counts.whole_,
      counts.resumptions_,
      counts.goneOn_,
      counts.owed_,
      counts.owedGoneOn_,
      counts.items_,
      counts.faults_,
      counts.serversKilled_,
      counts.softwareChanges_,
      counts.releases_,
      counts.moves_,
      restarts_,
      counts.terminations_,
      counts.hangUps_,
      counts.jobsEnded_,
      counts.jobsReadAgain_,
      counts.shorterReads_,
      counts.reuses_,
      counts.wipes_,
      counts.orderlyExits_,
      counts.lostEntries_,
      counts.lateEntries_,
      counts.reusedConnections_,
      counts.givenUp_,
      counts.undecidable_);
    for (const auto& [fault, count] : counts.orderFaults_) {
      std::cout << fmt::format(
        "seed {}: {} times {}\n", run.seed_, count, NameOf(fault));
    }
    PrintViolations(run.seed_);
    CHECK(Violations() == std::vector<std::string>());
    CHECK(counts.whole_ > 0);
    CHECK(counts.items_ > 0);
    CHECK(counts.serversKilled_ > 0);
  }
};

// Guards against streams and items' outputs with events that are missing, come
// twice or are of another version or request, and against those that look
// complete too early, while server processes and hosts fail.
// Meta/soak_platform.sh runs more seeds.
TEST_CASE_METHOD(OrderSoakRun, "OrderSoak_ServersAndHostsFail_StreamsStayWhole")
{
  RunAndCheck({});
}

// Guards against the same where two services, whose software has the same
// version, serve one route, and the operator moves it between them.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_RouteIsSplitAndMoved_StreamsStayWhole")
{
  RunOptions options;
  options.movesRoute_ = true;
  RunAndCheck(options);
}

// Guards against the same while servers start again under their id with other
// software, before their registrations say so.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_ServersChangeSoftware_StreamsStayWhole")
{
  RunOptions options;
  options.changesSoftware_ = true;
  options.maxRegistrationDelay_ = std::chrono::milliseconds(1500);
  RunAndCheck(options);
}

// Guards against the same while servers have other software within
// milliseconds, on connections that are opened meanwhile.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_ServersChangeSoftwareAtOnce_StreamsStayWhole")
{
  RunOptions options;
  options.changesSoftware_ = true;
  options.startsAgainAtOnce_ = true;
  options.maxRegistrationDelay_ = std::chrono::milliseconds(1500);
  options.stepsPerFault_ = 60;
  RunAndCheck(options);
}

// Guards against streams that look complete too early as their servers stop in
// order at the time limit that they get.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_ServersStopAtTimeLimits_StreamsStayWhole")
{
  RunOptions options;
  options.shortLimitOneIn_ = 1;
  RunAndCheck(options);
}

// Guards against streams and outputs that look complete too early as a killed
// server's next process is there at once, has another id and doesn't say who
// it is.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_ServersStartAgainAtOnce_StreamsStayWhole")
{
  RunOptions options;
  options.hasNewIds_ = true;
  options.startsAgainAtOnce_ = true;
  RunAndCheck(options);
}

// Guards against streams and outputs that look complete too early as their
// servers, which live on, truncate them between two events.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_ServersTruncateStreams_StreamsStayWhole")
{
  RunOptions options;
  options.truncateOneIn_ = 4;
  RunAndCheck(options);
}

// Guards against the same where servers do what the platform's protocol allows:
// they end idle connections and connections beyond their limit, answer with
// errors, pause for long, leave without a report, end their streams in order
// before they exit, lose their entries or get former ones, and spoil or repeat
// responses.
TEST_CASE_METHOD(OrderSoakRun,
                 "OrderSoak_ServersFollowThePage_StreamsStayWhole")
{
  RunOptions options;
  options.changesSoftware_ = true;
  options.slots_ = 8;
  options.queue_ = 8;
  options.jobs_ = 6;
  options.badResponseOneIn_ = 20;
  options.stepsPerFault_ = 80;
  options.shortLimitOneIn_ = 3;
  options.closesConnections_ = true;
  options.errorOneIn_ = 40;
  options.pauseOneIn_ = 200;
  options.exitsInOrder_ = true;
  options.losesEntries_ = true;
  options.keepsConnections_ = true;
  options.hasPrompts_ = true;
  options.delaysEntries_ = true;
  RunAndCheck(options);
}

// Guards against reports that a server sends once more, and that are taken for
// the response to the next request of their connection.
TEST_CASE_METHOD(OrderSoakRun, "OrderSoak_ReportsAreRepeated_StreamsStayWhole")
{
  RunOptions options;
  options.badResponseOneIn_ = 20;
  options.repeatsUnnamed_ = true;
  RunAndCheck(options);
}

// Guards against outputs from the items of another job that have the same ids,
// as servers send responses once more.
TEST_CASE_METHOD(OrderSoakRun, "OrderSoak_JobsShareItemIds_OutputsStayWhole")
{
  RunOptions options;
  options.jobs_ = 12;
  options.badResponseOneIn_ = 3;
  options.sharesItemIds_ = true;
  RunAndCheck(options);
}

// Guards against the same, and against jobs whose results change, go away or
// are miscounted, where requests wait in the servers' queues, jobs are ended,
// hosts get SIGTERM or SIGHUP one after the other while others are killed,
// another service takes servers' addresses, servers break responses off, spoil
// or repeat them, workers lose their data, and the store loses answers.
TEST_CASE_METHOD(OrderSoakRun, "OrderSoak_FleetIsDisturbed_StreamsStayWhole")
{
  RunOptions options;
  options.slots_ = 6;
  options.queue_ = 18;
  options.signalsHosts_ = true;
  options.jobs_ = 8;
  options.readsJobsAgain_ = true;
  options.reusesAddresses_ = true;
  options.losesStoreAnswers_ = true;
  options.badResponseOneIn_ = 8;
  options.workers_ = 3;
  options.wipesWorkers_ = true;
  options.stepsPerFault_ = 60;
  RunAndCheck(options);
}

} // namespace pumiceturn::adapter
