#include "Tests/PlatformSoak/AnswerCheck.h"

#include "Tests/PlatformSoak/EventText.h"
#include "platform/Names.h"

#include <fmt/format.h>

#include <algorithm>

namespace pumiceturn::adapter {

using std::chrono::milliseconds;

namespace {

/// A connection that closes this soon after a request was sent may have been
/// closed before the request arrived.
constexpr milliseconds kCrossingTime{ 20 };

constexpr unsigned kOk = 200;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

bool
IsRefusal(unsigned aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooMany || aStatus == kUnavailable;
}

std::string
WholeBody(const std::string& aVersion, std::size_t aPadding)
{
  std::string text;
  for (std::uint64_t id = 1; id <= ServerStandin::kEventCount; ++id) {
    text += ServerStandin::EventText(id, aVersion, aPadding);
  }
  return text;
}

} // namespace

void
AnswerCheck::AddServer(const ServerStandin& aServer)
{
  for (const auto& run : aServer.Runs()) {
    runs_[run->requestId_].push_back(run.get());
  }
  for (const httpstream::Request& request : aServer.Requests()) {
    ++arrivals_[std::string(httpstream::ValueOf(request, kRequestIdField))];
  }
}

const std::vector<const ServerRun*>&
AnswerCheck::RunsOf(const std::string& aId) const
{
  static const std::vector<const ServerRun*> kNone;
  const auto found = runs_.find(aId);
  return found == runs_.end() ? kNone : found->second;
}

std::string
AnswerCheck::DescribeRuns(const SoakRequest& aRequest, TimePoint aSince) const
{
  std::string text;
  for (const ServerRun* run : RunsOf(aRequest.id_)) {
    const auto end = run->endedAt_.value_or(aSince) - aSince;
    text += fmt::format(" {} from event {} until {} ms",
                        run->version_,
                        run->firstEvent_,
                        std::chrono::duration_cast<milliseconds>(end).count());
  }
  return text.empty() ? " none" : text;
}

void
AnswerCheck::AddViolation(const SoakRequest& aRequest, const std::string& aWhat)
{
  const auto sent = aRequest.sentAt_.value_or(aRequest.progressAt_);
  const auto since = [&](TimePoint aTime) {
    return std::chrono::duration_cast<milliseconds>(aTime - sent).count();
  };
  const std::string stop =
    aRequest.stoppedAt_
      ? fmt::format(", SIGTERM at {} ms", since(*aRequest.stoppedAt_))
      : "";
  violations_.push_back(
    fmt::format("{} ({}, {}): {} at {} ms, status {}, {} events, last bytes at "
                "{} ms{}; server runs:{}",
                aRequest.id_,
                aRequest.route_->name_,
                aRequest.host_,
                aWhat,
                since(aRequest.endedAt_),
                aRequest.status_,
                CountEvents(CompleteEvents(aRequest.body_)),
                since(aRequest.progressAt_),
                stop,
                DescribeRuns(aRequest, sent)));
}

AnswerCheck::TimePoint
AnswerCheck::LastSixthOfGrace(const SoakRequest& aRequest) const
{
  constexpr int kSixths = 6;
  return *aRequest.stoppedAt_ + bounds_.grace_ * (kSixths - 1) / kSixths;
}

AnswerCheck::TimePoint
AnswerCheck::AnswerBy(const SoakRequest& aRequest) const
{
  TimePoint by =
    *aRequest.sentAt_ + std::min(aRequest.deadline_, bounds_.routeTimeout_);
  if (aRequest.stoppedAt_) {
    by = std::min(by, LastSixthOfGrace(aRequest));
  }
  return by - bounds_.margin_ - aRequest.readTime_;
}

bool
AnswerCheck::WouldHaveEnded(const SoakRequest& aRequest,
                            const ServerRun& aRun) const
{
  const std::string events = CompleteEvents(aRequest.body_);
  const std::size_t received = CountEvents(events);
  if (aRun.firstEvent_ > received + 1 || !aRun.endedAt_ ||
      (received > 0 && aRun.version_ != VersionOf(events))) {
    return false;
  }
  TimePoint last = std::max(*aRequest.sentAt_, aRequest.progressAt_);
  const auto isInPatience = [&](TimePoint aArrival) {
    const bool isInTime =
      aArrival <= last + aRequest.patience_ - bounds_.margin_;
    last = std::max(last, aArrival);
    return isInTime;
  };
  for (std::size_t at = received + 1 - aRun.firstEvent_;
       at < aRun.eventsAt_.size();
       ++at) {
    if (!isInPatience(aRun.eventsAt_[at])) {
      return false;
    }
  }
  return isInPatience(*aRun.endedAt_) && last <= AnswerBy(aRequest);
}

bool
AnswerCheck::WouldHaveEnded(const SoakRequest& aRequest) const
{
  const auto& runs = RunsOf(aRequest.id_);
  return aRequest.sentAt_ &&
         std::any_of(runs.begin(), runs.end(), [&](const ServerRun* aRun) {
           return WouldHaveEnded(aRequest, *aRun);
         });
}

bool
AnswerCheck::IsPastGrace(const SoakRequest& aRequest) const
{
  if (!aRequest.stoppedAt_) {
    return false;
  }
  const TimePoint lastSixth = LastSixthOfGrace(aRequest);
  const auto& runs = RunsOf(aRequest.id_);
  const bool isAtServer =
    std::any_of(runs.begin(), runs.end(), [&](const ServerRun* aRun) {
      return aRun->endedAt_ > lastSixth;
    });
  return aRequest.endedAt_ >= *aRequest.stoppedAt_ + bounds_.grace_ ||
         (aRequest.endedAt_ >= lastSixth && isAtServer);
}

void
AnswerCheck::CheckResponse(const SoakRequest& aRequest)
{
  const unsigned status = aRequest.status_;
  if (status == kOk) {
    ++counts_.complete_;
    const std::string whole =
      aRequest.route_->IsStream()
        ? WholeBody(VersionOf(aRequest.body_), aRequest.padding_)
        : "body of the server";
    if (aRequest.body_ != whole || aRequest.echoedId_ != aRequest.id_) {
      AddViolation(aRequest, "a response other than the server's");
    }
    return;
  }
  if (IsRefusal(status)) {
    ++counts_.refused_;
    if (!aRequest.route_->IsIdempotent() && arrivals_[aRequest.id_] > 0) {
      AddViolation(aRequest, "refused though it ran");
    }
    return;
  }
  ++counts_.failed_;
  if (status != kBadGateway && status != kGatewayTimeout) {
    AddViolation(aRequest, "rejected though it is proper");
  } else if (WouldHaveEnded(aRequest)) {
    AddViolation(aRequest, "failed though its server would have answered");
  }
}

void
AnswerCheck::CheckClose(const SoakRequest& aRequest)
{
  if (aRequest.hasResponseBytes_) {
    ++counts_.cut_;
    if (WouldHaveEnded(aRequest)) {
      AddViolation(aRequest, "cut though its server would have ended it");
    }
    return;
  }
  const bool hasRun = !RunsOf(aRequest.id_).empty();
  if (!hasRun && (aRequest.isSentIntoClose_ ||
                  aRequest.endedAt_ - *aRequest.sentAt_ < kCrossingTime)) {
    ++counts_.crossed_;
    return;
  }
  ++counts_.unanswered_;
  if (!IsPastGrace(aRequest)) {
    AddViolation(aRequest,
                 aRequest.isReset_ ? "reset without a response"
                                   : "closed without a response");
  }
}

void
AnswerCheck::Check(const SoakRequest& aRequest)
{
  ++counts_.requests_;
  const std::string events = CompleteEvents(aRequest.body_);
  if (aRequest.status_ == kOk && aRequest.route_->IsStream() &&
      !WholeBody(VersionOf(events), aRequest.padding_).starts_with(events)) {
    AddViolation(aRequest, "events lost, doubled or joined");
  }
  if (!aRequest.route_->IsIdempotent() && arrivals_[aRequest.id_] > 1) {
    AddViolation(aRequest, "ran more than once");
  }
  switch (aRequest.end_) {
    case CallerEnd::Complete:
      CheckResponse(aRequest);
      break;
    case CallerEnd::Closed:
      CheckClose(aRequest);
      break;
    case CallerEnd::GivenUp:
      ++counts_.givenUp_;
      break;
    case CallerEnd::Unanswerable:
      ++counts_.unanswerable_;
      break;
    default:
      AddViolation(aRequest, "no HTTP response, or none until the run's end");
      break;
  }
}

} // namespace pumiceturn::adapter
