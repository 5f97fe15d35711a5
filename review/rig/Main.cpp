#include "Rig.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iostream>

// Scenarios of the cases: rig SCENARIO FOLDER RECORD. Exits with 1 if the rule
// was broken, 0 if it held, 2 if the case couldn't run.

namespace rig {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Traffic starts that long after the machines do.
constexpr double kLead = 10.0;

bool
IsTroubled()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

std::string
PlainEvent(int aEvent)
{
  const std::string id = std::to_string(aEvent);
  return "id: " + id + "\ndata: word" + id + "\n\n";
}

/// A deployment: the platform's store, model servers, fronts and stores. Its
/// threads run until the rig ends, so it is never deleted.
class Site
{
public:
  Site(const std::string& aFolder,
       Record& aRecord,
       Servers::Options aServers,
       int aFronts,
       int aWorkers)
    : network_(DrawNetwork())
    , store_(network_ + ".1", kStorePort)
    , servers_(WithAddress(std::move(aServers), network_ + ".2"),
               store_,
               aRecord)
    , fleet_(network_, aFolder, aRecord)
  {
    store_.Put("op/config", MakeConfiguration());
    for (int index = 1; index <= aFronts; ++index) {
      fleet_.Add("front-" + std::to_string(index), 10 + index, true);
    }
    for (int index = 1; index <= aWorkers; ++index) {
      fleet_.Add("store-" + std::to_string(index), 50 + index, false);
    }
  }

  Store& ItsStore() { return store_; }
  Servers& ItsServers() { return servers_; }
  Fleet& ItsFleet() { return fleet_; }

  std::vector<std::string> Fronts()
  {
    std::vector<std::string> addresses;
    for (const Fleet::Host& host : fleet_.Hosts()) {
      if (host.isFront_ && !host.isGone_) {
        addresses.push_back(host.ip_);
      }
    }
    return addresses;
  }

private:
  static Servers::Options WithAddress(Servers::Options aOptions,
                                      const std::string& aIp)
  {
    aOptions.ip_ = aIp;
    return aOptions;
  }

