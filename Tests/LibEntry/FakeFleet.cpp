#include "FakeFleet.h"

#include "LibBase/TokenDigest.h"

#include <grpcpp/create_channel.h>

#include <algorithm>
#include <stdexcept>

namespace pumiceturn::entry {

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";

template<typename T>
T
Expect(base::Outcome<T> aOutcome)
{
  if (const auto* failure = std::get_if<base::Failure>(&aOutcome)) {
    throw std::runtime_error(failure->detail_);
  }
  return std::get<0>(std::move(aOutcome));
}

void
AddKind(declarations::Service& aService,
        const std::string& aName,
        declarations::Priority aPriority,
        declarations::Idempotency aIdempotency)
{
  declarations::RequestKind& kind = *aService.add_kinds();
  kind.set_name(aName);
  kind.set_priority(aPriority);
  kind.set_idempotency(aIdempotency);
  kind.set_max_item_bytes(1024);
}

} // namespace

FakePeer::FakePeer(std::string aName, Script aScript)
  : script_(std::move(aScript))
{
  wire::LinkTable::Options options;
  options.host_ = std::move(aName);
  options.listenAddress_ = kAnyPort;
  links_ = Expect(base::Capture([&] {
    return wire::LinkTable::Start(
      options,
      { [this](const std::string& aFrom, const wire::Message& aMessage) {
         OnMessage(aFrom, aMessage);
       },
        [](const std::string&, wire::LinkState) {},
        [](const std::string&) { return wire::Heartbeat{}; } });
  }));
}

void
FakePeer::Send(const std::string& aTo, wire::Message aMessage)
{
  links_->Send(aTo, std::move(aMessage));
}

void
FakePeer::OnMessage(const std::string& aFrom, const wire::Message& aMessage)
{
  {
    const std::lock_guard lock(mutex_);
    received_.push_back(aMessage);
  }
  arrived_.notify_all();
  if (script_) {
    script_(*this, aFrom, aMessage);
  }
}

FakeFleet::FakeFleet(FakePeer::Script aKeeper,
                     FakePeer::Script aFirstAgent,
                     FakePeer::Script aSecondAgent)
  : keeper_(std::make_unique<FakePeer>("keeper", std::move(aKeeper)))
  , keyValue_(platform::KeyValueClient::Make({}))
{
  agents_.push_back(
    std::make_unique<FakePeer>("agent-0", std::move(aFirstAgent)));
  agents_.push_back(
    std::make_unique<FakePeer>("agent-1", std::move(aSecondAgent)));
  settings_.set_host("entry");
  settings_.set_failure_domain("dk-east-a");
  settings_.mutable_entry()->set_grpc_address(kAnyPort);
  partitions_.SetCount(1);
  partitions_.Update({ 0, "keeper", 1, { "keeper" }, "w", 1 });
  Configure();
  StartLinks();
  const node::Context context{ settings_,      pool_,       *links_,
                               metrics_,       *keyValue_,  hosts_,
                               configuration_, partitions_, quarantine_ };
  entry_ = Expect(base::Capture([&] { return EntryFunction::Start(context); }));
  // Reports the links that came up while the entry started.
  strand_.Post([this] {
    entryPointer_->store(entry_.get());
    const std::lock_guard lock(mutex_);
    for (const std::string& peer : up_) {
      entry_->OnLinkState(peer, wire::LinkState::Up);
    }
    isStarted_ = true;
    linked_.notify_all();
  });
  links_->Connect("keeper", keeper_->Address());
  const auto channel = grpc::CreateChannel(entry_->ListenAddress(),
                                           grpc::InsecureChannelCredentials());
  callers_ = caller::Caller::NewStub(channel);
  operators_ = operations::Operator::NewStub(channel);
}

FakeFleet::~FakeFleet()
{
  entry_->Stop();
  pool_.Stop();
  links_.reset();
}

void
FakeFleet::StartLinks()
{
  wire::LinkTable::Options options;
  options.host_ = "entry";
  options.listenAddress_ = kAnyPort;
  options.heartbeatInterval_ = std::chrono::milliseconds{ 100 };
  const auto entry = entryPointer_;
  base::Strand& strand = strand_;
  wire::LinkTable::Handlers handlers;
  handlers.message_ = [entry, &strand](const std::string& aFrom,
                                       wire::Message aMessage) {
    strand.Post([entry, aFrom, message = std::move(aMessage)] {
      if (EntryFunction* function = entry->load()) {
        function->OnMessage(aFrom, message);
      }
    });
  };
  handlers.state_ = [this, entry, &strand](const std::string& aPeer,
                                           wire::LinkState aState) {
    strand.Post([this, entry, aPeer, aState] {
      if (EntryFunction* function = entry->load()) {
        function->OnLinkState(aPeer, aState);
      }
      const std::lock_guard lock(mutex_);
      up_.insert(aPeer);
      linked_.notify_all();
    });
  };
  handlers.heartbeat_ = [](const std::string&) { return wire::Heartbeat{}; };
  links_ = Expect(base::Capture(
    [&] { return wire::LinkTable::Start(options, std::move(handlers)); }));
}

void
FakeFleet::Configure()
{
  declarations::Configuration configuration;
  configuration.set_version(1);
  declarations::Declarations& declared = *configuration.mutable_declarations();
  declarations::Service& service = *declared.add_services();
  service.set_name("origin-llm");
  service.set_type(declarations::SERVICE_TYPE_MODEL);
  AddKind(service,
          "look-up",
          declarations::PRIORITY_ONLINE,
          declarations::IDEMPOTENCY_IDEMPOTENT);
  AddKind(service,
          "lineage-batch",
          declarations::PRIORITY_BATCH,
          declarations::IDEMPOTENCY_IDEMPOTENT);
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    declarations::Endpoint& endpoint = *service.add_endpoints();
    endpoint.set_name("agent-" + std::to_string(index));
    endpoint.set_failure_domain("dk-east-a");
    endpoint.set_agent_address(agents_[index]->Address());
    endpoint.set_max_running(4);
  }
  declarations::Partner& partner = *declared.add_partners();
  partner.set_name("slaegtsspor");
  partner.set_token_sha256(base::ToString(base::DigestToken(kToken)));
  partner.add_services("origin-llm");
  configuration_.Install(configuration);
}

void
FakeFleet::WaitForLinks(const std::vector<std::string>& aAgents)
{
  constexpr std::chrono::seconds kTimeout{ 20 };
  std::vector<std::string> peers = aAgents;
  peers.emplace_back("keeper");
  std::unique_lock lock(mutex_);
  const bool areUp = linked_.wait_for(lock, kTimeout, [&] {
    return isStarted_ && std::all_of(peers.begin(),
                                     peers.end(),
                                     [this](const std::string& aPeer) {
                                       return up_.contains(aPeer);
                                     });
  });
  if (!areUp) {
    throw std::runtime_error("a link did not come up");
  }
}

std::unique_ptr<grpc::ClientContext>
FakeFleet::MakeContext(const std::string& aToken)
{
  auto context = std::make_unique<grpc::ClientContext>();
  context->AddMetadata("authorization", "Bearer " + aToken);
  context->set_deadline(std::chrono::system_clock::now() +
                        std::chrono::seconds{ 20 });
  return context;
}

} // namespace pumiceturn::entry
