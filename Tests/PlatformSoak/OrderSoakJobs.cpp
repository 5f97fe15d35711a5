#include "LibBase/Base64.h"
#include "LibHttpStream/Status.h"
#include "Tests/PlatformSoak/OrderSoakFixture.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

// The part of OrderSoakFixture that submits batch jobs, ends them and reads
// their results.

namespace pumiceturn::adapter {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kItems = 4;
constexpr std::string_view kSharedPrefix = "item";
constexpr int kItemEvents = 30;
constexpr unsigned kAccepted = 202;

/// Upper bound of the time from a job's creation to its end by a client.
constexpr int kMaxJobTimeMs = 3000;

/// How long a job is read after a client has ended it.
constexpr milliseconds kTimeAfterEnd{ 1500 };

/// Time without faults until all hosts are expected to answer for all jobs. The
/// faults before may last for 3 s.
constexpr milliseconds kTimeToSettle{ 6000 };
constexpr milliseconds kTimeToReadAgain{ 4000 };
constexpr std::size_t kJobsReadAgain = 40;
constexpr std::size_t kQuotedBytes = 200; ///< Of an answer, in a violation.

/// Less than statusS of the hosts' settings.
constexpr std::chrono::seconds kJobKeepTime{ 90 };

} // namespace

void
OrderSoakFixture::CancelJobCalls()
{
  for (const auto* jobs : { &jobs_, &doneJobs_ }) {
    for (const auto& job : *jobs) {
      for (JobClient& client : job->clients_) {
        if (client.call_) {
          client.call_->connection_->Cancel();
        }
        client.call_.reset();
      }
    }
  }
}

void
OrderSoakFixture::AddJob()
{
  const std::string id = fmt::format("job{}", nextStream_++);
  auto job = std::make_unique<Job>(
    Job{ id, options_.sharesItemIds_ ? std::string(kSharedPrefix) : id });
  if (options_.readsJobsAgain_ && DrawOneIn(3)) {
    job->endAt_ = Clock::now() + Draw(0, kMaxJobTimeMs);
  }
  jobs_.push_back(std::move(job));
}

bool
OrderSoakFixture::IsDone(const Job& aJob) const
{
  // More results may come for a time after a job's end.
  return aJob.outputs_.size() == kItems ||
         (aJob.endedAt_ && Clock::now() >= *aJob.endedAt_ + kTimeAfterEnd);
}

void
OrderSoakFixture::StepJobs()
{
  for (const auto& job : jobs_) {
    StepJob(*job);
  }
  if (options_.readsJobsAgain_) {
    for (auto& job : jobs_) {
      if (IsDone(*job)) {
        doneJobs_.push_back(std::move(job));
      }
    }
    std::erase(jobs_, nullptr);
  } else {
    std::erase_if(jobs_, [this](const auto& aJob) { return IsDone(*aJob); });
  }
  if (jobs_.size() < options_.jobs_) {
    AddJob();
  }
}

void
OrderSoakFixture::StepJob(Job& aJob)
{
  const std::size_t clients = options_.readsJobsAgain_ ? 2 : 1;
  for (std::size_t index = 0; index < clients; ++index) {
    JobClient& client = aJob.clients_[index];
    if (client.call_ && !client.call_->HasEnded()) {
      continue;
    }
    if (client.call_) {
      EndJobCall(aJob, client);
      client.nextCallAt_ = Clock::now() + milliseconds(300);
    } else if (Clock::now() >= client.nextCallAt_ &&
               (index == 0 || aJob.isAccepted_)) {
      StartJobCall(aJob, client);
    }
  }
}

