#include "LibClient/Client.h"

#include <catch2/catch.hpp>

namespace pumiceturn::client {

namespace {

using base::ResultCode;

constexpr const char* kToken = "sample-token";

/// An entry that plays what a test prescribes.
class FakeEntry final
  : public caller::Caller::Service
  , public operations::Operator::Service
{
public:
  FakeEntry()
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      "127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterService(static_cast<caller::Caller::Service*>(this));
    builder.RegisterService(static_cast<operations::Operator::Service*>(this));
    server_ = builder.BuildAndStart();
  }
  ~FakeEntry() override { server_->Shutdown(); }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(port_);
  }

  grpc::Status Call(grpc::ServerContext* /*aContext*/,
                    const caller::CallRequest* aRequest,
                    grpc::ServerWriter<caller::CallEvent>* aWriter) override
  {
    keys_.push_back(aRequest->request_key());
    for (const caller::CallEvent& event : events_) {
      aWriter->Write(event);
    }
    return status_;
  }

  grpc::Status GetJob(grpc::ServerContext* aContext,
                      const caller::GetJobRequest* aRequest,
                      caller::JobStatus* aReply) override
  {
    const auto found = aContext->client_metadata().find("authorization");
    if (found == aContext->client_metadata().end() ||
        found->second != std::string("Bearer ") + kToken) {
      return Refusal(ResultCode::Unauthenticated);
    }
    aReply->set_job_key(aRequest->job_key());
    return grpc::Status::OK;
  }

  grpc::Status ReadResults(
    grpc::ServerContext* /*aContext*/,
    const caller::ReadResultsRequest* aRequest,
    grpc::ServerWriter<caller::ItemResult>* aWriter) override
  {
    for (std::uint32_t position = aRequest->from(); position < resultsEnd_;
         ++position) {
      caller::ItemResult result;
      result.set_position(position);
      aWriter->Write(result);
    }
    return status_;
  }

  grpc::Status Apply(grpc::ServerContext* /*aContext*/,
                     const operations::ApplyRequest* /*aRequest*/,
                     operations::ApplyReply* /*aReply*/) override
  {
    operations::ApplyConflict conflict;
    conflict.set_current_version(9);
    conflict.set_difference("- a\n+ b\n");
    return { grpc::StatusCode::ABORTED,
             "conflict",
             conflict.SerializeAsString() };
  }

  static grpc::Status Refusal(ResultCode aCode)
  {
    caller::Outcome outcome;
    outcome.set_code(static_cast<std::uint32_t>(aCode));
    outcome.set_name(std::string(base::NameOf(aCode)));
    outcome.set_ran(caller::RAN_NOT_RUN);
    return { grpc::StatusCode::UNAVAILABLE, "", outcome.SerializeAsString() };
  }

  std::vector<caller::CallEvent> events_;
  grpc::Status status_;
  std::uint32_t resultsEnd_ = 0;
  std::vector<std::string> keys_;

private:
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

caller::CallEvent
Chunk(std::uint64_t aSequence, const char* aText)
{
  caller::CallEvent event;
  event.mutable_chunk()->set_sequence(aSequence);
  event.mutable_chunk()->set_text(aText);
  return event;
}

caller::CallEvent
Finished()
{
  caller::CallEvent event;
  event.mutable_finished()->mutable_outcome();
  return event;
}

class ClientFixture
{
protected:
  Client MakeClient(const char* aToken = kToken)
  {
    return Client({ { first_.Address(), second_.Address() }, aToken });
  }

  base::Outcome<CallAnswer> Call()
  {
    Client client = MakeClient();
    return base::Capture([&] {
      return client.Call({},
                         [this](std::string_view aText) { shown_ += aText; });
    });
  }

  FakeEntry first_;
  FakeEntry second_;
  std::string shown_;
};

} // namespace

// A researcher's portal waits for an answer. Its entry is killed in the middle
// of the stream; the client asks the next one with the same key, so that the
// request still runs once, and shows each part of the answer once.
TEST_CASE_METHOD(ClientFixture, "Client_EntryLostInStream_GoesOnAtTheNext")
{
  first_.events_ = { Chunk(1, "ab") };
  first_.status_ = { grpc::StatusCode::UNAVAILABLE, "lost" };
  second_.events_ = { Chunk(1, "a"), Chunk(2, "bc"), Finished() };
  const auto outcome = Call();
  REQUIRE(std::holds_alternative<CallAnswer>(outcome));
  CHECK(std::get<CallAnswer>(outcome).text_ == "abc");
  CHECK(shown_ == "abc");
  REQUIRE(first_.keys_.size() == 1);
  CHECK_FALSE(first_.keys_[0].empty());
  CHECK(first_.keys_ == second_.keys_);
}

TEST_CASE_METHOD(ClientFixture, "Client_StreamWithoutLastMessage_IsNotAnAnswer")
{
  first_.events_ = { Chunk(1, "ab") };
  second_.events_ = { Chunk(1, "ab") };
  const auto outcome = Call();
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ == ResultCode::Disconnected);
}

TEST_CASE_METHOD(ClientFixture, "Client_LeavingEntry_IsFollowedByTheNext")
{
  first_.status_ = FakeEntry::Refusal(ResultCode::Draining);
  second_.events_ = { Finished() };
  CHECK(std::holds_alternative<CallAnswer>(Call()));
}

TEST_CASE_METHOD(ClientFixture, "Client_RefusedCall_IsNotSentElsewhere")
{
  first_.status_ = FakeEntry::Refusal(ResultCode::Overloaded);
  const auto outcome = Call();
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome) ==
        base::Failure{ ResultCode::Overloaded, "200 Overloaded (not run)" });
  CHECK(second_.keys_.empty());
}

TEST_CASE_METHOD(ClientFixture, "Client_Token_IsSentWithEachCall")
{
  Client good = MakeClient();
  CHECK(std::holds_alternative<caller::JobStatus>(
    base::Capture([&] { return good.GetJob("k"); })));
  Client bad = MakeClient("other");
  const auto outcome = base::Capture([&] { return bad.GetJob("k"); });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ == ResultCode::Unauthenticated);
}

TEST_CASE_METHOD(ClientFixture, "Client_EntryLostInResults_ReadsEachOnce")
{
  first_.resultsEnd_ = 2;
  first_.status_ = { grpc::StatusCode::UNAVAILABLE, "lost" };
  second_.resultsEnd_ = 4;
  std::vector<std::uint32_t> positions;
  Client client = MakeClient();
  const auto outcome = base::Capture([&] {
    return client.ReadResults({}, [&](const caller::ItemResult& aResult) {
      positions.push_back(aResult.position());
    });
  });
  CHECK(std::holds_alternative<std::monostate>(outcome));
  CHECK(positions == std::vector<std::uint32_t>{ 0, 1, 2, 3 });
}

TEST_CASE_METHOD(ClientFixture, "Client_LostRace_ShowsWhatChanged")
{
  Client client = MakeClient();
  const auto outcome = base::Capture([&] { return client.Apply({}); });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  const auto& failure = std::get<base::Failure>(outcome);
  CHECK(failure.code_ == ResultCode::VersionConflict);
  CHECK(failure.detail_.find("version 9 is in force") != std::string::npos);
  CHECK(failure.detail_.find("- a\n+ b\n") != std::string::npos);
}

TEST_CASE("Client_NoEntryThere_IsDisconnected")
{
  Client client({ { "127.0.0.1:1" }, "" });
  const auto outcome = base::Capture([&] { return client.GetStatus(); });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ == ResultCode::Disconnected);
}

} // namespace pumiceturn::client
