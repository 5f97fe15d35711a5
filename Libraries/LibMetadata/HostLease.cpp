#include "LibMetadata/HostLease.h"

#include "LibMetadata/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::metadata {

namespace {

/// Pause after a failed call; short compared to the lease's lifetime.
constexpr std::chrono::milliseconds kRetryPause{ 300 };

} // namespace

HostLease::HostLease(boost::asio::io_context& aContext,
                     StoreClient& aClient,
                     StoreHealth& aHealth,
                     Options aOptions)
  : client_(aClient)
  , health_(aHealth)
  , options_(std::move(aOptions))
  , timer_(aContext)
{
}

void
HostLease::Schedule(base::Duration aPause, void (HostLease::*aStep)())
{
  isWaiting_ = true;
  timer_.Start(aPause, [this, aStep] {
    isWaiting_ = false;
    (this->*aStep)();
  });
}

void
HostLease::RecordCall(StoreStatus aStatus, base::Instant aMadeAt)
{
  const bool hasResponse =
    aStatus == StoreStatus::Ok || aStatus == StoreStatus::NotFound;
  // A call that timed out shows that the outage began no later than the call.
  health_.RecordCall(hasResponse, hasResponse ? base::MonotonicNow() : aMadeAt);
}

void
HostLease::Grant()
{
  const base::Instant madeAt = base::MonotonicNow();
  const base::BootInstant until = base::BootNow() + options_.term_.lifetime_;
  const Term term = options_.term_;
  const auto onResponse = [this, madeAt, until, term](LeaseResponse aResponse) {
    RecordCall(aResponse.status_, madeAt);
    if (isEnded_) {
      return;
    }
    if (aResponse.status_ != StoreStatus::Ok) {
      Schedule(kRetryPause, &HostLease::Grant);
      return;
    }
    lease_ = aResponse.lease_;
    leaseTerm_ = term;
    leaseUntil_ = until;
    Register();
  };
  client_.GrantLease(term.lifetime_, lifetime_.Guard(onResponse));
}

void
HostLease::Register()
{
  // The write may take effect although its response is lost.
  LimitRegistration(leaseUntil_);
  Transaction transaction;
  transaction.writes_.push_back({ options_.key_, options_.value_, lease_ });
  const auto onResponse = [this](const TransactionResponse& aResponse) {
    if (isEnded_) {
      return;
    }
    if (aResponse.status_ == StoreStatus::NotFound) {
      Grant();
      return;
    }
    if (aResponse.status_ != StoreStatus::Ok) {
      Schedule(kRetryPause, &HostLease::Register);
      return;
    }
    OnRegistered();
    if (const auto replaced = std::exchange(replacedLease_, 0)) {
      client_.EndLease(replaced, [](LeaseResponse) {});
    }
    ScheduleRenewal();
  };
  client_.Commit(transaction, lifetime_.Guard(onResponse));
}

void
HostLease::OnRegistered()
{
  const base::BootInstant now = base::BootNow();
  const bool hadEnded = !isRegistered_ || now >= registeredUntil_;
  if (std::exchange(hasBeenRegistered_, true) && hadEnded) {
    registeredSince_ = now;
  }
  isRegistered_ = true;
  registeredUntil_ = leaseUntil_;
  base::Log(kLeaseGranted, { { "lease", lease_ } });
  onRegistered_();
}

void
HostLease::RecordRenewal(base::BootInstant aMadeAt)
{
  leaseUntil_ = aMadeAt + leaseTerm_.lifetime_;
  if (!isRegistered_) {
    return;
  }
  const base::BootInstant now = base::BootNow();
  if (now >= registeredUntil_) {
    // The lease lives, but the key may have been removed meanwhile.
    registeredSince_ = now;
  }
  registeredUntil_ = leaseUntil_;
}

void
HostLease::LimitRegistration(base::BootInstant aUntil)
{
  registeredUntil_ = std::min(registeredUntil_, aUntil);
}

void
HostLease::SetTerm(Term aTerm)
{
  if (options_.term_ == aTerm || isEnded_) {
    return;
  }
  options_.term_ = aTerm;
  if (isRegistered_ && isWaiting_) {
    ScheduleRenewal();
  }
}

void
HostLease::ScheduleRenewal()
{
  Schedule(leaseTerm_ == options_.term_ ? options_.term_.renewalInterval_
                                        : base::Duration::zero(),
           &HostLease::Renew);
}

void
HostLease::Renew()
{
  if (leaseTerm_ != options_.term_) {
    replacedLease_ = lease_;
    Grant();
    return;
  }
  const base::Instant madeAt = base::MonotonicNow();
  const base::BootInstant sentAt = base::BootNow();
  const auto onResponse = [this, madeAt, sentAt](LeaseResponse aResponse) {
    RecordCall(aResponse.status_, madeAt);
    if (isEnded_) {
      return;
    }
    if (aResponse.status_ == StoreStatus::NotFound) {
      isRegistered_ = false;
      LimitRegistration(base::BootNow());
      base::Log(kLeaseLost, { { "lease", lease_ } });
      Grant();
      return;
    }
    const bool isOk = aResponse.status_ == StoreStatus::Ok;
    if (isOk) {
      RecordRenewal(sentAt);
    }
    if (isOk && !isRegistered_) {
      Register();
      return;
    }
    if (isOk) {
      ScheduleRenewal();
    } else {
      Schedule(kRetryPause, &HostLease::Renew);
    }
  };
  client_.RenewLease(lease_, lifetime_.Guard(onResponse));
}

void
HostLease::OnKeyRemoved()
{
  if (!isRegistered_ || isEnded_) {
    return;
  }
  // The next renewal shows whether the lease has ended too.
  isRegistered_ = false;
  LimitRegistration(base::BootNow());
  base::Log(kLeaseLost, { { "lease", lease_ } });
}

void
HostLease::End(std::function<void()> aDone)
{
  isEnded_ = true;
  LimitRegistration(base::BootNow());
  timer_.Cancel();
  if (lease_ == 0) {
    aDone();
    return;
  }
  client_.EndLease(lease_,
                   [done = std::move(aDone)](LeaseResponse) { done(); });
}

} // namespace pumiceturn::metadata
