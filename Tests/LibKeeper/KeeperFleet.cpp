#include "KeeperFleet.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <type_traits>

namespace pumiceturn::keeper {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{ 50 };
constexpr std::chrono::milliseconds kResendInterval{ 300 };
constexpr std::chrono::seconds kTimeout{ 60 };
constexpr std::uint64_t kMaxCredits = 8;

wire::LinkTable::Options
LinkOptions(const std::string& aName)
{
  wire::LinkTable::Options options;
  options.host_ = aName;
  options.listenAddress_ = "127.0.0.1:0";
  options.heartbeatInterval_ = kHeartbeatInterval;
  options.missedHeartbeats_ = 6;
  return options;
}

template<typename Value>
Value
ValueOrThrow(base::Outcome<Value> aOutcome)
{
  if (const auto* failure = std::get_if<base::Failure>(&aOutcome)) {
    throw std::runtime_error(failure->detail_);
  }
  return std::get<0>(std::move(aOutcome));
}

std::unique_ptr<wire::LinkTable>
StartLinks(const std::string& aName, wire::LinkTable::Handlers aHandlers)
{
  return ValueOrThrow(base::Capture([&] {
    return wire::LinkTable::Start(LinkOptions(aName), std::move(aHandlers));
  }));
}

} // namespace

TestPeer::TestPeer(const std::string& aName, Handler aHandler)
  : handler_(std::move(aHandler))
{
  wire::LinkTable::Handlers handlers;
  handlers.message_ = [this](const std::string& aPeer,
                             const wire::Message& aMessage) {
    handler_(aPeer, aMessage);
  };
  handlers.state_ = [](const std::string&, wire::LinkState) {};
  handlers.heartbeat_ = [](const std::string&) { return wire::Heartbeat{}; };
  links_ = StartLinks(aName, std::move(handlers));
}

TestAgent::TestAgent(const std::string& aName)
{
  peer_ = std::make_unique<TestPeer>(
    aName, [this](const std::string& aPeer, const wire::Message& aMessage) {
      OnMessage(aPeer, aMessage);
    });
}

void
TestAgent::FinishAtMost(std::size_t aRuns)
{
  const std::lock_guard lock(mutex_);
  finishesAll_ = false;
  allowed_ = aRuns;
}

void
TestAgent::FinishAll()
{
  const std::lock_guard lock(mutex_);
  finishesAll_ = true;
  for (const auto& [peer, start] : std::exchange(unfinishedRuns_, {})) {
    Finish(peer, start);
  }
}

void
TestAgent::ResendUnrecorded(const std::string& aKeeper)
{
  const std::lock_guard lock(mutex_);
  for (const auto& [run, ended] : unrecorded_) {
    peer_->Send(aKeeper, ended);
  }
}

bool
TestAgent::WaitForUnfinished(std::size_t aCount)
{
  std::unique_lock lock(mutex_);
  return changed_.wait_for(
    lock, kTimeout, [&] { return unfinishedRuns_.size() >= aCount; });
}

void
TestAgent::OnMessage(const std::string& aPeer, const wire::Message& aMessage)
{
  const std::lock_guard lock(mutex_);
  if (std::holds_alternative<wire::BatchDemand>(aMessage)) {
    Grant(aPeer);
  } else if (const auto* start = std::get_if<wire::StartRun>(&aMessage)) {
    ++started_[aPeer];
    if (finishesAll_ || allowed_ > 0) {
      allowed_ -= allowed_ > 0 ? 1 : 0;
      Finish(aPeer, *start);
    } else {
      unfinishedRuns_.emplace_back(aPeer, *start);
      changed_.notify_all();
    }
    Grant(aPeer);
  } else if (const auto* attach = std::get_if<wire::AttachRun>(&aMessage)) {
    Attach(aPeer, attach->run_);
  } else if (const auto* recorded = std::get_if<wire::RunRecorded>(&aMessage)) {
    unrecorded_.erase(recorded->run_);
  }
}

void
TestAgent::Attach(const std::string& aPeer, const wire::RunId& aRun)
{
  // On a busy machine a link may be lost; the keeper then attaches to its runs.
  const auto ended = unrecorded_.find(aRun);
  if (ended != unrecorded_.end()) {
    peer_->Send(aPeer, ended->second);
    return;
  }
  const bool isUnanswered = std::any_of(
    unfinishedRuns_.begin(),
    unfinishedRuns_.end(),
    [&](const auto& aUnanswered) { return aUnanswered.second.run_ == aRun; });
  if (isUnanswered) {
    return;
  }
  wire::RunEnded unknown;
  unknown.run_ = aRun;
  unknown.code_ = base::ResultCode::EndpointLost;
  unknown.ran_ = base::Ran::Unknown;
  peer_->Send(aPeer, std::move(unknown));
}

