#include "Scenarios/ConfigurationStage.h"

#include "Scenarios/Names.h"

#include <algorithm>

namespace pumiceturn::scenarios {

namespace {

using configuration::SpreadDecision;
using configuration::SwapAnswer;
using configuration::SwapStep;

constexpr base::Duration kTick{ std::chrono::milliseconds{ 50 } };
constexpr base::Duration kHeartbeat{ std::chrono::seconds{ 1 } };
constexpr double kRandom = 0.5;

std::string
NameOf(SwapStep aStep)
{
  switch (aStep) {
    case SwapStep::Accepted:
      return "Accepted";
    case SwapStep::Refused:
      return "Refused";
    case SwapStep::NotSent:
      return "NotSent";
    case SwapStep::Unsettled:
      return "Unsettled";
    default:
      return "Working";
  }
}

} // namespace

ConfigurationStage::ConfigurationStage(Arguments& aArguments)
{
  history_[1] = "first";
  const std::uint32_t hosts = aArguments.Number("hosts", 3);
  for (std::uint32_t index = 1; index <= hosts; ++index) {
    StartHost("host-" + std::to_string(index));
  }
}

void
ConfigurationStage::StartHost(const std::string& aName)
{
  Host& host = hosts_[aName];
  host = Host{};
  host.cache_ = std::make_unique<configuration::ConfigurationCache>();
  host.spread_ =
    std::make_unique<SpreadDecision>(SpreadDecision::Options{}, now_, kRandom);
}

ConfigurationStage::Host&
ConfigurationStage::HostOf(const std::string& aName)
{
  const auto found = hosts_.find(aName);
  if (found == hosts_.end()) {
    throw ScenarioError("no host " + aName);
  }
  return found->second;
}

void
ConfigurationStage::Call(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  const std::uint64_t from = aArguments.Number("from_version", 1);
  configuration::SwapDecision::Start start;
  start.baseVersion_ = from;
  start.writeId_ = name;
  changes_.insert_or_assign(
    name, Change{ configuration::SwapDecision(start), from, name });
}

void
ConfigurationStage::Submit(Arguments& /*aArguments*/)
{
  throw ScenarioError("a configuration has no lots");
}

void
ConfigurationStage::Fault(Arguments& aArguments)
{
  loseAnswers_ = aArguments.Number("lose_answers", loseAnswers_);
  outage_ = aArguments.Flag("outage", outage_);
  if (aArguments.Has("restart")) {
    StartHost(aArguments.Text("restart"));
  }
  if (aArguments.Has("old_version_at")) {
    Install(HostOf(aArguments.Text("old_version_at")),
            aArguments.Number("version", 1));
  }
}

SwapAnswer
ConfigurationStage::Swap(const Change& aChange)
{
  if (outage_) {
    return SwapAnswer::Unknown;
  }
  if (history_.rbegin()->first != aChange.from_) {
    return SwapAnswer::Conflict;
  }
  history_[aChange.from_ + 1] = aChange.writeId_;
  if (loseAnswers_ > 0) {
    --loseAnswers_;
    return SwapAnswer::Unknown;
  }
  return SwapAnswer::Accepted;
}

void
ConfigurationStage::Step(Change& aChange)
{
  configuration::SwapDecision& decision = aChange.decision_;
  const SwapStep step = decision.Next();
  if (step == SwapStep::SendSwap) {
    decision.OnSwap(Swap(aChange));
    return;
  }
  const bool isRead =
    step == SwapStep::ReadHead || step == SwapStep::ReadHistory;
  if (!isRead) {
    return;
  }
  if (outage_) {
    decision.OnReadFailed();
  } else if (step == SwapStep::ReadHead) {
    decision.OnHead(history_.rbegin()->first, history_.rbegin()->second);
  } else {
    const auto entry = history_.find(aChange.from_ + 1);
    decision.OnHistory(entry == history_.end()
                         ? std::nullopt
                         : std::optional<std::string>(entry->second));
  }
}

void
ConfigurationStage::Advance(base::Duration aTime)
{
  const base::Instant end = now_ + aTime;
  while (now_ < end) {
    now_ = std::min(end, now_ + kTick);
    for (auto& [name, change] : changes_) {
      Step(change);
    }
    if (now_ >= nextHeartbeat_) {
      nextHeartbeat_ = now_ + kHeartbeat;
      Heartbeat();
    }
    for (auto& [name, host] : hosts_) {
      Spread(name, host);
    }
  }
}

void
ConfigurationStage::Heartbeat()
{
  for (auto& [name, host] : hosts_) {
    for (const auto& [peer, other] : hosts_) {
      if (peer != name) {
        host.spread_->OnPeerVersion(peer, other.cache_->Current()->Version());
      }
    }
  }
}

void
ConfigurationStage::Spread(const std::string& aName, Host& aHost)
{
  while (const auto request = aHost.spread_->Next(now_, kRandom)) {
    if (request->peer_ == aName) {
      throw ScenarioError("a host asked itself");
    }
    Answer(aHost, *request);
  }
}

/// A version is one part, whose digest is the version's number.
void
ConfigurationStage::Answer(Host& aHost,
                           const configuration::SpreadRequest& aRequest)
{
  const auto reply = [&](SpreadDecision::Reply aReply) {
    aHost.spread_->OnReply(aRequest.call_, aReply, now_, kRandom);
  };
  if (!aRequest.peer_ && outage_) {
    reply(SpreadDecision::Reply::Useless);
    return;
  }
  const std::uint64_t held =
    aRequest.peer_ ? HostOf(*aRequest.peer_).cache_->Current()->Version()
                   : history_.rbegin()->first;
  if (aRequest.parts_.empty()) {
    const bool isNews = held > aHost.cache_->Current()->Version();
    if (isNews) {
      aHost.spread_->OnHead(held, { held });
    }
    reply(isNews || !aRequest.peer_ ? SpreadDecision::Reply::Useful
                                    : SpreadDecision::Reply::Useless);
    return;
  }
  if (held < aRequest.version_) {
    reply(SpreadDecision::Reply::LacksParts);
    return;
  }
  Install(aHost, aRequest.parts_.front());
  aHost.spread_->OnInstalled(aHost.cache_->Current()->Version());
  reply(SpreadDecision::Reply::Useful);
}

void
ConfigurationStage::Install(Host& aHost, std::uint64_t aVersion)
{
  declarations::Configuration content;
  content.set_version(aVersion);
  aHost.cache_->Install(std::move(content));
  const std::uint64_t version = aHost.cache_->Current()->Version();
  aHost.wentBack_ = aHost.wentBack_ || version < aHost.highest_;
  aHost.highest_ = std::max(aHost.highest_, version);
}

std::string
ConfigurationStage::Observe(const std::string& aSubject,
                            const std::string& aField)
{
  if (aSubject == "service" && aField == "version") {
    return std::to_string(history_.rbegin()->first);
  }
  if (const auto change = changes_.find(aSubject);
      change != changes_.end() && aField == "result") {
    return NameOf(change->second.decision_.Next());
  }
  Host& host = HostOf(aSubject);
  if (aField == "version") {
    return std::to_string(host.cache_->Current()->Version());
  }
  if (aField == "went_back") {
    return YesOrNo(host.wentBack_);
  }
  throw ScenarioError("a host has no " + aField);
}

} // namespace pumiceturn::scenarios