void
OrderSoakFixture::StartJobCall(Job& aJob, JobClient& aClient)
{
  if (!aJob.isAccepted_) {
    SubmitJob(aJob, aClient);
    return;
  }
  const Host& host = DrawEntryHost();
  aClient.calledAt_ = host.process_->Settings().name_;
  const bool isEnd = aJob.endAt_ && Clock::now() >= *aJob.endAt_ &&
                     (!aJob.endedAt_ || DrawOneIn(4));
  if (isEnd) {
    aClient.action_ = JobAction::End;
    aClient.call_ =
      SendToHost(host, "DELETE", fmt::format("/api/lots/{}", aJob.id_), {});
    return;
  }
  aClient.action_ = JobAction::Read;
  aClient.after_ =
    options_.readsJobsAgain_
      ? static_cast<std::size_t>(
          Draw(0, static_cast<int>(aJob.outputs_.size())).count())
      : 0;
  aClient.call_ =
    SendToHost(host,
               "GET",
               fmt::format("/api/lots/{}?after={}", aJob.id_, aClient.after_),
               {});
}

void
OrderSoakFixture::SubmitJob(const Job& aJob, JobClient& aClient)
{
  json items = json::array();
  for (std::size_t item = 0; item < kItems; ++item) {
    const std::string name = fmt::format("{}-{}", aJob.id_, item);
    items.push_back({ { "id", fmt::format("{}-{}", aJob.itemPrefix_, item) },
                      { "path", fmt::format("/lots/{}.{}", name, kItemEvents) },
                      { "headers", { { "Model", "m" } } },
                      { "body", base::EncodeBase64("prompt") },
                      { "tokens", 9 } });
  }
  aClient.action_ = JobAction::Submit;
  aClient.call_ = SendToHost(DrawEntryHost(),
                             "POST",
                             "/lots/1",
                             fmt::format("Attempt-Id: {}\r\n", aJob.id_),
                             json{ { "items", std::move(items) } }.dump());
}

void
OrderSoakFixture::EndJobCall(Job& aJob, JobClient& aClient)
{
  const auto call = std::exchange(aClient.call_, nullptr);
  aJob.isAccepted_ = aJob.isAccepted_ || call->status_ == kAccepted;
  // The host may have been killed while it answered.
  const bool isComplete = call->outcome_ == httpstream::CallOutcome::Complete;
  if (call->status_ != httpstream::kStatusOk || !isComplete) {
    return;
  }
  if (aClient.action_ == JobAction::Read) {
    if (options_.readsJobsAgain_ && !CheckPage(aJob, aClient, call->body_)) {
      return;
    }
    ReadResults(aJob, aClient.after_, call->body_);
  } else if (aClient.action_ == JobAction::End && !aJob.endedAt_) {
    ++counts_.jobsEnded_;
    aJob.endedAt_ = Clock::now();
  }
}

bool
OrderSoakFixture::CheckPage(const Job& aJob,
                            const JobClient& aClient,
                            const std::string& aBody)
{
  const std::string where = fmt::format(
    "job {} (read at {} from {})", aJob.id_, aClient.calledAt_, aClient.after_);
  const json page = json::parse(aBody, nullptr, false);
  if (!page.is_object()) {
    violations_.push_back(
      fmt::format("{}: the answer of {} bytes can't be read: {}",
                  where,
                  aBody.size(),
                  aBody.substr(0, kQuotedBytes)));
    return false;
  }
  const json results = page.value("results", json::array());
  const std::size_t total = page.value("total", std::size_t{ 0 });
  const std::size_t next = page.value("next", std::size_t{ 0 });
  if (total != kItems) {
    violations_.push_back(fmt::format("{}: total is {}", where, total));
  }
  if (next != aClient.after_ + results.size()) {
    violations_.push_back(fmt::format(
      "{}: next is {} with {} results", where, next, results.size()));
  }
  counts_.shorterReads_ += next < aJob.outputs_.size() ? 1 : 0;
  std::set<std::string> names;
  for (const json& result : results) {
    const std::string name = result.value("id", "");
    if (!names.insert(name).second ||
        !name.starts_with(aJob.itemPrefix_ + "-")) {
      violations_.push_back(
        fmt::format("{}: item {} doesn't belong there", where, name));
    }
    // No server answers with a failure, and the route's time isn't up.
    if (result.value("state", "") != "completed" && !aJob.endAt_) {
      violations_.push_back(
        fmt::format("{}: item {} is listed as failed", where, name));
    }
  }
  return true;
}