void
TestAgent::Finish(const std::string& aPeer, const wire::StartRun& aStart)
{
  wire::RunEnded ended;
  ended.run_ = aStart.run_;
  ended.ran_ = base::Ran::Ran;
  ended.text_ = "answer to " + aStart.payload_;
  unrecorded_[aStart.run_] = ended;
  peer_->Send(aPeer, std::move(ended));
}

void
TestAgent::Grant(const std::string& aPeer)
{
  std::uint64_t& granted = granted_[aPeer];
  granted = std::max(granted, started_[aPeer] + kMaxCredits);
  peer_->Send(aPeer, wire::BatchGrant{ "origin-llm", granted });
}

settings::Settings
TestKeeper::MakeSettings(const std::string& aName, const std::string& aFolder)
{
  settings::Settings settings;
  settings.set_host(aName);
  settings.set_failure_domain("domain-" + aName);
  settings.mutable_platform()->set_key_prefix("/pumiceturn/");
  settings.mutable_keeper()->set_data_folder(aFolder + "/" + aName);
  settings.mutable_keeper()->set_copies(2);
  settings.mutable_keeper()->set_min_copies(2);
  settings.mutable_keeper()->set_partitions(4);
  settings.mutable_keeper()->set_takeover_after_ms(500);
  std::filesystem::create_directories(settings.keeper().data_folder());
  return settings;
}

TestKeeper::TestKeeper(const std::string& aName,
                       const std::string& aFolder,
                       int aKeyValuePort)
  : settings_(MakeSettings(aName, aFolder))
  , hosts_(platform::HostDirectory::Options{ aFolder + "/hosts.yaml" })
{
  platform::KeyValueClient::Options options;
  options.addresses_ = { "127.0.0.1:" + std::to_string(aKeyValuePort) };
  options.callsPerSecond_ = 100.0;
  keyValue_ = platform::KeyValueClient::Make(options);
  wire::LinkTable::Handlers handlers;
  handlers.message_ = [this](const std::string& aPeer, wire::Message aMessage) {
    Post(aPeer, [this, aPeer, message = std::move(aMessage)] {
      keeper_->OnMessage(aPeer, message);
    });
  };
  handlers.state_ = [this](const std::string& aPeer, wire::LinkState aState) {
    Post(aPeer, [this, aPeer, aState] { keeper_->OnLinkState(aPeer, aState); });
  };
  handlers.heartbeat_ = [](const std::string&) { return wire::Heartbeat{}; };
  links_ = StartLinks(aName, std::move(handlers));
}

TestKeeper::~TestKeeper()
{
  started_ = false;
  keyValue_->Stop();
  if (keeper_) {
    keeper_->Stop();
  }
  pool_.Stop();
  links_.reset();
}

void
TestKeeper::Post(const std::string& aPeer, base::WorkerPool::Task aTask)
{
  const std::lock_guard lock(strandsMutex_);
  strands_.try_emplace(aPeer, pool_)
    .first->second.Post([this, task = std::move(aTask)] {
      if (started_) {
        task();
      }
    });
}

void
TestKeeper::Start(
  const declarations::Configuration& aConfiguration,
  const std::vector<std::pair<std::string, std::string>>& aKeepers)
{
  hosts_.Refresh();
  configuration_.Install(aConfiguration);
  node::Context context{ settings_,      pool_,       *links_,
                         metrics_,       *keyValue_,  hosts_,
                         configuration_, partitions_, quarantine_ };
  keeper_ =
    ValueOrThrow(base::Capture([&] { return KeeperFunction::Start(context); }));
  started_ = true;
  for (const auto& [name, address] : aKeepers) {
    if (name != settings_.host()) {
      links_->Connect(name, address);
    }
  }
}

