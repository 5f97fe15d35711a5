#include "LibFleet/OriginInquiry.h"
#include "LibFleet/ServiceVersions.h"
#include "LibGateway/ServiceVersionStore.h"
#include "Tests/Platform/ModelVersionStore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using fleet::ServiceVersions;

namespace {

const std::string kService = "service";
const std::string kKeyPrefix = "versions/";

/// As for a route with a timeout of 2 s.
constexpr base::Duration kLifetime = 4s;
constexpr base::Duration kStep = ModelVersionStore::kStep;
constexpr base::Duration kTick = 100ms;
constexpr std::size_t kHosts = 4;

/// What an entry host knows of the versions of its service.
struct ModelHost
{
  ModelHost(ModelVersionStore& aStore, base::Instant aNow)
    : store_(aStore, kKeyPrefix, versions_)
    , startedAt_(aNow)
  {
  }

  ServiceVersions versions_;
  ServiceVersionStore store_;
  base::Instant startedAt_;
  base::Duration lag_{ 0 }; ///< Age of its view of the endpoints.
};

/// A stream whose host was killed, and that its caller resumes.
struct ResumedStream
{
  std::string version_;
  std::size_t host_ = 0;
  base::Instant startedAt_;
  std::unique_ptr<fleet::OriginInquiry> inquiry_;
};

} // namespace

/// Entry hosts whose views of the endpoints lag, versions that come and go, and
/// kills of all hosts at once. No host has a record of any stream, so each
/// decision rests on the versions alone.
class OnlyVersionSearchFixture
{
protected:
  struct Counts
  {
    int streams_ = 0;
    int resumed_ = 0;
    int goneOn_ = 0;
    int joined_ = 0;
  };

  Counts Run(unsigned aSeed)
  {
    random_.seed(aSeed);
    counts_ = {};
    now_ = base::Instant{ 1h };
    endpoints_ = { { now_, { "v1" } } };
    store_ =
      std::make_unique<ModelVersionStore>(now_, random_, kKeyPrefix + kService);
    store_->SetSlowest(DrawOneIn(2) ? 20ms : 300ms);
    hosts_.clear();
    resumed_.clear();
    running_.clear();
    for (std::size_t host = 0; host < kHosts; ++host) {
      hosts_.push_back(nullptr);
      Start(host);
    }
    Advance(2s);
    for (int round = 0; round < 4; ++round) {
      ChangeVersions();
      Advance(Draw(0ms, 700ms));
      KillAll();
      Advance(Draw(100ms, 6s));
    }
    return counts_;
  }

private:
  base::Duration Draw(base::Duration aMin, base::Duration aMax)
  {
    return kStep * std::uniform_int_distribution<int>(
                     static_cast<int>(aMin / kStep),
                     static_cast<int>(aMax / kStep))(random_);
  }
  bool DrawOneIn(int aCount)
  {
    return std::uniform_int_distribution<int>(1, aCount)(random_) == 1;
  }

  /// @return the versions of the endpoints at a time.
  [[nodiscard]] const ServiceVersions::Versions& EndpointsAt(
    base::Instant aTime) const
  {
    const ServiceVersions::Versions* found = &endpoints_.begin()->second;
    for (const auto& [since, versions] : endpoints_) {
      if (since <= aTime) {
        found = &versions;
      }
    }
    return *found;
  }

  [[nodiscard]] const ServiceVersions::Versions& ViewOf(
    const ModelHost& aHost) const
  {
    return EndpointsAt(now_ - aHost.lag_);
  }

  void ChangeVersions()
  {
    // A new version beside the old one, one of them alone, or both.
    auto versions = EndpointsAt(now_);
    const std::string fresh = fmt::format("v{}", ++version_);
    versions.insert(fresh);
    endpoints_[now_] = versions;
    if (DrawOneIn(3)) {
      return;
    }
    const auto gone = DrawOneIn(2) ? fresh : *versions.begin();
    versions.erase(gone);
    endpoints_[now_ + Draw(20ms, 2s)] = versions;
  }

  void Start(std::size_t aHost)
  {
    hosts_[aHost] = std::make_unique<ModelHost>(*store_, now_);
    // The first read of the endpoints may be stale.
    hosts_[aHost]->lag_ = Draw(0ms, DrawOneIn(2) ? 100ms : 3s);
    ModelHost* host = hosts_[aHost].get();
    host->store_.SetOnRead(
      [this, host](base::Instant aSentAt) { OnStoreRead(*host, aSentAt); });
  }

  void KillAll()
  {
    for (auto& stream : running_) {
      resumed_.push_back(std::move(stream));
    }
    running_.clear();
    std::erase_if(resumed_, [](const auto& aStream) {
      return aStream.inquiry_ != nullptr;
    });
    for (std::size_t host = 0; host < kHosts; ++host) {
      Start(host);
    }
    counts_.resumed_ += static_cast<int>(resumed_.size());
  }