  std::string network_;
  Store store_;
  Servers servers_;
  Fleet fleet_;
};

/// Reads all jobs until a moment, twice a second, as their clients do.
void
ReadUntil(std::vector<Job>& aJobs, Site& aSite, double aUntil, Record& aRecord)
{
  std::size_t turn = 0;
  while (Now() < aUntil) {
    const std::vector<std::string> fronts = aSite.Fronts();
    for (Job& job : aJobs) {
      if (job.acceptedAt_ >= 0 && job.listed_.size() < job.items_.size()) {
        ReadResults(job, fronts[turn++ % fronts.size()], aRecord);
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
}

/// The rule LOST for items that are left lying, at the moment when finishS is
/// over.
bool
IsLeftLying(const std::vector<Job>& aJobs,
            const std::vector<Run>& aRuns,
            int aSlots,
            double aNow,
            Record& aRecord)
{
  constexpr double kCalm = 5.0;
  constexpr double kLastFinish = 3.0;
  int running = 0;
  for (const Run& run : aRuns) {
    running += run.endedAt_ < 0 ? 1 : 0;
    if (run.isComplete_ && run.endedAt_ > aNow - kLastFinish) {
      aRecord.Line("an item was finished in the last 3 s");
      return false;
    }
  }
  if (2 * running >= aSlots) {
    aRecord.Line("the servers are half full");
    return false;
  }
  bool isBroken = false;
  for (const Job& job : aJobs) {
    if (job.acceptedAt_ < 0 || job.listed_.size() == job.items_.size()) {
      continue;
    }
    bool hasRun = false;
    for (const Run& run : aRuns) {
      const bool isOfJob = run.id_.rfind(job.id_ + "i", 0) == 0;
      const bool isUnlisted = job.listed_.count(run.id_) == 0;
      hasRun = hasRun || (isOfJob && isUnlisted &&
                          (run.endedAt_ < 0 || run.endedAt_ > aNow - kCalm));
    }
    aRecord.Line("batch job " + job.id_ + ": " +
                 std::to_string(job.listed_.size()) + " of " +
                 std::to_string(job.items_.size()) + " items are listed" +
                 (hasRun ? ", a server had one in the last 5 s"
                         : ", no server had another one for 5 s"));
    isBroken = isBroken || !hasRun;
  }
  return isBroken;
}

/// @return a prompt of many parts, each of 20 tokens.
std::string
LongPrefix(int aParts)
{
  std::string prefix;
  for (int part = 1; part <= aParts; ++part) {
    char entry[24];
    std::snprintf(entry, sizeof(entry), "%s%08x:20", part > 1 ? "," : "", part);
    prefix += entry;
  }
  return prefix;
}

/// An item whose prompt has many parts, among usual ones.
int
PlayParts(const std::string& aFolder, Record& aRecord)
{
  constexpr int kServers = 6;
  constexpr int kSlots = 8;
  constexpr double kFinish = 18.0;
  Servers::Options servers;
  servers.count_ = kServers;
  servers.slots_ = kSlots;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 2, 3);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    aRecord.Line("the machines aren't ready");
    return kCouldNotRun;
  }
  // 6,000 parts of 20 tokens: 120,000 tokens, 72 KB.
  const int parts = IsTroubled() ? 6000 : 30;
  const std::string tokens = std::to_string(20 * parts) + ",40";
  std::vector<Job> jobs{ MakeJob(
    "9b52d6a3f87c41e0",
    1,
    Json{ { "Token-Counts", tokens }, { "Prompt-Prefix", LongPrefix(parts) } },
    20 * parts + 40) };
  for (int index = 0; index < 4; ++index) {
    jobs.push_back(MakeJob("51d6a3f87c41e0" + std::to_string(10 + index), 5));
  }
  for (Job& job : jobs) {
    Submit(job, site.Fronts(), aRecord);
  }
  ReadUntil(jobs, site, Now() + kFinish, aRecord);
  aRecord.Line("processes ended by themselves " +
               std::to_string(site.ItsFleet().CountExits()) + " times");
  const bool isBroken = IsLeftLying(
    jobs, site.ItsServers().Runs(), kServers * kSlots, Now(), aRecord);
  site.ItsFleet().End();
  return isBroken ? kBroken : kHeld;
}

/// An item whose header holds line ends.
int
PlaySmuggle(const std::string& aFolder, Record& aRecord)
{
  Servers::Options servers;
  servers.count_ = 3;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 2, 2);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    return kCouldNotRun;
  }
  const std::string smuggled =
    "a\r\nContent-Length: 0\r\nAttempt-Id: 00000000feedbeef\r\n\r\n"
    "POST /u/smuggled HTTP/1.1\r\nHost: nony24.example\r\nX: b";
  std::vector<Job> jobs{ MakeJob(
    "9b52d6a3f87c41e0", 1, Json{ { "Note", IsTroubled() ? smuggled : "a" } }) };
  Submit(jobs[0], site.Fronts(), aRecord);
  ReadUntil(jobs, site, Now() + 8, aRecord);
  bool isBroken = false;
  for (const Run& run : site.ItsServers().Runs()) {
    if (run.id_ != jobs[0].items_[0]) {
      aRecord.Line("server " + run.server_ + " ran " + run.id_ +
                   ", which no client sent");
      isBroken = true;
    }
  }
  site.ItsFleet().End();
  return isBroken ? kBroken : kHeld;
}

/// Servers that run one request at a time.
int
PlaySlots(const std::string& aFolder, Record& aRecord)
{
  constexpr int kServers = 6;
  Servers::Options servers;
  servers.count_ = kServers;
  servers.slots_ = IsTroubled() ? 1 : 2;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 2, 3);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    return kCouldNotRun;
  }
  std::vector<Job> jobs{ MakeJob("9b52d6a3f87c41e0", 5) };
  Submit(jobs[0], site.Fronts(), aRecord);
  ReadUntil(jobs, site, Now() + 20, aRecord);
  const bool isBroken = IsLeftLying(
    jobs, site.ItsServers().Runs(), kServers * servers.slots_, Now(), aRecord);
  site.ItsFleet().End();
  return isBroken ? kBroken : kHeld;
}