KeeperFleet::KeeperFleet()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "pumiceturn-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  keyValue_ = ValueOrThrow(
    base::Capture([] { return standin::KeyValueStandin::Start({}); }));
  agent_ = std::make_unique<TestAgent>("endpoint-1");
  std::vector<std::pair<std::string, std::string>> addresses;
  std::ofstream hosts(folder_ + "/hosts.yaml");
  hosts << "hosts:\n";
  for (const std::string name : { "keeper-1", "keeper-2", "keeper-3" }) {
    auto& keeper = keepers_[name];
    keeper = std::make_unique<TestKeeper>(name, folder_, keyValue_->Port());
    addresses.emplace_back(name, keeper->Address());
    hosts << "  - name: " << name << "\n    failure_domain: domain-" << name
          << "\n    link_address: " << keeper->Address()
          << "\n    functions: [keeper]\n    state: live\n";
  }
  hosts.close();
  declarations::Configuration configuration;
  configuration.set_version(1);
  declarations::Service& service =
    *configuration.mutable_declarations()->add_services();
  service.set_name("origin-llm");
  declarations::Endpoint& endpoint = *service.add_endpoints();
  endpoint.set_name("endpoint-1");
  endpoint.set_agent_address(agent_->Address());
  entry_ = std::make_unique<TestPeer>(
    "entry-1", [this](const std::string& aPeer, const wire::Message& aMessage) {
      OnReply(aPeer, aMessage);
    });
  for (auto& [name, keeper] : keepers_) {
    keeper->Start(configuration, addresses);
  }
  for (const auto& [name, address] : addresses) {
    entry_->Connect(name, address);
  }
}

KeeperFleet::~KeeperFleet()
{
  entry_.reset();
  keepers_.clear();
  agent_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::vector<std::string>
KeeperFleet::Keepers() const
{
  std::vector<std::string> names;
  for (const auto& [name, keeper] : keepers_) {
    names.push_back(name);
  }
  return names;
}

void
KeeperFleet::OnReply(const std::string& aPeer, const wire::Message& aMessage)
{
  std::visit(
    [&](const auto& aBody) {
      if constexpr (requires {
                      aBody.call_;
                      aBody.ownerHint_;
                    }) {
        const std::lock_guard lock(mutex_);
        replies_[aBody.call_] = aMessage;
        if (aBody.code_ == base::ResultCode::NotOwner &&
            !aBody.ownerHint_.empty()) {
          owner_ = aBody.ownerHint_;
        } else {
          owner_ = aPeer;
        }
      }
    },
    aMessage);
  replied_.notify_all();
}

template<typename Reply, typename Request>
bool
KeeperFleet::Call(Request aRequest, Reply& aReply)
{
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  std::unique_lock lock(mutex_);
  while (std::chrono::steady_clock::now() < deadline) {
    if (!keepers_.contains(owner_)) {
      owner_ = keepers_.begin()->first;
    }
    aRequest.call_ = nextCall_++;
    entry_->Send(owner_, aRequest);
    replied_.wait_for(
      lock, kResendInterval, [&] { return replies_.contains(aRequest.call_); });
    const auto found = replies_.find(aRequest.call_);
    if (found == replies_.end()) {
      continue;
    }
    aReply = std::get<Reply>(std::move(found->second));
    replies_.erase(found);
    if (aReply.code_ == base::ResultCode::Ok) {
      return true;
    }
    // This keeper is not the owner or not ready yet, so retry after a delay.
    replied_.wait_for(lock, kResendInterval / 10, [] { return false; });
  }
  return false;
}

bool
KeeperFleet::Submit(const wire::JobDescription& aJob, std::uint32_t aFrameItems)
{
  for (std::uint32_t first = 0; first < aJob.itemCount_; first += aFrameItems) {
    wire::SubmitFrame frame;
    frame.job_ = aJob;
    frame.firstItem_ = first;
    const std::uint32_t end = std::min(first + aFrameItems, aJob.itemCount_);
    for (std::uint32_t item = first; item < end; ++item) {
      frame.items_.push_back(
        { "name-" + std::to_string(item), "payload-" + std::to_string(item) });
    }
    frame.last_ = end == aJob.itemCount_;
    wire::SubmitReply reply;
    if (!Call(frame, reply)) {
      return false;
    }
  }
  return true;
}

std::vector<wire::ItemResult>
KeeperFleet::ReadAll(const base::JobId& aJob, std::size_t aItems)
{
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  std::vector<wire::ItemResult> results;
  while (std::chrono::steady_clock::now() < deadline) {
    wire::ReadResults request;
    request.job_ = aJob;
    request.partner_ = "slaegtsspor";
    request.from_ = static_cast<std::uint32_t>(results.size());
    request.limit_ = 100;
    wire::ResultsPage page;
    if (!Call(request, page)) {
      break;
    }
    results.insert(results.end(), page.items_.begin(), page.items_.end());
    if (page.ended_ || results.size() >= aItems) {
      break;
    }
  }
  return results;
}

} // namespace pumiceturn::keeper
