#include "LibPlatform/KeyValueClient.h"

#include "LibPlatform/CallBudget.h"
#include "LibPlatform/Events.h"
#include "LibPlatform/Gateway.h"
#include "LibPlatform/HttpConnections.h"
#include "LibPlatform/KeyValueWatch.h"

#include <atomic>
#include <mutex>
#include <utility>

namespace pumiceturn::platform {

namespace {

using base::Fail;
using base::Result;
using base::ResultCode;

constexpr double kBurstSeconds = 2.0;
constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;

/// Whether sending a call again is harmless.
enum class CallKind : std::uint8_t
{
  Read,
  Write,
};

std::string
DescribeFailure(const std::string& aAddress, const httplib::Result& aResult)
{
  const std::string reason =
    aResult ? "status " + std::to_string(aResult->status) + " " + aResult->body
            : httplib::to_string(aResult.error());
  return aAddress + ": " + reason;
}

/// A write whose answer did not come, or that the service gave up on half way,
/// may still take effect, even later.
bool
MayHaveEffect(const httplib::Result& aResult)
{
  return aResult ? aResult->status >= kFirstServerError
                 : !IsNeverSent(aResult.error());
}

} // namespace

struct KeyValueClient::State
{
  explicit State(Options aOptions)
    : options_(std::move(aOptions))
    , budget_(
        { options_.callsPerSecond_, options_.callsPerSecond_ * kBurstSeconds },
        base::MonotonicNow())
  {
    for (const std::string& address : options_.addresses_) {
      connections_.push_back(
        std::make_unique<HttpConnections>(address, options_.callTimeout_));
    }
  }

  Result<std::string> Call(CallKind aKind,
                           const char* aPath,
                           const std::string& aBody);
  Result<std::string> TryAddresses(CallKind aKind,
                                   const char* aPath,
                                   const std::string& aBody);
  Result<std::uint64_t> Change(const std::string& aBody);
  base::Duration TakeCall();

  const Options options_;
  std::vector<std::unique_ptr<HttpConnections>> connections_;
  std::atomic<std::size_t> preferred_{ 0 };
  std::atomic<std::uint64_t> calls_{ 0 };
  std::atomic<bool> stopped_{ false };
  std::mutex mutex_; ///< Of the members below.
  CallBudget budget_;
  std::vector<std::unique_ptr<KeyValueWatch>> watches_;
};

/// @return zero when a call was taken, else the wait until one is left.
base::Duration
KeyValueClient::State::TakeCall()
{
  const base::Instant now = base::MonotonicNow();
  const std::lock_guard lock(mutex_);
  if (!budget_.TryTake(now)) {
    return budget_.UntilNext(now);
  }
  ++calls_;
  return base::Duration::zero();
}

Result<std::string>
KeyValueClient::State::Call(CallKind aKind,
                            const char* aPath,
                            const std::string& aBody)
{
  if (stopped_) {
    return Fail(ResultCode::PlatformUnavailable, "the client is stopped");
  }
  if (TakeCall() > base::Duration::zero()) {
    return Fail(ResultCode::BudgetExhausted, "key-value call budget");
  }
  return TryAddresses(aKind, aPath, aBody);
}

Result<std::string>
KeyValueClient::State::TryAddresses(CallKind aKind,
                                    const char* aPath,
                                    const std::string& aBody)
{
  const base::Instant deadline = base::MonotonicNow() + options_.callTimeout_;
  const std::size_t first = preferred_;
  std::string reason = "no address";
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    const std::size_t index = (first + i) % connections_.size();
    HttpConnections& connections = *connections_[index];
    const httplib::Result result = connections.Post(aPath, aBody);
    if (result && result->status == kStatusOk) {
      preferred_ = index;
      return result->body;
    }
    reason = DescribeFailure(connections.Address(), result);
    if (aKind == CallKind::Write && MayHaveEffect(result)) {
      // Another address would have to be told whether this one did it; the
      // writer finds out by reading back.
      base::Log(kOutcomeUnknown, { { "reason", reason } });
      return Fail(ResultCode::PlatformOutcomeUnknown, reason);
    }
    if (base::MonotonicNow() >= deadline) {
      return Fail(ResultCode::TimedOut, reason);
    }
  }
  base::Log(kCallFailed, { { "path", aPath }, { "reason", reason } });
  return Fail(ResultCode::PlatformUnavailable, reason);
}

Result<std::uint64_t>
KeyValueClient::State::Change(const std::string& aBody)
{
  BOOST_LEAF_AUTO(body,
                  Call(CallKind::Write, gateway::kTransactionPath, aBody));
  const auto reply =
    base::Capture([&] { return gateway::DecodeTransaction(body); });
  if (const auto* failure = std::get_if<base::Failure>(&reply)) {
    return Fail(ResultCode::PlatformOutcomeUnknown, failure->detail_);
  }
  const auto& transaction = std::get<0>(reply);
  if (!transaction.succeeded_) {
    return Fail(ResultCode::PlatformConflict);
  }
  return transaction.revision_;
}

