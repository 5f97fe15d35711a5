#include "LibEntry/RequestChecks.h"

#include "LibBase/TokenDigest.h"
#include "LibRouting/Fingerprint.h"

#include <fmt/format.h>

#include <algorithm>
#include <span>

namespace pumiceturn::entry {

using base::Fail;
using base::ResultCode;

namespace {

constexpr std::string_view kBearer = "Bearer ";

template<typename Number>
Number
OrDefault(Number aGiven, Number aDefault)
{
  return aGiven == 0 ? aDefault : aGiven;
}

/// The fields that both types of online calls have in common.
struct OnlineFields
{
  std::string_view service_;
  std::string_view kind_;
  std::string_view key_;
  std::uint32_t deadlineMs_ = 0;
  std::string_view payload_;
  std::uint32_t maxTokens_ = 0;
  declarations::ServiceType type_ = declarations::SERVICE_TYPE_MODEL;
};

base::Result<const declarations::RequestKind*>
FindAllowedKind(const configuration::Snapshot& aConfiguration,
                const declarations::Partner& aPartner,
                std::string_view aService,
                std::string_view aKind)
{
  const auto& allowed = aPartner.services();
  const bool isAllowed =
    std::find(allowed.begin(), allowed.end(), aService) != allowed.end();
  if (!isAllowed || aConfiguration.FindService(aService) == nullptr) {
    return Fail(ResultCode::UnknownService, std::string(aService));
  }
  const auto* kind = aConfiguration.FindKind(aService, aKind);
  if (kind == nullptr) {
    return Fail(ResultCode::UnknownKind, std::string(aKind));
  }
  return kind;
}

base::Result<std::uint32_t>
CheckMaxTokens(const declarations::RequestKind& aKind, std::uint32_t aRequested)
{
  const std::uint32_t limit = OrDefault(aKind.max_tokens(), kDefaultMaxTokens);
  if (aRequested > limit) {
    return Fail(
      ResultCode::OutOfRange,
      fmt::format("max_tokens {} exceeds the limit of {}", aRequested, limit));
  }
  return OrDefault(aRequested, limit);
}

base::Result<base::Duration>
CheckTimeLimit(const declarations::RequestKind& aKind,
               std::uint32_t aRequestedMs,
               base::Duration aTimeLeft)
{
  if (aRequestedMs > kMaxDeadlineMs) {
    return Fail(ResultCode::OutOfRange,
                fmt::format("deadline_ms {} exceeds the limit of {}",
                            aRequestedMs,
                            kMaxDeadlineMs));
  }
  const std::uint32_t requested =
    OrDefault(aRequestedMs, OrDefault(aKind.deadline_ms(), kDefaultDeadlineMs));
  const base::Duration timeLimit =
    std::min<base::Duration>(std::chrono::milliseconds{ requested }, aTimeLeft);
  if (timeLimit <= base::Duration::zero()) {
    return Fail(ResultCode::DeadlineTooShort);
  }
  return timeLimit;
}

base::Result<OnlineDescription>
Describe(const configuration::Snapshot& aConfiguration,
         const declarations::Partner& aPartner,
         const OnlineFields& aFields,
         const Arrival& aArrival)
{
  BOOST_LEAF_AUTO(
    kind,
    FindAllowedKind(aConfiguration, aPartner, aFields.service_, aFields.kind_));
  const bool isMatchingKind =
    kind->priority() == declarations::PRIORITY_ONLINE &&
    aConfiguration.FindService(aFields.service_)->type() == aFields.type_;
  if (!isMatchingKind) {
    return Fail(ResultCode::WrongPriority, std::string(aFields.kind_));
  }
  const std::uint32_t limit =
    OrDefault(kind->max_item_bytes(), kDefaultMaxItemBytes);
  if (aFields.payload_.size() > limit) {
    return Fail(ResultCode::ItemTooLarge,
                fmt::format("{} bytes exceed the limit of {}",
                            aFields.payload_.size(),
                            limit));
  }
  if (aFields.key_.size() > kMaxKeyBytes) {
    return Fail(ResultCode::InvalidRequest, "request_key is too long");
  }
  BOOST_LEAF_AUTO(maxTokens, CheckMaxTokens(*kind, aFields.maxTokens_));
  BOOST_LEAF_AUTO(
    deadline, CheckTimeLimit(*kind, aFields.deadlineMs_, aArrival.timeLeft_));

  OnlineDescription description;
  wire::RecordRequest& record = description.record_;
  record.partner_ = aPartner.name();
  record.service_ = aFields.service_;
  record.kind_ = aFields.kind_;
  record.key_ = aFields.key_.empty() ? fmt::format("made-{:016x}{:016x}",
                                                   aArrival.random_,
                                                   aArrival.secondRandom_)
                                     : std::string(aFields.key_);
  record.job_ = base::MakeJobId(record.partner_, record.key_);
  record.payload_ = aFields.payload_;
  record.maxTokens_ = maxTokens;
  record.digest_ =
    base::HashBytes(record.payload_,
                    base::HashBytes(fmt::format(
                      "{}/{}/{}", record.service_, record.kind_, maxTokens)));
  record.idempotent_ =
    kind->idempotency() == declarations::IDEMPOTENCY_IDEMPOTENT;
  record.retentionS_ = OrDefault(kind->retention_s(), kDefaultRetentionS);
  record.deadlineUnixMs_ =
    base::ToUnixMs(aArrival.wallNow_) + base::ToMs(deadline);
  description.deadline_ = aArrival.now_ + deadline;
  description.maxAttempts_ =
    OrDefault(kind->max_attempts(), kDefaultMaxAttempts);
  description.fingerprint_ =
    routing::MakeFingerprint(record.service_, record.payload_);
  // Plain services have no prompts, so there is nothing to stream or cache.
  description.isStreaming_ = aFields.type_ == declarations::SERVICE_TYPE_MODEL;
  description.prefix_ =
    description.isStreaming_ ? routing::HashPrefix(aFields.payload_) : 0;
  description.random_ = aArrival.random_;
  return description;
}

} // namespace

base::Result<const declarations::Partner*>
Authenticate(const configuration::Snapshot& aConfiguration,
             std::string_view aAuthorization)
{
  if (!aAuthorization.starts_with(kBearer)) {
    return Fail(ResultCode::Unauthenticated, "the request has no bearer token");
  }
  const std::string digest =
    base::ToString(base::DigestToken(aAuthorization.substr(kBearer.size())));
  const auto* partner =
    digest.empty() ? nullptr : aConfiguration.FindPartnerByToken(digest);
  if (partner == nullptr) {
    return Fail(ResultCode::Unauthenticated,
                "the token does not belong to any partner");
  }
  return partner;
}

base::Result<OnlineDescription>
DescribeCall(const configuration::Snapshot& aConfiguration,
             const declarations::Partner& aPartner,
             const caller::CallRequest& aRequest,
             const Arrival& aArrival)
{
  const OnlineFields fields{
    aRequest.service(),
    aRequest.kind(),
    aRequest.request_key(),
    aRequest.deadline_ms(),
    aRequest.prompt(),
    aRequest.max_tokens(),
    declarations::SERVICE_TYPE_MODEL,
  };
  return Describe(aConfiguration, aPartner, fields, aArrival);
}

base::Result<OnlineDescription>
DescribeServiceCall(const configuration::Snapshot& aConfiguration,
                    const declarations::Partner& aPartner,
                    const caller::ServiceCallRequest& aRequest,
                    const Arrival& aArrival)
{
  const OnlineFields fields{
    aRequest.service(),
    aRequest.kind(),
    aRequest.request_key(),
    aRequest.deadline_ms(),
    aRequest.payload(),
    0,
    declarations::SERVICE_TYPE_PLAIN,
  };
  return Describe(aConfiguration, aPartner, fields, aArrival);
}

base::Result<CheckedJobHeader>
DescribeJob(const configuration::Snapshot& aConfiguration,
            const declarations::Partner& aPartner,
            const caller::JobHeader& aHeader,
            base::WallTime aWallNow)
{
  BOOST_LEAF_AUTO(
    kind,
    FindAllowedKind(
      aConfiguration, aPartner, aHeader.service(), aHeader.kind()));
  if (kind->priority() != declarations::PRIORITY_BATCH) {
    return Fail(ResultCode::WrongPriority, aHeader.kind());
  }
  if (aHeader.job_key().size() > kMaxKeyBytes) {
    return Fail(ResultCode::InvalidRequest, "job_key is too long");
  }
  BOOST_LEAF_AUTO(maxTokens, CheckMaxTokens(*kind, aHeader.max_tokens()));
  const std::int64_t now = base::ToUnixMs(aWallNow);
  constexpr std::int64_t kMsPerS = 1000;
  const auto defaultDue =
    static_cast<std::int64_t>(OrDefault(kind->default_due_s(), kDefaultDueS));
  const std::int64_t due =
    OrDefault(aHeader.due_unix_ms(), now + (defaultDue * kMsPerS));
  const bool isTooFar =
    kind->max_due_s() > 0 &&
    due > now + (static_cast<std::int64_t>(kind->max_due_s()) * kMsPerS);
  if (due <= now || isTooFar) {
    return Fail(ResultCode::DueTimePassed,
                due <= now
                  ? "the due time has passed"
                  : "the due time is later than the request kind allows");
  }
  CheckedJobHeader checkedHeader;
  checkedHeader.job_.partner_ = aPartner.name();
  checkedHeader.job_.service_ = aHeader.service();
  checkedHeader.job_.kind_ = aHeader.kind();
  checkedHeader.job_.key_ = aHeader.job_key();
  checkedHeader.job_.dueUnixMs_ = due;
  checkedHeader.job_.retentionS_ =
    OrDefault(kind->retention_s(), kDefaultRetentionS);
  checkedHeader.job_.maxTokens_ = maxTokens;
  checkedHeader.job_.maxAttempts_ =
    OrDefault(kind->max_attempts(), kDefaultMaxAttempts);
  checkedHeader.job_.idempotent_ =
    kind->idempotency() == declarations::IDEMPOTENCY_IDEMPOTENT;
  checkedHeader.maxItemBytes_ =
    OrDefault(kind->max_item_bytes(), kDefaultMaxItemBytes);
  checkedHeader.maxItems_ = OrDefault(kind->max_items(), kDefaultMaxItems);
  checkedHeader.declaredItems_ = aHeader.items();
  return checkedHeader;
}

base::Result<std::string>
CheckKey(const std::string& aKey)
{
  if (aKey.empty() || aKey.size() > kMaxKeyBytes) {
    return Fail(ResultCode::InvalidRequest, "the key is empty or too long");
  }
  return aKey;
}

} // namespace pumiceturn::entry
