#include "LibLoad/LoadRun.h"

#include "LibStandin/EngineAnswer.h"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>

namespace pumiceturn::load {

namespace {

using standin::EngineAnswerText;

constexpr std::uint32_t kMaxTokens = 8;

/// What a faulty fleet does.
enum class Fault : std::uint8_t
{
  None,
  MixesAnswers, ///< Answers are those of other prompts.
  LosesRecords, ///< Results of accepted calls cannot be read.
  AcceptsTwice, ///< A resent request is taken for a new one.
  DoublesItems, ///< Each item of a lot has two results.
  RefusesCalls, ///< Online calls are refused as not run.
};

/// A fleet of one entry that answers at once.
class FakeFleet final
  : public caller::Caller::Service
  , public operations::Operator::Service
{
public:
  explicit FakeFleet(Fault aFault)
    : fault_(aFault)
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      "127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterService(static_cast<caller::Caller::Service*>(this));
    builder.RegisterService(static_cast<operations::Operator::Service*>(this));
    server_ = builder.BuildAndStart();
  }
  ~FakeFleet() override { server_->Shutdown(); }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(port_);
  }

  grpc::Status GetConfiguration(
    grpc::ServerContext* /*aContext*/,
    const operations::GetConfigurationRequest* /*aRequest*/,
    declarations::Configuration* aReply) override
  {
    declarations::Service& service =
      *aReply->mutable_declarations()->add_services();
    service.set_name("origin-llm");
    for (const char* name : { "look-up", "lineage-batch" }) {
      declarations::RequestKind& kind = *service.add_kinds();
      kind.set_name(name);
      kind.set_max_tokens(kMaxTokens);
      kind.set_deadline_ms(2000);
    }
    return grpc::Status::OK;
  }

  grpc::Status Call(grpc::ServerContext* /*aContext*/,
                    const caller::CallRequest* aRequest,
                    grpc::ServerWriter<caller::CallEvent>* aWriter) override
  {
    if (fault_ == Fault::RefusesCalls) {
      caller::Outcome outcome;
      outcome.set_code(200);
      outcome.set_ran(caller::RAN_NOT_RUN);
      return { grpc::StatusCode::RESOURCE_EXHAUSTED,
               "",
               outcome.SerializeAsString() };
    }
    caller::CallEvent event;
    event.mutable_accepted()->set_request_key(aRequest->request_key());
    event.mutable_accepted()->set_duplicate(Record(*aRequest));
    aWriter->Write(event);
    event.mutable_chunk()->set_sequence(1);
    event.mutable_chunk()->set_text(Answer(aRequest->prompt()));
    aWriter->Write(event);
    event.mutable_finished()->mutable_outcome();
    aWriter->Write(event);
    return grpc::Status::OK;
  }

  grpc::Status GetResult(grpc::ServerContext* /*aContext*/,
                         const caller::GetResultRequest* aRequest,
                         caller::ItemResult* aReply) override
  {
    const std::lock_guard lock(mutex_);
    const auto found = prompts_.find(aRequest->request_key());
    if (found == prompts_.end() || fault_ == Fault::LosesRecords) {
      caller::Outcome outcome;
      outcome.set_code(400);
      return { grpc::StatusCode::NOT_FOUND, "", outcome.SerializeAsString() };
    }
    aReply->set_text(Answer(found->second));
    return grpc::Status::OK;
  }

  grpc::Status SubmitJob(grpc::ServerContext* /*aContext*/,
                         grpc::ServerReader<caller::SubmitJobRequest>* aReader,
                         caller::SubmitJobReply* aReply) override
  {
    const std::lock_guard lock(mutex_);
    items_.clear();
    caller::SubmitJobRequest part;
    while (aReader->Read(&part)) {
      if (part.has_item()) {
        items_.push_back(part.item());
      } else {
        aReply->set_job_key(part.header().job_key());
      }
    }
    aReply->set_duplicate(++submissions_ > 1 && fault_ != Fault::AcceptsTwice);
    return grpc::Status::OK;
  }

  grpc::Status ReadResults(
    grpc::ServerContext* /*aContext*/,
    const caller::ReadResultsRequest* /*aRequest*/,
    grpc::ServerWriter<caller::ItemResult>* aWriter) override
  {
    const std::lock_guard lock(mutex_);
    const int copies = fault_ == Fault::DoublesItems ? 2 : 1;
    for (std::uint32_t index = 0; index < items_.size(); ++index) {
      caller::ItemResult result;
      result.set_item(index);
      result.set_name(items_[index].name());
      result.set_text(Answer(items_[index].prompt()));
      for (int copy = 0; copy < copies; ++copy) {
        aWriter->Write(result);
      }
    }
    return grpc::Status::OK;
  }

private:
  /// @return whether the key was there before.
  bool Record(const caller::CallRequest& aRequest)
  {
    const std::lock_guard lock(mutex_);
    const bool isNew =
      prompts_.emplace(aRequest.request_key(), aRequest.prompt()).second;
    return !isNew && fault_ != Fault::AcceptsTwice;
  }

