#include "LibAccount/RequestAccount.h"

#include "LibBase/Numbers.h"
#include "LibGateway/Events.h"

#include <numeric>
#include <utility>

namespace pumiceturn::account {

namespace {

/// Time within which the two lines of a rejected request are matched. A host
/// writes them one right after the other; the rest allows for its clock being
/// set. It bounds the memory that unmatched lines take.
constexpr std::chrono::seconds kMatchWindow{ 10 };

base::Result<std::string>
Require(const LogLine& aLine, std::string_view aKey)
{
  const std::string* value = aLine.Find(aKey);
  if (value == nullptr) {
    return base::Fail(base::ResultCode::MissingField,
                      "the line has no field " + std::string(aKey));
  }
  return *value;
}

/// @return the field, or an empty text if the line doesn't have it.
std::string
ValueOf(const LogLine& aLine, std::string_view aKey)
{
  const std::string* value = aLine.Find(aKey);
  return value == nullptr ? std::string() : *value;
}

} // namespace

void
RequestCounts::Count(RequestEnd aEnd)
{
  ++counts_[static_cast<std::size_t>(aEnd)];
}

void
RequestCounts::Add(const RequestCounts& aOther)
{
  for (std::size_t end = 0; end < kRequestEnds; ++end) {
    counts_[end] += aOther.counts_[end];
  }
}

std::uint64_t
RequestCounts::Of(RequestEnd aEnd) const
{
  return counts_[static_cast<std::size_t>(aEnd)];
}

std::uint64_t
RequestCounts::Sum() const
{
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{ 0 });
}

RequestAccount::RequestAccount(Options aOptions)
  : options_(aOptions)
{
}

base::Result<void>
RequestAccount::AddLine(std::string_view aText)
{
  if (aText.empty()) {
    return {};
  }
  auto added = [&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(line, ParseLogLine(aText));
    return AddParsed(line);
  }();
  if (!added) {
    ++unreadableLines_;
  }
  return added;
}

void
RequestAccount::Finish()
{
  for (auto& [name, host] : hosts_) {
    SettleAll(host);
  }
}

base::Result<void>
RequestAccount::AddParsed(const LogLine& aLine)
{
  switch (aLine.event_) {
    case gateway::kRequestEnded.number_:
      BOOST_LEAF_CHECK(AddEnded(aLine));
      break;
    case gateway::kRequestNotAdmitted.number_:
      BOOST_LEAF_CHECK(AddHalf(aLine, RequestEnd::RejectedByWait));
      break;
    case gateway::kRequestOverShare.number_:
      BOOST_LEAF_CHECK(AddHalf(aLine, RequestEnd::RejectedByShare));
      break;
    case gateway::kRequestOverRate.number_:
      Count(
        aLine.at_, ValueOf(aLine, "organisation"), RequestEnd::RejectedByRate);
      break;
    case gateway::kCallerRejected.number_:
      Count(aLine.at_, {}, RequestEnd::RejectedByKey);
      break;
    default:
      return {};
  }
  omittedLines_ +=
    base::ParseNumber<std::uint64_t>(ValueOf(aLine, "omitted")).value_or(0);
  return {};
}

base::Result<void>
RequestAccount::AddEnded(const LogLine& aLine)
{
  BOOST_LEAF_AUTO(end, Require(aLine, "end"));
  const std::string organisation = ValueOf(aLine, "organisation");
  if (end == "answered") {
    BOOST_LEAF_AUTO(firstText, Require(aLine, "first_ms"));
    const auto first = base::ParseNumber<std::int64_t>(firstText);
    if (!first) {
      return base::Fail(base::ResultCode::OutOfRange,
                        "first_ms is no number: " + firstText);
    }
    const bool isInTime =
      std::chrono::milliseconds(*first) <= options_.objective_;
    Count(aLine.at_,
          organisation,
          isInTime ? RequestEnd::InTime : RequestEnd::Late);
  } else if (end == "not_run") {
    BOOST_LEAF_CHECK(AddHalf(aLine, std::nullopt));
  } else if (end == "caller_gone") {
    Count(aLine.at_, organisation, RequestEnd::CallerGone);
  } else if (end == "failed" || end == "broken_off" || end == "timed_out" ||
             end == "suspect") {
    Count(aLine.at_, organisation, RequestEnd::Failed);
  } else {
    return base::Fail(base::ResultCode::OutOfRange, "unknown end: " + end);
  }
  return {};
}

base::Result<void>
RequestAccount::AddHalf(const LogLine& aLine, std::optional<RequestEnd> aReason)
{
  BOOST_LEAF_AUTO(request, Require(aLine, "request"));
  Host& host = hosts_[ValueOf(aLine, "host")];
  SettleOld(host, aLine.at_);
  PendingRequest half{ aLine.at_, ValueOf(aLine, "organisation"), aReason };
  const auto found = host.pending_.find(request);
  if (found == host.pending_.end()) {
    host.order_.emplace_back(aLine.at_, request);
    host.pending_.emplace(std::move(request), std::move(half));
    return {};
  }
  PendingRequest& other = found->second;
  if (other.reason_.has_value() == aReason.has_value()) {
    // Another request with the same id.
    Settle(other);
    host.order_.emplace_back(aLine.at_, request);
    other = std::move(half);
    return {};
  }
  const PendingRequest& ended = aReason ? other : half;
  const PendingRequest& rejected = aReason ? half : other;
  // The line with the expected wait has no organisation.
  Count(ended.at_, ended.organisation_, *rejected.reason_);
  host.pending_.erase(found);
  return {};
}

void
RequestAccount::Settle(const PendingRequest& aPending)
{
  Count(aPending.at_,
        aPending.organisation_,
        aPending.reason_.value_or(RequestEnd::NotRun));
}

void
RequestAccount::SettleOld(Host& aHost, std::chrono::sys_seconds aNow)
{
  // An earlier file of this host follows: nothing pending belongs to it.
  if (!aHost.order_.empty() &&
      aHost.order_.back().first > aNow + kMatchWindow) {
    SettleAll(aHost);
  }
  while (!aHost.order_.empty() &&
         aHost.order_.front().first + kMatchWindow < aNow) {
    const auto& [at, request] = aHost.order_.front();
    const auto found = aHost.pending_.find(request);
    if (found != aHost.pending_.end() && found->second.at_ == at) {
      Settle(found->second);
      aHost.pending_.erase(found);
    }
    aHost.order_.pop_front();
  }
}

void
RequestAccount::SettleAll(Host& aHost)
{
  for (const auto& [request, pending] : aHost.pending_) {
    Settle(pending);
  }
  aHost.pending_.clear();
  aHost.order_.clear();
}

void
RequestAccount::Count(std::chrono::sys_seconds aSecond,
                      const std::string& aOrganisation,
                      RequestEnd aEnd)
{
  rows_[{ aSecond, options_.isByOrganisation_ ? aOrganisation : std::string() }]
    .Count(aEnd);
}

} // namespace pumiceturn::account
