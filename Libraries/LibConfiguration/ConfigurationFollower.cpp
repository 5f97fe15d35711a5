#include "LibConfiguration/ConfigurationFollower.h"

#include "LibBase/Strand.h"
#include "LibConfiguration/Events.h"
#include "LibConfiguration/Keys.h"

#include <atomic>
#include <random>
#include <utility>

namespace pumiceturn::configuration {

namespace {

using platform::KeyValue;
using Reply = SpreadDecision::Reply;

constexpr std::chrono::milliseconds kIdleStepInterval{ 500 };
constexpr std::chrono::milliseconds kBusyStepInterval{ 20 };
constexpr std::size_t kMostPartsInCall = 64;
/// Processes that hear of changes from peers poll this much less often.
constexpr int kRarePollFactor = 12;

SpreadDecision::Options
ToSpreadOptions(const ConfigurationFollower::Options& aOptions)
{
  SpreadDecision::Options options;
  options.fetchTimeout_ = aOptions.fetchTimeout_;
  options.pollInterval_ = aOptions.pollInterval_;
  if (aOptions.platformUse_ == PlatformUse::PollRarely) {
    options.pollInterval_ = aOptions.pollInterval_ * kRarePollFactor;
    options.firstPollWithin_ = aOptions.pollInterval_;
  }
  return options;
}

std::string
SourceName(const SpreadRequest& aRequest)
{
  return aRequest.peer_.value_or("key-value service");
}

} // namespace

/// All but the constant members and stopped_ belong to the strand's tasks.
struct ConfigurationFollower::State : std::enable_shared_from_this<State>
{
  State(Options aOptions,
        platform::KeyValueClient& aClient,
        ConfigurationCache& aCache,
        base::WorkerPool& aPool,
        Send aSend)
    : options_(std::move(aOptions))
    , client_(aClient)
    , cache_(aCache)
    , pool_(aPool)
    , send_(std::move(aSend))
    , strand_(aPool)
    , random_(std::random_device{}())
    , replica_(options_.scope_,
               ToSpreadOptions(options_),
               base::MonotonicNow(),
               Random())
  {
  }

  double Random() { return uniform_(random_); }

  /// Runs a task on the strand, then sends what is to be fetched next.
  template<typename Task>
  void Do(Task aTask)
  {
    // The strand belongs to the state: a task that kept the state alive would
    // keep itself too, where the pool stops before it runs.
    strand_.Post([weak = weak_from_this(), task = std::move(aTask)]() mutable {
      const auto self = weak.lock();
      if (self && !self->stopped_) {
        task(*self);
        self->Step();
      }
    });
  }

  void Step();
  void StepAgainSoon();
  void Fetch(const SpreadRequest& aRequest);
  void FetchFromPeer(const SpreadRequest& aRequest);
  void FetchFromPlatform(const SpreadRequest& aRequest);
  void TakePlatformHead(std::uint64_t aCall,
                        base::Outcome<std::optional<KeyValue>> aOutcome);
  void TakePlatformParts(std::uint64_t aCall,
                         base::Outcome<std::vector<KeyValue>> aOutcome);
  void OnReply(std::uint64_t aCall, Reply aReply, std::string_view aReason);
  void WatchAfter(std::uint64_t aRevision);
  void Install();