  [[nodiscard]] std::string Answer(const std::string& aPrompt) const
  {
    return EngineAnswerText(
      fault_ == Fault::MixesAnswers ? "another prompt" : aPrompt, kMaxTokens);
  }

  const Fault fault_;
  int port_ = 0;
  std::mutex mutex_;
  std::map<std::string, std::string> prompts_;
  std::vector<caller::JobItem> items_;
  int submissions_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

class LoadRunFixture
{
protected:
  static constexpr std::uint64_t kItems = 10;

  LoadRunFixture()
  {
    plan_.set_seed(3);
    plan_.set_service("origin-llm");
    plan_.set_alone_s(0.2);
    plan_.set_together_s(0.2);
    plan_.set_drain_s(20);
    OnlineStream& stream = *plan_.add_online();
    stream.set_kind("look-up");
    stream.set_per_s(100);
    stream.set_resend_share(0.3);
    stream.mutable_prompt()->set_words(3);
    LotPlan& lot = *plan_.add_lots();
    lot.set_kind("lineage-batch");
    lot.set_at_s(0.2);
    lot.set_items(kItems);
    lot.set_resends(1);
    lot.mutable_prompt()->set_words(3);
    const Schedule schedule = MakeSchedule(plan_, "");
    calls_ = schedule.arrivals_.size();
    for (const Arrival& arrival : schedule.arrivals_) {
      resends_ += arrival.isResent_ ? 1 : 0;
    }
  }

  Counts Run(Fault aFault)
  {
    const FakeFleet fleet(aFault);
    LoadOptions options;
    options.client_.entries_ = { fleet.Address() };
    const auto outcome = base::Capture([&] { return RunLoad(plan_, options); });
    REQUIRE(std::holds_alternative<RunOutcome>(outcome));
    return std::get<RunOutcome>(outcome).recorded_.counts_;
  }

  LoadPlan plan_;
  std::uint64_t calls_ = 0;
  std::uint64_t resends_ = 0;
};

} // namespace

TEST_CASE_METHOD(LoadRunFixture, "RunLoad_GoodFleet_CountsEverythingOnce")
{
  const Counts counts = Run(Fault::None);
  CHECK(counts.sent_ == calls_ + kItems);
  CHECK(counts.accepted_ == calls_ + kItems);
  CHECK(counts.completed_ == calls_ + kItems);
  CHECK(counts.lost_ == 0);
  CHECK(counts.doubled_ == 0);
  CHECK(counts.mixedUp_ == 0);
  CHECK(counts.refusedNotRun_ == 0);
}

// A caller gets the answer to another one's request. The tool must see it in
// the stream, in the record and in each item of the lot.
TEST_CASE_METHOD(LoadRunFixture, "RunLoad_MixedAnswers_AreSeen")
{
  CHECK(Run(Fault::MixesAnswers).mixedUp_ == 2 * calls_ + resends_ + kItems);
}

// A caller was told that its request is accepted; later nobody knows of it.
TEST_CASE_METHOD(LoadRunFixture, "RunLoad_LostRecords_AreSeen")
{
  const Counts counts = Run(Fault::LosesRecords);
  CHECK(counts.lost_ == calls_);
  CHECK(counts.completed_ == kItems);
}

// A client sends a request and a lot again, and both are accepted a second
// time: the customer is billed twice.
TEST_CASE_METHOD(LoadRunFixture, "RunLoad_ResendTakenForNew_IsDoubled")
{
  CHECK(Run(Fault::AcceptsTwice).doubled_ == resends_ + kItems);
}

TEST_CASE_METHOD(LoadRunFixture, "RunLoad_TwoResultsOfAnItem_AreDoubled")
{
  CHECK(Run(Fault::DoublesItems).doubled_ == kItems);
}

TEST_CASE_METHOD(LoadRunFixture, "RunLoad_RefusedCalls_AreNotAccepted")
{
  const Counts counts = Run(Fault::RefusesCalls);
  CHECK(counts.refusedNotRun_ == calls_);
  CHECK(counts.accepted_ == kItems);
  CHECK(counts.lost_ == 0);
}

TEST_CASE_METHOD(LoadRunFixture, "RunLoad_UnknownKind_IsRefusedBeforeItStarts")
{
  plan_.mutable_lots(0)->set_kind("other");
  const FakeFleet fleet(Fault::None);
  LoadOptions options;
  options.client_.entries_ = { fleet.Address() };
  const auto outcome = base::Capture([&] { return RunLoad(plan_, options); });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ ==
        base::ResultCode::UnknownKind);
}

} // namespace pumiceturn::load