  void BeginStreams()
  {
    ModelHost& host = *hosts_[0];
    const auto& view = ViewOf(host);
    const auto* recorded = host.store_.RecordedVersions(kService);
    std::vector<std::string> choices;
    for (const std::string& version : view) {
      if (recorded == nullptr || recorded->contains(version)) {
        choices.push_back(version);
      }
    }
    if (choices.empty()) {
      choices.assign(view.begin(), view.end());
    }
    if (choices.empty() || !host.store_.HasBeenRead()) {
      return;
    }
    ++counts_.streams_;
    running_.push_back(
      { choices[random_() % choices.size()], 0, now_, nullptr });
    std::erase_if(running_, [this](const auto& aStream) {
      return now_ - aStream.startedAt_ > kLifetime / 2;
    });
  }

  void Resume(ResumedStream& aStream)
  {
    aStream.host_ = random_() % kHosts;
    aStream.startedAt_ = now_;
    const ModelHost& own = *hosts_[aStream.host_];
    fleet::OriginEvidence evidence{ fleet::UnknownOrigin{},
                                    own.versions_.OriginsOf(kService) };
    aStream.inquiry_ = std::make_unique<fleet::OriginInquiry>(
      std::move(evidence), true, kHosts - 1);
    aStream.inquiry_->AwaitStore();
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (host != aStream.host_ && DrawOneIn(2)) {
        aStream.inquiry_->Add({ fleet::UnknownOrigin{},
                                hosts_[host]->versions_.OriginsOf(kService) });
      }
    }
    aStream.inquiry_->SetMissing(0);
    hosts_[aStream.host_]->store_.RequestRead(now_);
  }

  void OnStoreRead(const ModelHost& aHost, base::Instant aSentAt)
  {
    for (ResumedStream& stream : resumed_) {
      const bool isServed = stream.inquiry_ != nullptr &&
                            hosts_[stream.host_].get() == &aHost &&
                            stream.startedAt_ <= aSentAt;
      if (isServed) {
        fleet::OriginSet origins;
        if (const auto* recorded = aHost.store_.RecordedVersions(kService)) {
          for (const std::string& version : *recorded) {
            origins.insert({ kService, version });
          }
        }
        stream.inquiry_->AddStoreOrigins(origins);
      }
    }
  }

  void Decide()
  {
    std::erase_if(resumed_, [this](const ResumedStream& aStream) {
      const auto decision =
        aStream.inquiry_ != nullptr ? aStream.inquiry_->Decide() : std::nullopt;
      if (!decision) {
        return false;
      }
      if (const auto* found = std::get_if<fleet::OriginFound>(&*decision)) {
        ++counts_.goneOn_;
        counts_.joined_ += found->origin_.version_ == aStream.version_ ? 0 : 1;
      }
      return true;
    });
  }

  void Advance(base::Duration aTime)
  {
    const base::Instant end = now_ + aTime;
    for (; now_ < end; now_ += kStep) {
      store_->Run();
      const bool isTick =
        (now_.time_since_epoch() / kStep) % (kTick / kStep) == 0;
      for (std::size_t index = 0; index < kHosts && isTick; ++index) {
        ModelHost& host = *hosts_[index];
        if (now_ - host.startedAt_ > 1s) {
          host.lag_ = std::min<base::Duration>(host.lag_, Draw(0ms, 2s));
        }
        for (const std::string& version : ViewOf(host)) {
          host.versions_.Observe(kService, version, now_);
        }
        host.versions_.Expire(kLifetime, now_);
        // The host that writes for all is found some time after a start.
        host.store_.Tick(index == 1 && now_ - host.startedAt_ > 500ms, now_);
      }
      if (isTick) {
        BeginStreams();
      }
      for (ResumedStream& stream : resumed_) {
        if (stream.inquiry_ == nullptr && DrawOneIn(20)) {
          Resume(stream);
        }
      }
      Decide();
    }
  }

  std::mt19937 random_;
  base::Instant now_;
  std::map<base::Instant, ServiceVersions::Versions> endpoints_;
  std::unique_ptr<ModelVersionStore> store_;
  std::vector<std::unique_ptr<ModelHost>> hosts_;
  std::vector<ResumedStream> running_;
  std::vector<ResumedStream> resumed_;
  Counts counts_;
  int version_ = 1;
};

// Guards against joining streams after all entry hosts were killed, in any
// order of a version's coming and going, the store's entry, the views and the
// kill.
TEST_CASE_METHOD(OnlyVersionSearchFixture,
                 "OnlyVersionSearch_AllHostsKilled_NoStreamIsJoined")
{
  Counts all;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    const Counts counts = Run(seed);
    INFO("seed " << seed);
    CHECK(counts.joined_ == 0);
    all.streams_ += counts.streams_;
    all.resumed_ += counts.resumed_;
    all.goneOn_ += counts.goneOn_;
    all.joined_ += counts.joined_;
  }
  std::cout << fmt::format("{} streams, {} resumed, {} went on, {} joined\n",
                           all.streams_,
                           all.resumed_,
                           all.goneOn_,
                           all.joined_);
  CHECK(all.goneOn_ > 0);
}

} // namespace pumiceturn::gateway
