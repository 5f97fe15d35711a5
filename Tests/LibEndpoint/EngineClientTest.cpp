#include "LibEndpoint/EngineClient.h"

#include "LibBase/Ids.h"
#include "LibStandin/EngineAnswer.h"
#include "LibStandin/EngineStandin.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pumiceturn::endpoint {

namespace {

using base::Ran;
using base::ResultCode;
using standin::EngineAnswerText;
using standin::EngineStandin;

template<typename T>
T
ValueOrFail(base::Outcome<T> aOutcome)
{
  if (const auto* failure = std::get_if<base::Failure>(&aOutcome)) {
    FAIL(base::NameOf(failure->code_) << ": " << failure->detail_);
  }
  return std::get<0>(std::move(aOutcome));
}

template<typename T>
ResultCode
CodeOf(const base::Outcome<T>& aOutcome)
{
  const auto* failure = std::get_if<base::Failure>(&aOutcome);
  return failure == nullptr ? ResultCode::Ok : failure->code_;
}

CompletionRequest
MakeRequest(std::string aId, std::string aPrompt, std::uint32_t aTokens = 8)
{
  CompletionRequest request;
  request.id_ = std::move(aId);
  request.prompt_ = std::move(aPrompt);
  request.maxTokens_ = aTokens;
  return request;
}

struct EngineFixture
{
  EngineFixture()
  {
    EngineStandin::Options options;
    options.model_.stepMs_ = 1.0;
    options.model_.stepPerRunningMs_ = 0.01;
    options.model_.maxRunning_ = 4;
    options.faults_.crashRestart_ = std::chrono::milliseconds{ 50 };
    engine_ =
      ValueOrFail(base::Capture([&] { return EngineStandin::Start(options); }));
    EngineClient::Options clientOptions;
    clientOptions.address_ = "127.0.0.1:" + std::to_string(engine_->Port());
    client_ = ValueOrFail(
      base::Capture([&] { return EngineClient::Make(clientOptions); }));
  }

  CompletionEnd Stream(const CompletionRequest& aRequest, std::string& aText)
  {
    return client_->StreamCompletion(
      aRequest,
      [&](std::string_view aToken) {
        aText += aToken;
        return TokenDecision::Continue;
      },
      [] { return false; });
  }

  std::unique_ptr<EngineStandin> engine_;
  std::unique_ptr<EngineClient> client_;
};

} // namespace

TEST_CASE_METHOD(EngineFixture,
                 "StreamCompletion_CompleteResponse_IsTheTextOfTheEngine")
{
  std::string text;
  const CompletionEnd end = Stream(MakeRequest("1", "Hvorfra?", 12), text);
  CHECK(end.code_ == ResultCode::Ok);
  CHECK(end.ran_ == Ran::Ran);
  CHECK(text == EngineAnswerText("Hvorfra?", 12));
}

TEST_CASE_METHOD(EngineFixture, "StreamCompletion_Resumed_ContinuesWithoutGap")
{
  const auto tokens = standin::EngineAnswer("Mstari", 12);
  CompletionRequest request = MakeRequest("1", "Mstari", 12);
  request.resumeTokens_ = 3;
  std::string text = tokens[0] + tokens[1] + tokens[2];
  const CompletionEnd end = Stream(request, text);
  CHECK(end.code_ == ResultCode::Ok);
  CHECK(text == EngineAnswerText("Mstari", 12));
}

TEST_CASE_METHOD(EngineFixture,
                 "StreamCompletion_ManyConcurrent_EachGetsItsOwnResponse")
{
  // Guards against mixed-up or truncated responses of concurrent streams.
  constexpr int kStreams = 64;
  std::vector<std::future<bool>> results;
  results.reserve(kStreams);
  for (int stream = 0; stream < kStreams; ++stream) {
    results.push_back(std::async(std::launch::async, [this, stream] {
      const std::string prompt = "prompt " + std::to_string(stream);
      std::string text;
      const CompletionEnd end =
        Stream(MakeRequest(std::to_string(stream), prompt), text);
      return end.code_ == ResultCode::Ok && text == EngineAnswerText(prompt, 8);
    }));
  }
  for (auto& result : results) {
    CHECK(result.get());
  }
  CHECK(engine_->Stats().finished_ == kStreams);
}

TEST_CASE("StreamCompletion_ConnectionRefused_IsNotRun")
{
  // Guards against reporting an unknown outcome when no connection was made.
  std::string address;
  {
    const auto gone =
      ValueOrFail(base::Capture([] { return EngineStandin::Start({}); }));
    address = "127.0.0.1:" + std::to_string(gone->Port());
  }
  const auto client = ValueOrFail(
    base::Capture([&] { return EngineClient::Make({ .address_ = address }); }));
  const CompletionEnd end = client->StreamCompletion(
    MakeRequest("1", "x"),
    [](std::string_view) { return TokenDecision::Continue; },
    [] { return false; });
  CHECK(end.code_ == ResultCode::NoEndpoint);
  CHECK(end.ran_ == Ran::NotRun);
  CHECK_FALSE(client->IsHealthy());
}

