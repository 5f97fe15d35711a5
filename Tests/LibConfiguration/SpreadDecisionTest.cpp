#include "LibConfiguration/ConfigurationReplica.h"
#include "Samples.h"

#include <catch2/catch.hpp>

namespace pumiceturn::configuration {

using namespace std::chrono_literals;
using Reply = SpreadDecision::Reply;

namespace {

struct SpreadFixture
{
  SpreadFixture()
    : spread_(Options(), now_, 1.0)
  {
  }

  static SpreadDecision::Options Options()
  {
    SpreadDecision::Options options;
    options.pollInterval_ = 5s;
    options.firstPollWithin_ = 1h;
    options.fetchTimeout_ = 1s;
    options.avoidPeer_ = 2s;
    return options;
  }

  std::optional<SpreadRequest> Next() { return spread_.Next(now_, 0.5); }

  void Answer(const SpreadRequest& aRequest, Reply aReply)
  {
    spread_.OnReply(aRequest.call_, aReply, now_, 0.5);
  }

  base::Instant now_ = base::Instant{} + 24h;
  SpreadDecision spread_;
};

/// A process that has a whole version.
ConfigurationReplica
MakeReplica(const declarations::Declarations& aAll,
            std::uint64_t aVersion,
            const Scope& aScope = {})
{
  const Split split = SplitDeclarations(aAll);
  stored::ConfigurationHead head;
  head.set_version(aVersion);
  *head.mutable_parts() = { split.references_.begin(),
                            split.references_.end() };
  ConfigurationReplica replica(aScope, {}, base::Instant{}, 0.0);
  replica.TakeHead(head.SerializeAsString());
  std::vector<wire::ConfigurationPart> parts;
  for (const auto& [digest, content] : split.contents_) {
    parts.push_back({ digest, *content });
  }
  replica.TakeParts(parts);
  REQUIRE(replica.Version() == aVersion);
  return replica;
}

/// Lets one process fetch from another until nothing more comes.
void
FetchAll(ConfigurationReplica& aInto,
         const std::string& aPeer,
         const ConfigurationReplica& aFrom,
         base::Instant aNow)
{
  aInto.Spread().OnPeerVersion(aPeer, aFrom.Version());
  while (auto request = aInto.Spread().Next(aNow, 0.0)) {
    if (!request->peer_) {
      break;
    }
    const auto content =
      aFrom.Serve({ request->call_, request->version_, request->parts_ });
    aInto.Spread().OnReply(
      request->call_, aInto.TakeContent(content), aNow, 0.0);
  }
}

} // namespace

TEST_CASE_METHOD(SpreadFixture, "Next_NothingHeard_FetchesNothing")
{
  CHECK_FALSE(Next());
  spread_.OnInstalled(4);
  spread_.OnPeerVersion("north", 4);
  CHECK_FALSE(Next());
}

// A keeper that was cut off comes back and announces version 3 while 4 is in
// force everywhere. Nobody may fetch from it, or go back to its version.
TEST_CASE_METHOD(SpreadFixture, "Next_PeerHasLowerVersion_IsNotAsked")
{
  spread_.OnInstalled(4);
  spread_.OnPeerVersion("north", 3);
  CHECK_FALSE(Next());
  spread_.OnInstalled(3);
  spread_.OnPeerVersion("north", 4);
  CHECK_FALSE(Next());
}

// Heartbeats with versions 7 and 5 cross on the way. The fetch that began for 7
// goes on, and the late 5 starts nothing.
TEST_CASE_METHOD(SpreadFixture, "Next_VersionsOutOfOrder_FetchesTheHighest")
{
  spread_.OnPeerVersion("north", 7);
  const auto request = Next();
  REQUIRE(request);
  CHECK(request->peer_ == "north");
  spread_.OnPeerVersion("south", 5);
  CHECK_FALSE(Next());
  spread_.OnInstalled(7);
  Answer(*request, Reply::Useful);
  CHECK_FALSE(Next());
}

// The peer that announced a version goes silent in the middle of the fetch.
// After a second another peer is asked, and the silent one is passed over.
TEST_CASE_METHOD(SpreadFixture, "Next_PeerSilent_AsksAnother")
{
  spread_.OnPeerVersion("north", 7);
  REQUIRE(Next()->peer_ == "north");
  spread_.OnPeerVersion("south", 7);
  now_ += 999ms;
  CHECK_FALSE(Next());
  now_ += 1ms;
  CHECK(Next()->peer_ == "south");
  spread_.OnPeerLost("south");
  CHECK_FALSE(Next());
  now_ += 2s;
  CHECK(Next()->peer_ == "north");
}

TEST_CASE_METHOD(SpreadFixture, "Next_PartsMissing_AsksPeersThenTheService")
{
  spread_.OnPeerVersion("agent", 7);
  spread_.OnHead(7, { 1, 2 });
  const auto first = Next();
  REQUIRE(first);
  CHECK(first->peer_ == "agent");
  CHECK(first->parts_ == std::vector<std::uint64_t>{ 1, 2 });
  Answer(*first, Reply::LacksParts);
  const auto second = Next();
  REQUIRE(second);
  CHECK_FALSE(second->peer_);
  Answer(*second, Reply::Useful);
  spread_.OnInstalled(7);
  // From now on the agent is asked for heads alone.
  spread_.OnPeerVersion("agent", 8);
  const auto head = Next();
  REQUIRE(head);
  CHECK(head->peer_ == "agent");
  CHECK(head->parts_.empty());
  Answer(*head, Reply::Useful);
  spread_.OnHead(8, { 3 });
  CHECK_FALSE(Next()->peer_);
}

// The service is down. Its failing calls must not hold up what peers can give,
// and must come ever less often.
TEST_CASE_METHOD(SpreadFixture, "Next_ServiceDown_BacksOffAndUsesPeers")
{
  spread_.PollSoon();
  const auto poll = Next();
  REQUIRE(poll);
  CHECK_FALSE(poll->peer_);
  spread_.OnPeerVersion("north", 7);
  const auto head = Next();
  REQUIRE(head);
  CHECK(head->peer_ == "north");
  Answer(*poll, Reply::Useless);
  Answer(*head, Reply::Useless);
  spread_.OnHead(7, { 1 });
  int calls = 0;
  for (int i = 0; i < 1000; ++i) {
    now_ += 10ms;
    spread_.OnPeerLost("north");
    if (const auto request = Next()) {
      ++calls;
      Answer(*request, Reply::Useless);
    }
  }
  CHECK(calls > 0);
  CHECK(calls < 10);
}

TEST_CASE_METHOD(SpreadFixture, "Next_PollDue_ReadsTheHeadOnce")
{
  spread_.PollSoon();
  const auto poll = Next();
  REQUIRE(poll);
  CHECK(poll->parts_.empty());
  CHECK_FALSE(Next());
  Answer(*poll, Reply::Useful);
  CHECK_FALSE(Next());
  now_ += 7s;
  CHECK(Next());
}

// With 410 entries, each change and each poll interval would cost 410 calls of
// the service. Each entry waits for a while at random before it asks, and polls
// less often.
TEST_CASE_METHOD(SpreadFixture, "Next_ManyPollers_LeavesTheServiceAlone")
{
  spread_.SetPollers(410);
  spread_.OnHead(7, { 1 });
  CHECK_FALSE(Next());
  spread_.OnPeerVersion("keeper", 7);
  CHECK(Next()->peer_ == "keeper");
  spread_.OnPeerLost("keeper");
  now_ += 399ms;
  CHECK_FALSE(Next());
  now_ += 3ms;
  const auto parts = Next();
  REQUIRE(parts);
  CHECK(parts->parts_.size() == 1);
  Answer(*parts, Reply::Useful);
  spread_.OnInstalled(7);
  spread_.PollSoon();
  const auto poll = Next();
  REQUIRE(poll);
  Answer(*poll, Reply::Useful);
  now_ += 59s;
  CHECK_FALSE(Next());
  now_ += 2s;
  CHECK(Next());
}

// A host starts again while the service is down for hours. Its peers still have
// the configuration, not all the same: it ends with the highest.
TEST_CASE("Replica_RestartInAnOutage_TakesTheHighestOfItsPeers")
{
  const base::Instant now = base::Instant{} + 24h;
  const auto older = MakeReplica(MakeDeclarations(3), 5);
  const auto newer = MakeReplica(MakeDeclarations(4), 6);
  ConfigurationReplica restarted({}, {}, now, 0.0);
  FetchAll(restarted, "south", older, now);
  CHECK(restarted.Version() == 5);
  FetchAll(restarted, "north", newer, now);
  CHECK(restarted.Version() == 6);
  FetchAll(restarted, "south", older, now);
  CHECK(restarted.Version() == 6);
  CHECK(restarted.TakeInstallable()->declarations().partners_size() == 4);
}

TEST_CASE("Replica_OnePartnerChanged_FetchesOnePart")
{
  const base::Instant now = base::Instant{} + 24h;
  auto all = MakeDeclarations(1000);
  auto follower = MakeReplica(all, 1);
  all.mutable_partners(3)->set_batch_share(9);
  const auto leader = MakeReplica(all, 2);
  follower.Spread().OnPeerVersion("leader", 2);
  const auto head = follower.Spread().Next(now, 0.0);
  const auto reply =
    follower.TakeContent(leader.Serve({ head->call_, head->version_, {} }));
  follower.Spread().OnReply(head->call_, reply, now, 0.0);
  const auto parts = follower.Spread().Next(now, 0.0);
  REQUIRE(parts);
  CHECK(parts->parts_.size() == 1);
  const auto content = leader.Serve({ parts->call_, 2, parts->parts_ });
  CHECK(content.parts_.size() == 1);
  CHECK(follower.TakeContent(content) == Reply::Useful);
  CHECK(follower.Version() == 2);
}

// A part is damaged on the way. Taking it would put wrong declarations in force
// on this host alone; its content does not have the digest asked for.
TEST_CASE("Replica_DamagedPart_IsNotTaken")
{
  const auto all = MakeDeclarations(3);
  const auto leader = MakeReplica(all, 2);
  ConfigurationReplica follower({}, {}, base::Instant{}, 0.0);
  auto content = leader.Serve({ 1, 2, {} });
  REQUIRE(follower.TakeContent(content) == Reply::Useful);
  const Split split = SplitDeclarations(all);
  for (const auto& [digest, bytes] : split.contents_) {
    content.parts_.push_back({ digest, *bytes + "x" });
  }
  CHECK(follower.TakeContent(content) == Reply::LacksParts);
  CHECK(follower.Version() == 0);
}

TEST_CASE("Replica_ScopeOfOneService_IsWholeWithoutPartners")
{
  auto all = MakeDeclarations(100);
  const Scope scope{ "origin-llm" };
  const auto leader = MakeReplica(all, 2);
  ConfigurationReplica agent(scope, {}, base::Instant{} + 24h, 0.0);
  FetchAll(agent, "leader", leader, base::Instant{} + 24h);
  CHECK(agent.Version() == 2);
  const auto content = agent.TakeInstallable();
  CHECK(content->declarations().partners_size() == 0);
  CHECK(content->declarations().services_size() == 1);
}

TEST_CASE("Serve_VersionNotHeld_SaysUnknown")
{
  const auto leader = MakeReplica(MakeDeclarations(1), 2);
  CHECK(leader.Serve({ 1, 3, {} }).code_ == base::ResultCode::VersionUnknown);
  CHECK(leader.Serve({ 1, 0, {} }).code_ == base::ResultCode::Ok);
  const ConfigurationReplica empty({}, {}, base::Instant{}, 0.0);
  CHECK(empty.Serve({ 1, 0, {} }).code_ == base::ResultCode::VersionUnknown);
}

} // namespace pumiceturn::configuration