/// Requests whose answers or bodies an HTTP/1.1 proxy must frame with care,
/// sent on one connection: all that comes back and all that servers run is
/// recorded.
int
PlayFraming(const std::string& aFolder, Record& aRecord, bool aIsHead)
{
  Servers::Options servers;
  servers.count_ = 3;
  servers.events_ = 2;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 2, 2);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    return kCouldNotRun;
  }
  const std::string head =
    std::string(aIsHead && IsTroubled() ? "HEAD" : "POST") +
    " /s/x HTTP/1.1\r\nHost: nony24.example\r\nAttempt-Id: 4c41d07be2a35f68\r\n"
    "Deadline-Ms: 2000\r\n";
  const std::string inner =
    "POST /u/inner HTTP/1.1\r\nHost: nony24.example\r\n"
    "Attempt-Id: 00000000feedbeef\r\nContent-Length: 0\r\n\r\n";
  const std::string framing =
    IsTroubled()
      ? "Transfer-Encoding: identity\r\n\r\n"
      : "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n";
  const std::string bytes = CallRaw(site.Fronts()[0],
                                    kFrontPort,
                                    head + (aIsHead ? "\r\n" : framing + inner),
                                    2);
  aRecord.Line("the client gets " + Json(bytes).dump());
  bool isBroken =
    aIsHead && IsTroubled() && bytes.find("\r\n\r\n") + 4 != bytes.size();
  for (const Run& run : site.ItsServers().Runs()) {
    isBroken = isBroken || run.id_ == "00000000feedbeef";
  }
  site.ItsFleet().End();
  return isBroken ? kBroken : kHeld;
}

/// Events whose data takes two lines.
int
PlayLines(const std::string& aFolder, Record& aRecord)
{
  Servers::Options servers;
  servers.count_ = 3;
  servers.events_ = 10;
  servers.event_ = [](int aEvent) {
    const std::string id = std::to_string(aEvent);
    return IsTroubled()
             ? "id: " + id + "\ndata: word" + id + "\ndata: more" + id + "\n\n"
             : PlainEvent(aEvent);
  };
  Site& site = *new Site(aFolder, aRecord, servers, 2, 2);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    return kCouldNotRun;
  }
  std::vector<Job> jobs{ MakeJob("9b52d6a3f87c41e0", 2) };
  Submit(jobs[0], site.Fronts(), aRecord);
  ReadUntil(jobs, site, Now() + 6, aRecord);
  std::string whole;
  for (int event = 1; event <= servers.events_; ++event) {
    const std::string id = std::to_string(event);
    whole += (event > 1 ? "\n" : "") + ("word" + id) +
             (IsTroubled() ? "\nmore" + id : "");
  }
  bool isBroken = false;
  for (const auto& [item, output] : jobs[0].outputs_) {
    aRecord.Line("output of " + item + ": " + Json(output).dump());
    isBroken = isBroken || output != whole;
  }
  site.ItsFleet().End();
  return isBroken ? kBroken : kHeld;
}

/// Sends a stream of another route.
void
SendStream(const std::string& aFront,
           const std::string& aHost,
           const std::string& aId,
           Record& aRecord)
{
  const Message answer =
    Call(aFront,
         kFrontPort,
         "POST /s/x HTTP/1.1\r\nHost: " + aHost + "\r\nAttempt-Id: " + aId +
           "\r\nDeadline-Ms: 5000\r\nConnection: close\r\n"
           "Content-Length: 1\r\n\r\nx",
         5);
  aRecord.Line("a stream with Host " + aHost + " is answered " +
               std::to_string(answer.status_) +
               (answer.isComplete_ ? ", complete" : ", cut"));
}

/// The rule MIXED for items that are listed as errored, where no server answers
/// 422 or 500, no client ends a batch job, the route stays, and maxWaitS is 60.
int
JudgeErrored(const std::vector<Job>& aJobs,
             const std::vector<Run>& aRuns,
             Record& aRecord)
{
  int accepted = 0;
  int wronglyErrored = 0;
  int notListed = 0;
  for (const Job& job : aJobs) {
    accepted += job.acceptedAt_ >= 0 ? 1 : 0;
    for (const std::string& item : job.items_) {
      const auto listed = job.listed_.find(item);
      notListed += job.acceptedAt_ >= 0 && listed == job.listed_.end() ? 1 : 0;
      wronglyErrored +=
        listed != job.listed_.end() && listed->second == "errored" ? 1 : 0;
    }
  }
  const auto ran =
    std::count_if(aRuns.begin(), aRuns.end(), [](const Run& aRun) {
      return aRun.id_.rfind("51d6a3f87c41e0", 0) == 0;
    });
  aRecord.Line(std::to_string(accepted) + " of 3 batch jobs accepted, " +
               std::to_string(ran) + " runs of their items, " +
               std::to_string(wronglyErrored) +
               " of 15 items listed as errored, " + std::to_string(notListed) +
               " not listed");
  if (accepted == 0) {
    return kCouldNotRun;
  }
  return wronglyErrored > 0 || notListed > 0 ? kBroken : kHeld;
}