void
OrderSoakFixture::ReadResults(Job& aJob,
                              std::size_t aAfter,
                              const std::string& aBody)
{
  const json page = json::parse(aBody, nullptr, false);
  std::size_t position = aAfter;
  for (const json& result : page.value("results", json::array())) {
    const std::string id = result.at("id").get<std::string>();
    const std::string name =
      aJob.id_ + id.substr(std::min(id.rfind('-'), id.size()));
    const std::string text = result.dump();
    if (position < aJob.outputs_.size()) {
      if (aJob.outputs_[position] != text) {
        violations_.push_back(
          fmt::format("item {}: its result has changed", name));
      }
    } else {
      ++counts_.items_;
      aJob.outputs_.push_back(text);
      const bool isCompleted = result.at("state") == "completed";
      const auto fault =
        CheckOutput({ name, kItemEvents }, result.value("output", ""));
      if (isCompleted && fault) {
        AddFault(*fault, "item " + name);
      }
    }
    ++position;
  }
}

void
OrderSoakFixture::ReadJobAgain(Job& aJob)
{
  JobClient& client = aJob.clients_.front();
  if (client.call_ && !client.call_->HasEnded()) {
    return;
  }
  if (!client.call_) {
    const Host& host = DrawEntryHost();
    client.calledAt_ = host.process_->Settings().name_;
    client.action_ = JobAction::Read;
    client.after_ = 0;
    client.call_ = SendToHost(
      host, "GET", fmt::format("/api/lots/{}?after=0", aJob.id_), {});
    return;
  }
  const auto call = std::exchange(client.call_, nullptr);
  if (call->status_ != httpstream::kStatusOk ||
      call->outcome_ != httpstream::CallOutcome::Complete) {
    return;
  }
  if (!CheckPage(aJob, client, call->body_)) {
    return;
  }
  const json page = json::parse(call->body_, nullptr, false);
  if (page.value("results", json::array()).size() < aJob.outputs_.size()) {
    return;
  }
  ReadResults(aJob, 0, call->body_);
  aJob.isReadAgain_ = true;
}

void
OrderSoakFixture::ReadJobsAgain()
{
  const auto runFor = [this](milliseconds aTime, auto&& aAction) {
    const auto end = Clock::now() + aTime;
    while (Clock::now() < end) {
      RunStep();
      aAction();
    }
  };
  runFor(kTimeToSettle, [] {});
  CancelJobCalls();
  std::move(jobs_.begin(), jobs_.end(), std::back_inserter(doneJobs_));
  jobs_.clear();
  std::erase_if(doneJobs_, [](const auto& aJob) {
    return !aJob->isAccepted_ || Clock::now() - aJob->createdAt_ > kJobKeepTime;
  });
  if (doneJobs_.size() > kJobsReadAgain) {
    doneJobs_.erase(doneJobs_.begin(),
                    doneJobs_.end() -
                      static_cast<std::ptrdiff_t>(kJobsReadAgain));
  }
  runFor(kTimeToReadAgain, [this] {
    for (const auto& job : doneJobs_) {
      if (!job->isReadAgain_) {
        ReadJobAgain(*job);
      }
    }
  });
  for (const auto& job : doneJobs_) {
    counts_.jobsReadAgain_ += job->isReadAgain_ ? 1 : 0;
    if (!job->isReadAgain_) {
      violations_.push_back(
        fmt::format("job {}: {} results that were read don't come again",
                    job->id_,
                    job->outputs_.size()));
    }
  }
}

} // namespace pumiceturn::adapter