std::unique_ptr<KeyValueClient>
KeyValueClient::Make(Options aOptions)
{
  return std::unique_ptr<KeyValueClient>(
    new KeyValueClient(std::make_unique<State>(std::move(aOptions))));
}

KeyValueClient::KeyValueClient(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

KeyValueClient::~KeyValueClient()
{
  Stop();
}

Result<std::optional<KeyValue>>
KeyValueClient::Get(std::string_view aKey)
{
  const gateway::KeyRange range{ std::string(aKey), {} };
  BOOST_LEAF_AUTO(body,
                  state_->Call(CallKind::Read,
                               gateway::kRangePath,
                               gateway::EncodeRange(range)));
  BOOST_LEAF_AUTO(reply, gateway::DecodeRange(body));
  if (reply.entries_.empty()) {
    return std::optional<KeyValue>{};
  }
  return std::optional<KeyValue>{ std::move(reply.entries_.front()) };
}

Result<RangeReply>
KeyValueClient::Range(std::string_view aPrefix)
{
  const gateway::KeyRange range = gateway::RangeOfPrefix(aPrefix);
  return RangeBetween(range.first_, range.end_);
}

Result<RangeReply>
KeyValueClient::RangeKeys(std::string_view aPrefix)
{
  const gateway::KeyRange range = gateway::RangeOfPrefix(aPrefix);
  BOOST_LEAF_AUTO(body,
                  state_->Call(CallKind::Read,
                               gateway::kRangePath,
                               gateway::EncodeKeyRange(range)));
  return gateway::DecodeRange(body);
}

Result<RangeReply>
KeyValueClient::RangeBetween(std::string_view aFirst, std::string_view aEnd)
{
  const gateway::KeyRange range{ std::string(aFirst), std::string(aEnd) };
  BOOST_LEAF_AUTO(body,
                  state_->Call(CallKind::Read,
                               gateway::kRangePath,
                               gateway::EncodeRange(range)));
  return gateway::DecodeRange(body);
}

Result<std::vector<KeyValue>>
KeyValueClient::GetMany(const std::vector<std::string>& aKeys)
{
  if (aKeys.empty()) {
    return std::vector<KeyValue>{};
  }
  BOOST_LEAF_AUTO(body,
                  state_->Call(CallKind::Read,
                               gateway::kTransactionPath,
                               gateway::EncodeReads(aKeys)));
  BOOST_LEAF_AUTO(reply, gateway::DecodeTransaction(body));
  return std::move(reply.entries_);
}

Result<std::uint64_t>
KeyValueClient::CompareAndSwap(const std::vector<Swap>& aSwaps)
{
  return state_->Change(gateway::EncodeSwaps(aSwaps));
}

Result<void>
KeyValueClient::Delete(std::string_view aKey, std::uint64_t aExpectedRevision)
{
  return DeleteMany({ KeyValue{ std::string(aKey), {}, aExpectedRevision } });
}

Result<void>
KeyValueClient::DeleteMany(const std::vector<KeyValue>& aEntries)
{
  if (aEntries.empty()) {
    return {};
  }
  BOOST_LEAF_CHECK(state_->Change(gateway::EncodeDeletes(aEntries)));
  return {};
}

void
KeyValueClient::Watch(std::string aPrefix,
                      std::uint64_t aAfterRevision,
                      std::function<void(const WatchEvent&)> aHandler,
                      std::function<void()> aBroken)
{
  KeyValueWatch::Options options;
  options.addresses_ = state_->options_.addresses_;
  options.prefix_ = std::move(aPrefix);
  options.afterRevision_ = aAfterRevision;
  options.connectTimeout_ = state_->options_.callTimeout_;
  KeyValueWatch::Handlers handlers{ std::move(aHandler),
                                    std::move(aBroken),
                                    [state = state_.get()] {
                                      return state->TakeCall();
                                    } };
  const std::lock_guard lock(state_->mutex_);
  if (state_->stopped_ || options.addresses_.empty()) {
    return;
  }
  state_->watches_.push_back(
    std::make_unique<KeyValueWatch>(std::move(options), std::move(handlers)));
}

void
KeyValueClient::Stop()
{
  std::vector<std::unique_ptr<KeyValueWatch>> watches;
  {
    const std::lock_guard lock(state_->mutex_);
    state_->stopped_ = true;
    watches.swap(state_->watches_);
  }
  watches.clear();
}

std::uint64_t
KeyValueClient::CallCount() const
{
  return state_->calls_;
}

} // namespace pumiceturn::platform