/// Clients that name the port in Host, as HTTP/1.1 asks of them where it isn't
/// the default one.
int
PlayPort(const std::string& aFolder, Record& aRecord)
{
  constexpr int kServers = 6;
  constexpr double kFinish = 18.0;
  Servers::Options servers;
  servers.count_ = kServers;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 2, 3);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    aRecord.Line("the machines aren't ready");
    return kCouldNotRun;
  }
  const std::string host =
    IsTroubled() ? std::string(kHostName) + ":" + std::to_string(kFrontPort)
                 : std::string(kHostName);
  aRecord.Line("clients send Host: " + host);
  const std::vector<std::string> fronts = site.Fronts();
  SendStream(fronts[0], host, "4c41d07be2a35f68", aRecord);
  std::vector<Job> jobs;
  for (int index = 0; index < 3; ++index) {
    jobs.push_back(MakeJob("51d6a3f87c41e0" + std::to_string(10 + index), 5));
    Submit(jobs.back(), fronts, aRecord, host);
  }
  const double until = Now() + kFinish;
  std::size_t turn = 0;
  while (Now() < until) {
    for (Job& job : jobs) {
      if (job.acceptedAt_ >= 0 && job.listed_.size() < job.items_.size()) {
        ReadResults(job, fronts[turn++ % fronts.size()], aRecord, host);
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  const int result = JudgeErrored(jobs, site.ItsServers().Runs(), aRecord);
  site.ItsFleet().End();
  return result;
}

/// Sends pairs of batch jobs at once, the first of a pair to the small service.
std::vector<Job>
SubmitPairs(const std::vector<std::string>& aFronts,
            int aPairs,
            Record& aRecord)
{
  std::vector<Job> jobs;
  for (int index = 0; index < aPairs; ++index) {
    const std::string name = std::to_string(10 + index) + "a6f3870c41d2";
    for (const char* prefix : { "/c/", "/b/" }) {
      const std::string id = (prefix[1] == 'b' ? "b0" : "c0") + name;
      jobs.push_back(MakeJob(id, 10, {}, 940, prefix));
      Submit(jobs.back(), aFronts, aRecord);
    }
  }
  return jobs;
}

/// Batch jobs of two services come at once; the only server of one service has
/// been lost for good before.
int
PlayServices(const std::string& aFolder, Record& aRecord)
{
  constexpr int kServers = 6;
  constexpr int kSlots = 8;
  constexpr int kPairs = 6;
  constexpr double kTraffic = 8.0;
  constexpr double kFinish = 18.0;
  Servers::Options servers;
  servers.count_ = kServers;
  servers.slots_ = kSlots;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 2, 3);
  Servers::Options others = servers;
  others.ip_ = site.ItsFleet().Network() + ".3";
  others.service_ = "other-llm";
  others.firstId_ = 2001;
  others.count_ = 1;
  others.events_ = 10;
  Servers& small = *new Servers(others, site.ItsStore(), aRecord);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    aRecord.Line("the machines aren't ready");
    return kCouldNotRun;
  }
  if (IsTroubled()) {
    small.CrashForGood();
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::vector<std::string> fronts = site.Fronts();
  std::vector<Job> jobs = SubmitPairs(fronts, kPairs, aRecord);
  // Other traffic goes on for some seconds.
  const double end = Now() + kTraffic;
  for (std::size_t stream = 0; Now() < end; ++stream) {
    SendStream(fronts[stream % fronts.size()],
               kHostName,
               "5" + std::to_string(100 + stream),
               aRecord);
    ReadUntil(jobs, site, Now() + 0.5, aRecord);
  }
  aRecord.Line("the traffic ends");
  ReadUntil(jobs, site, Now() + kFinish, aRecord);
  // Only the service whose servers are all sound and idle is judged.
  std::vector<Job> judged;
  for (const Job& job : jobs) {
    if (job.prefix_ == "/b/") {
      judged.push_back(job);
    }
  }
  const bool isBroken = IsLeftLying(
    judged, site.ItsServers().Runs(), kServers * kSlots, Now(), aRecord);
  site.ItsFleet().End();
  return isBroken ? kBroken : kHeld;
}

/// A client that reads the results of a batch job in parts, with pauses.
int
PlayReader(const std::string& aFolder, Record& aRecord)
{
  // The sheet's largest batch job, and pieces of its usual size.
  constexpr int kItems = 24;
  constexpr int kEvents = 279;
  constexpr std::size_t kEventBytes = 75;
  constexpr int kReads = 3;
  constexpr std::size_t kReadBytes = 16384;
  Servers::Options servers;
  servers.count_ = 6;
  servers.events_ = kEvents;
  servers.eventInterval_ = 0.01;
  servers.event_ = [](int aEvent) {
    return "id: " + std::to_string(aEvent) +
           "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
  };
  Site& site = *new Site(aFolder, aRecord, servers, 2, 3);
  SleepUntil(kLead);
  if (!site.ItsFleet().WaitUntilReady(kLead + 5)) {
    return kCouldNotRun;
  }
  std::vector<Job> jobs{ MakeJob("9b52d6a3f87c41e0", kItems) };
  Submit(jobs[0], site.Fronts(), aRecord);
  ReadUntil(jobs, site, Now() + 12, aRecord);
  if (jobs[0].listed_.size() < kItems) {
    aRecord.Line("the batch job isn't done");
    return kCouldNotRun;
  }
  const double pause = IsTroubled() ? 0.4 : 0.0;
  aRecord.Line("a client reads all results, 16 KB each " +
               std::to_string(pause) + " s");
  bool isRead = false;
  for (int attempt = 0; attempt < kReads && !isRead; ++attempt) {
    const std::vector<std::string> fronts = site.Fronts();
    const SteadyRead read =
      CallSteadily(fronts[static_cast<std::size_t>(attempt) % fronts.size()],
                   kFrontPort,
                   "GET /api/lots/" + jobs[0].id_ +
                     "?after=0 HTTP/1.1\r\nHost: " + kHostName +
                     "\r\nConnection: close\r\n\r\n",
                   kReadBytes,
                   pause);
    isRead = read.IsComplete();
    aRecord.Line("the client got " + std::to_string(read.received_) + " of " +
                 std::to_string(read.expected_) + " bytes in " +
                 std::to_string(read.seconds_) + " s, " +
                 (isRead ? "all" : "then: " + read.end_));
  }
  site.ItsFleet().End();
  return isRead ? kHeld : kBroken;
}

/// SIGHUP reaches processes that have just started.
int
PlayHangUp(const std::string& aFolder, Record& aRecord)
{
  constexpr int kStarts = 5;
  const std::vector<double> delays{ 0.0, 0.001, 0.002, 0.02, 0.1 };
  Servers::Options servers;
  servers.count_ = 1;
  servers.event_ = PlainEvent;
  Site& site = *new Site(aFolder, aRecord, servers, 0, 0);
  int number = 0;
  for (const double delay : delays) {
    for (int start = 0; start < kStarts; ++start) {
      const std::string name = "front-" + std::to_string(++number);
      site.ItsFleet().Add(name, 10 + number, true);
      if (IsTroubled()) {
        site.ItsFleet().HangUp(name, delay);
      }
    }
  }
  SleepUntil(Now() + 1);
  const int exits = site.ItsFleet().CountExits();
  aRecord.Line(std::to_string(exits) + " of " + std::to_string(number) +
               " processes ended by themselves");
  site.ItsFleet().End();
  return exits > 0 ? kBroken : kHeld;
}

} // namespace

} // namespace rig

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::cerr << "rig SCENARIO FOLDER RECORD\n";
    return 2;
  }
  const std::string scenario = aArguments[1];
  rig::Record record(aArguments[3]);
  int result = 2;
  try {
    if (scenario == "parts") {
      result = rig::PlayParts(aArguments[2], record);
    } else if (scenario == "smuggle") {
      result = rig::PlaySmuggle(aArguments[2], record);
    } else if (scenario == "services") {
      result = rig::PlayServices(aArguments[2], record);
    } else if (scenario == "port") {
      result = rig::PlayPort(aArguments[2], record);
    } else if (scenario == "slots") {
      result = rig::PlaySlots(aArguments[2], record);
    } else if (scenario == "head" || scenario == "framing") {
      result = rig::PlayFraming(aArguments[2], record, scenario == "head");
    } else if (scenario == "reader") {
      result = rig::PlayReader(aArguments[2], record);
    } else if (scenario == "hup") {
      result = rig::PlayHangUp(aArguments[2], record);
    } else if (scenario == "lines") {
      result = rig::PlayLines(aArguments[2], record);
    }
  } catch (const std::exception& error) {
    record.Line(std::string("the rig failed: ") + error.what());
    result = 2;
  }
  record.Line(result == 0   ? "result: the rule held"
              : result == 1 ? "result: the rule was broken"
                            : "result: the case couldn't run");
  std::_Exit(result);
}
