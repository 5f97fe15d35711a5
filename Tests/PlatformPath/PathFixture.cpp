#include "Tests/PlatformPath/PathFixture.h"

#include "LibBase/Base64.h"
#include "LibGateway/EndpointAddress.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <set>

namespace pumiceturn::adapter {

namespace {

/// The key is declared in Base/Platform/configuration.json.
constexpr std::string_view kKeyField = "Authorization: Bearer parish-key\r\n";

/// @return the header fields, with a key prepended if they have none.
std::string
WithDefaultKey(const std::string& aFields)
{
  const bool hasKey = aFields.find("Authorization") != std::string::npos;
  return hasKey ? aFields : std::string(kKeyField) + aFields;
}

} // namespace

PathFixture::PathFixture()
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe): there is one thread.
  const char* path = std::getenv("PUMICETURN_PATH_FLEET");
  INFO(
    "PUMICETURN_PATH_FLEET is not set: run this test through Meta/test.sh or "
    "Meta/platform.sh, which start the processes");
  REQUIRE(path != nullptr);
  std::ifstream file(path);
  FleetProcess process;
  std::string address;
  while (file >> process.kind_ >> process.name_ >> address >> process.id_) {
    process.address_ = gateway::ParseAddress(address).value();
    processes_.push_back(process);
  }
  for (const char* entry : { "entry-1", "entry-2" }) {
    RunUntil(
      [&] { return SendOnlineAndWait(entry, "/look-up/1")->status_ == 200; });
  }
}

const FleetProcess&
PathFixture::Process(const std::string& aName) const
{
  const auto found = std::find_if(
    processes_.begin(), processes_.end(), [&aName](const auto& aProcess) {
      return aProcess.name_ == aName;
    });
  REQUIRE(found != processes_.end());
  return *found;
}

std::unique_ptr<CallerCall>
PathFixture::Send(const std::string& aProcess,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aFields,
                  const std::string& aBody)
{
  return SendTo(Process(aProcess).address_,
                aMethod,
                aTarget,
                WithDefaultKey(aFields),
                aBody);
}

std::unique_ptr<CallerCall>
PathFixture::SendAndWait(const std::string& aProcess,
                         const std::string& aMethod,
                         const std::string& aTarget,
                         const std::string& aFields,
                         const std::string& aBody)
{
  return SendToAndWait(Process(aProcess).address_,
                       aMethod,
                       aTarget,
                       WithDefaultKey(aFields),
                       aBody);
}

std::unique_ptr<CallerCall>
PathFixture::SendOnlineAndWait(const std::string& aProcess,
                               const std::string& aPath)
{
  return SendAndWait(
    aProcess, "POST", aPath, "Attempt-Id: r1\r\nDeadline-Ms: 20000\r\n");
}

std::string
PathFixture::ReadKey(const std::string& aKey)
{
  const auto call = SendAndWait("store", "GET", "/api/kv-key?key=" + aKey);
  if (call->status_ != 200) {
    return {};
  }
  const auto value = json::parse(call->body_)["value"].get<std::string>();
  return base::DecodeBase64(value).value_or("");
}

void
PathFixture::WriteKey(const std::string& aKey, const std::string& aValue)
{
  const json put = { { "key", aKey },
                     { "value", base::EncodeBase64(aValue) },
                     { "lease", 0 } };
  const json call = { { "expectedRev", json::array() },
                      { "puts", json::array({ put }) },
                      { "remove", json::array() } };
  CHECK(SendAndWait("store", "POST", "/api/kv-txn", {}, call.dump())->status_ ==
        200);
}

unsigned
PathFixture::Submit(const std::string& aProcess,
                    const std::string& aJob,
                    const std::string& aItemPath,
                    std::size_t aItemCount)
{
  json items = json::array();
  for (std::size_t item = 0; item < aItemCount; ++item) {
    items.push_back({ { "id", fmt::format("{}-{}", aJob, item) },
                      { "path", aItemPath },
                      { "headers", { { "Model", "m" } } },
                      { "body", base::EncodeBase64("prompt") },
                      { "tokens", 9 } });
  }
  return SendAndWait(aProcess,
                     "POST",
                     "/lots/1",
                     "Attempt-Id: " + aJob + "\r\n",
                     json{ { "items", std::move(items) } }.dump())
    ->status_;
}

PathFixture::StalledJob
PathFixture::SubmitStalledJob(const std::string& aName, std::size_t aItemCount)
{
  StalledJob stalled;
  int attempts = 0;
  // Retried, since an entry host that doesn't know the workers yet runs a job
  // itself.
  RunUntil([&] {
    stalled.job_ = aName + std::to_string(++attempts);
    CHECK(Submit("entry-1", stalled.job_, "/lots/hold-2", aItemCount) == 202);
    return ReadKey("pumiceturn/lot/" + stalled.job_).find("worker-") !=
           std::string::npos;
  });
  RunUntil([&] {
    const std::string state = ReadKey("pumiceturn/lot/" + stalled.job_);
    const std::string progress =
      ReadKey("pumiceturn/data/" + stalled.job_ + "/progress");
    const bool isWorker1 = state.find("worker-1") != std::string::npos;
    stalled.owner_ = isWorker1 ? "worker-1" : "worker-2";
    return progress.find("text-2") != std::string::npos;
  });
  return stalled;
}

bool
PathFixture::AreCompleteAndDistinct(const json& aPage, std::size_t aItemCount)
{
  std::set<std::string> items;
  bool areComplete = true;
  for (const json& result : aPage["results"]) {
    items.insert(result["id"].get<std::string>());
    areComplete = areComplete && result["state"] == "completed" &&
                  result["output"] == WholeOutput();
  }
  return areComplete && items.size() == aItemCount;
}

PathFixture::json
PathFixture::WaitForResults(const std::string& aProcess,
                            const std::string& aJob,
                            std::size_t aCount)
{
  json page;
  RunUntil([&] {
    const auto call =
      SendAndWait(aProcess, "GET", "/api/lots/" + aJob + "?after=0");
    if (call->status_ != 200) {
      return false;
    }
    page = json::parse(call->body_);
    return page["results"].size() == aCount;
  });
  return page;
}

} // namespace pumiceturn::adapter