TEST_CASE_METHOD(EngineFixture, "StreamCompletion_EngineCrashes_IsUnknown")
{
  // Guards against reporting NotRun for requests that were sent before a crash.
  std::promise<void> begun;
  auto other = std::async(std::launch::async, [&] {
    bool isFirst = true;
    return client_->StreamCompletion(
      MakeRequest("other", "long", 2000),
      [&](std::string_view) {
        if (isFirst) {
          begun.set_value();
        }
        isFirst = false;
        return TokenDecision::Continue;
      },
      [] { return false; });
  });
  begun.get_future().wait();
  std::string text;
  const CompletionEnd crashing =
    Stream(MakeRequest("crashing", "please CRASH-ENGINE now"), text);
  CHECK(crashing.code_ == ResultCode::EndpointCrashed);
  CHECK(crashing.ran_ == Ran::Unknown);
  CHECK(text.empty());
  const CompletionEnd otherEnd = other.get();
  CHECK(otherEnd.code_ == ResultCode::EndpointCrashed);
  CHECK(otherEnd.ran_ == Ran::Unknown);
  CHECK(engine_->Stats().crashes_ == 1);
  while (!client_->IsHealthy()) {
    std::this_thread::yield();
  }
  CHECK(Stream(MakeRequest("again", "long"), text).code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(
  EngineFixture,
  "StreamCompletion_CrashDuringManyStreams_PartialResponsesAreIntact")
{
  // Guards against corrupt or misclassified responses after a crash.
  constexpr int kStreams = 64;
  std::once_flag crashed;
  std::atomic<int> broken = 0;
  std::vector<std::future<bool>> results;
  results.reserve(kStreams);
  for (int stream = 0; stream < kStreams; ++stream) {
    results.push_back(std::async(std::launch::async, [&, stream] {
      const std::string prompt = "prompt " + std::to_string(stream);
      std::string text;
      const CompletionEnd end = client_->StreamCompletion(
        MakeRequest(std::to_string(stream), prompt, 20),
        [&](std::string_view aToken) {
          text += aToken;
          std::call_once(crashed, [&] { engine_->Crash(); });
          return TokenDecision::Continue;
        },
        [] { return false; });
      const std::string whole = EngineAnswerText(prompt, 20);
      if (end.code_ == ResultCode::Ok) {
        return text == whole;
      }
      ++broken;
      const bool isNotSent = end.ran_ == Ran::NotRun && text.empty();
      return isNotSent || (end.ran_ == Ran::Unknown && whole.starts_with(text));
    }));
  }
  for (auto& result : results) {
    CHECK(result.get());
  }
  CHECK(broken.load() > 0);
}

TEST_CASE_METHOD(EngineFixture,
                 "StreamCompletion_ConnectionReceivesNothing_IsTimedOut")
{
  // Guards against waiting forever on a connection without data.
  EngineClient::Options options;
  options.address_ = "127.0.0.1:" + std::to_string(engine_->Port());
  options.idleTimeout_ = std::chrono::milliseconds{ 300 };
  const auto shortTimeout =
    ValueOrFail(base::Capture([&] { return EngineClient::Make(options); }));
  std::string received;
  const CompletionEnd end = shortTimeout->StreamCompletion(
    MakeRequest("1", "long", 100000),
    [&](std::string_view aToken) {
      received += aToken;
      engine_->SilenceRunning();
      return TokenDecision::Continue;
    },
    [] { return false; });
  CHECK(end.code_ == ResultCode::TimedOut);
  CHECK(end.ran_ == Ran::Unknown);
  CHECK(EngineAnswerText("long", 100000).starts_with(received));
  std::string text;
  CHECK(Stream(MakeRequest("2", "x"), text).code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(EngineFixture, "StreamCompletion_ErrorStatus_IsEndpointFailed")
{
  standin::EngineFaults faults = engine_->Faults();
  faults.rejectCompletions_ = true;
  engine_->SetFaults(faults);
  std::string text;
  const CompletionEnd end = Stream(MakeRequest("1", "x"), text);
  CHECK(end.code_ == ResultCode::EndpointFailed);
  CHECK(end.ran_ == Ran::Unknown);
  CHECK(end.httpStatus_ == 503);
}

TEST_CASE_METHOD(EngineFixture, "StreamCompletion_PromptIsNotUtf8_IsNotSent")
{
  std::string text;
  const CompletionEnd end = Stream(MakeRequest("1", "\xFF\xFE"), text);
  CHECK(end.code_ == ResultCode::InvalidRequest);
  CHECK(end.ran_ == Ran::NotRun);
  CHECK(engine_->Stats().submitted_ == 0);
}

TEST_CASE_METHOD(EngineFixture, "StreamCompletion_ReceiverStops_EndsAtEngine")
{
  const CompletionEnd end = client_->StreamCompletion(
    MakeRequest("1", "long", 100000),
    [](std::string_view) { return TokenDecision::Stop; },
    [] { return false; });
  CHECK(end.code_ == ResultCode::Cancelled);
  CHECK(end.tokens_ == 1);
  while (engine_->Stats().running_ > 0) {
    std::this_thread::yield();
  }
  CHECK(engine_->Stats().cancelled_ == 1);
}

TEST_CASE_METHOD(EngineFixture, "Cancel_StreamWithoutData_EndsAsCancelled")
{
  // Guards against a cancel that cannot end a stream blocked on a hung engine.
  standin::EngineFaults faults = engine_->Faults();
  faults.hang_ = true;
  engine_->SetFaults(faults);
  auto stream = std::async(std::launch::async, [&] {
    std::string text;
    return Stream(MakeRequest("1", "x"), text);
  });
  while (engine_->Stats().submitted_ == 0) {
    std::this_thread::yield();
  }
  const auto cancelled = base::Capture([&] { return client_->Cancel("1"); });
  CHECK(CodeOf(cancelled) == ResultCode::Ok);
  CHECK(stream.get().code_ == ResultCode::Cancelled);
  CHECK(engine_->Stats().waiting_ == 0);
}

TEST_CASE_METHOD(EngineFixture,
                 "SendCommand_OlderFence_IsStaleUnlessEngineIgnoresFences")
{
  const auto send = [&](std::uint64_t aFence) {
    EngineCommand command;
    command.name_ = "origin-7b";
    command.version_ = "3";
    command.fence_ = aFence;
    return CodeOf(base::Capture([&] { return client_->SendCommand(command); }));
  };
  CHECK(send(7) == ResultCode::Ok);
  CHECK(send(6) == ResultCode::StaleFence);
  standin::EngineFaults faults = engine_->Faults();
  faults.ignoreFence_ = true;
  engine_->SetFaults(faults);
  CHECK(send(6) == ResultCode::Ok);
  CHECK(engine_->Stats().staleOrders_ == 1);
}

TEST_CASE_METHOD(EngineFixture, "ReadLoad_WithLag_ReportsEarlierLoad")
{
  standin::EngineFaults faults = engine_->Faults();
  faults.hang_ = true;
  engine_->SetFaults(faults);
  auto stream = std::async(std::launch::async, [&] {
    std::string text;
    return Stream(MakeRequest("1", "x"), text);
  });
  while (engine_->Stats().waiting_ == 0) {
    std::this_thread::yield();
  }
  const auto waiting = [&] {
    return ValueOrFail(base::Capture([&] { return client_->ReadLoad(); }))
      .waiting_;
  };
  CHECK(waiting() == 1);
  faults.loadLag_ = std::chrono::seconds{ 50 };
  engine_->SetFaults(faults);
  CHECK(waiting() == 0);
  faults.hang_ = false;
  engine_->SetFaults(faults);
  CHECK(stream.get().code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(EngineFixture, "ReadCacheEvents_EventsLost_GapIsReported")
{
  const std::string prompt(256, 'p');
  std::string text;
  Stream(MakeRequest("1", prompt, 2), text);
  const auto read = [&](std::uint64_t aAfter) {
    return ValueOrFail(
      base::Capture([&] { return client_->ReadCacheEvents(aAfter); }));
  };
  const CacheEventPage whole = read(0);
  CHECK_FALSE(whole.hasGap_);
  REQUIRE(whole.events_.size() == 4);
  // The engine stores the last block of the prompt first.
  CHECK(whole.events_[0].prefixBytes_ == 256);
  CHECK(whole.events_[0].prefixHash_ == base::HashBytes(prompt));

  standin::EngineFaults faults = engine_->Faults();
  faults.loseOneOf_ = 2;
  engine_->SetFaults(faults);
  Stream(MakeRequest("2", std::string(256, 'q'), 2), text);
  const CacheEventPage withGap = read(whole.lastSequence_);
  CHECK(withGap.hasGap_);
  CHECK(withGap.events_.size() == 2);

  faults.eventDelay_ = std::chrono::hours{ 1 };
  engine_->SetFaults(faults);
  CHECK(read(0).events_.empty());
}

} // namespace pumiceturn::endpoint