  const Options options_;
  platform::KeyValueClient& client_;
  ConfigurationCache& cache_;
  base::WorkerPool& pool_;
  const Send send_;
  base::Strand strand_;
  std::atomic<bool> stopped_{ false };
  std::minstd_rand random_;
  std::uniform_real_distribution<double> uniform_{ 0.0, 1.0 };
  ConfigurationReplica replica_;
  bool watching_ = false;
  bool stepsSoon_ = false;
};

void
ConfigurationFollower::State::Step()
{
  Install();
  while (auto request =
           replica_.Spread().Next(base::MonotonicNow(), Random())) {
    Fetch(*request);
  }
  StepAgainSoon();
}

/// While something is fetched, waits and timeouts are counted in tens of
/// milliseconds; else steps that often would be most of an idle host's cost.
void
ConfigurationFollower::State::StepAgainSoon()
{
  if (!replica_.Spread().IsBusy() || stepsSoon_) {
    return;
  }
  stepsSoon_ = true;
  const std::weak_ptr<State> weak = weak_from_this();
  pool_.PostAt(base::MonotonicNow() + kBusyStepInterval, [weak] {
    if (const auto self = weak.lock()) {
      self->Do([](State& aState) { aState.stepsSoon_ = false; });
    }
  });
}

void
ConfigurationFollower::State::Install()
{
  auto configuration = replica_.TakeInstallable();
  if (configuration) {
    cache_.Install(*std::move(configuration));
  }
}

void
ConfigurationFollower::State::Fetch(const SpreadRequest& aRequest)
{
  // Polls of the service come every few seconds and decide nothing.
  if (aRequest.version_ > 0) {
    base::Log(kFetchDecided,
              { { "source", SourceName(aRequest) },
                { "version", aRequest.version_ },
                { "parts", aRequest.parts_.size() },
                { "held", replica_.Version() } });
  }
  if (aRequest.peer_) {
    FetchFromPeer(aRequest);
    return;
  }
  FetchFromPlatform(aRequest);
}

void
ConfigurationFollower::State::FetchFromPeer(const SpreadRequest& aRequest)
{
  const base::ResultCode code =
    send_(*aRequest.peer_,
          wire::FetchConfiguration{
            aRequest.call_, aRequest.version_, aRequest.parts_ });
  if (code != base::ResultCode::Ok) {
    OnReply(aRequest.call_, Reply::Useless, "not sent");
  }
}

void
ConfigurationFollower::State::FetchFromPlatform(const SpreadRequest& aRequest)
{
  const std::uint64_t call = aRequest.call_;
  if (aRequest.parts_.empty()) {
    pool_.Post([self = shared_from_this(), call] {
      auto outcome = base::Capture([&] {
        return self->client_.Get(keys::Head(self->options_.keyPrefix_));
      });
      self->Do([call, outcome = std::move(outcome)](State& aState) mutable {
        aState.TakePlatformHead(call, std::move(outcome));
      });
    });
    return;
  }
  std::vector<std::string> wanted;
  for (const std::uint64_t digest : aRequest.parts_) {
    if (wanted.size() < kMostPartsInCall) {
      wanted.push_back(keys::Part(options_.keyPrefix_, digest));
    }
  }
  pool_.Post([self = shared_from_this(), call, wanted = std::move(wanted)] {
    auto outcome = base::Capture([&] { return self->client_.GetMany(wanted); });
    self->Do([call, outcome = std::move(outcome)](State& aState) mutable {
      aState.TakePlatformParts(call, std::move(outcome));
    });
  });
}

void
ConfigurationFollower::State::TakePlatformHead(
  std::uint64_t aCall,
  base::Outcome<std::optional<KeyValue>> aOutcome)
{
  if (const auto* failure = std::get_if<base::Failure>(&aOutcome)) {
    OnReply(aCall, Reply::Useless, failure->detail_);
    return;
  }
  const auto& entry = std::get<0>(aOutcome);
  const bool isLower = entry && replica_.TakeHead(entry->value_) ==
                                  ConfigurationReplica::HeadNews::Lower;
  if (isLower) {
    base::Log(kPlatformBehind, { { "held", replica_.Version() } });
  }
  WatchAfter(entry ? entry->modRevision_ : 0);
  OnReply(aCall, Reply::Useful, {});
}

void
ConfigurationFollower::State::TakePlatformParts(
  std::uint64_t aCall,
  base::Outcome<std::vector<KeyValue>> aOutcome)
{
  if (const auto* failure = std::get_if<base::Failure>(&aOutcome)) {
    OnReply(aCall, Reply::Useless, failure->detail_);
    return;
  }
  std::vector<wire::ConfigurationPart> parts;
  for (KeyValue& entry : std::get<0>(aOutcome)) {
    parts.push_back({ 0, std::move(entry.value_) });
  }
  const bool useful = replica_.TakeParts(parts);
  OnReply(
    aCall, useful ? Reply::Useful : Reply::Useless, "the parts are not there");
}

void
ConfigurationFollower::State::OnReply(std::uint64_t aCall,
                                      Reply aReply,
                                      std::string_view aReason)
{
  if (aReply != Reply::Useful) {
    base::Log(kFetchFailed,
              { { "reason", aReason }, { "held", replica_.Version() } });
  }
  replica_.Spread().OnReply(aCall, aReply, base::MonotonicNow(), Random());
}

/// Arms the watch once, after the first head that was read.
void
ConfigurationFollower::State::WatchAfter(std::uint64_t aRevision)
{
  if (options_.platformUse_ != PlatformUse::Watch || watching_) {
    return;
  }
  watching_ = true;
  const std::weak_ptr<State> weak = weak_from_this();
  client_.Watch(
    keys::Head(options_.keyPrefix_),
    aRevision,
    [weak](const platform::WatchEvent& aEvent) {
      const auto self = weak.lock();
      if (self && !aEvent.deleted_) {
        self->Do([head = aEvent.entry_.value_](State& aState) {
          aState.replica_.TakeHead(head);
        });
      }
    },
    [weak] {
      if (const auto self = weak.lock()) {
        self->Do([](State& aState) { aState.replica_.Spread().PollSoon(); });
      }
    });
}

ConfigurationFollower::ConfigurationFollower(Options aOptions,
                                             platform::KeyValueClient& aClient,
                                             ConfigurationCache& aCache,
                                             base::WorkerPool& aPool,
                                             Send aSend)
  : state_(std::make_shared<State>(std::move(aOptions),
                                   aClient,
                                   aCache,
                                   aPool,
                                   std::move(aSend)))
{
}

ConfigurationFollower::~ConfigurationFollower()
{
  Stop();
}

void
ConfigurationFollower::Start()
{
  state_->Do([](State&) {});
  const std::weak_ptr<State> weak = state_;
  state_->pool_.PostEvery(kIdleStepInterval, [weak] {
    if (const auto self = weak.lock()) {
      self->Do([](State&) {});
    }
  });
}

void
ConfigurationFollower::Stop()
{
  state_->stopped_ = true;
}

void
ConfigurationFollower::SetPollers(std::size_t aPollers)
{
  state_->Do([aPollers](State& aState) {
    aState.replica_.Spread().SetPollers(aPollers);
  });
}

void
ConfigurationFollower::OnHeartbeatVersion(const std::string& aPeer,
                                          std::uint64_t aVersion)
{
  state_->Do([aPeer, aVersion](State& aState) {
    aState.replica_.Spread().OnPeerVersion(aPeer, aVersion);
  });
}

void
ConfigurationFollower::OnPeerLost(const std::string& aPeer)
{
  state_->Do(
    [aPeer](State& aState) { aState.replica_.Spread().OnPeerLost(aPeer); });
}

void
ConfigurationFollower::OnMessage(const std::string& aPeer,
                                 wire::FetchConfiguration aRequest)
{
  state_->Do([aPeer, request = std::move(aRequest)](State& aState) {
    aState.send_(aPeer, aState.replica_.Serve(request));
  });
}

void
ConfigurationFollower::OnMessage(const std::string&,
                                 wire::ConfigurationContent aContent)
{
  state_->Do([content = std::move(aContent)](State& aState) {
    const Reply reply = aState.replica_.TakeContent(content);
    aState.OnReply(content.call_, reply, "the peer had nothing new");
  });
}

} // namespace pumiceturn::configuration
