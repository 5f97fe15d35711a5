#pragma once

#include "Tests/Platform/GatewayFixture.h"

#include <nlohmann/json.hpp>

#include <string>

namespace pumiceturn::adapter {

/// An entry host and two servers (endpoints), with helpers that submit and read
/// a job.
class BatchJobsFixture : protected GatewayFixture
{
protected:
  BatchJobsFixture()
  {
    WriteConfiguration(1);
    AddServer("i-1");
    AddServer("i-2");
    entry_ = &StartHost("entry", batch::BatchPreference::Fallback);
  }

  TestHost& StartWorker(const std::string& aName)
  {
    return StartHost(aName, batch::BatchPreference::Worker);
  }

  unsigned Submit(TestHost& aHost, int aItems)
  {
    return SendAndWait(
             aHost, "POST", "/lots/1", "Attempt-Id: lot1\r\n", JobBody(aItems))
      ->status_;
  }

  using json = nlohmann::json;

  json Results(TestHost& aHost, std::size_t aPosition = 0)
  {
    const auto call = SendAndWait(
      aHost, "GET", "/api/lots/lot1?after=" + std::to_string(aPosition));
    return call->status_ == 200 ? json::parse(call->body_) : json();
  }

  json WaitForAll(TestHost& aHost, std::size_t aCount)
  {
    json page;
    RunUntil([&] {
      page = Results(aHost);
      return page.is_object() && page["results"].size() == aCount;
    });
    return page;
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      count += server->Requests().size();
    }
    return count;
  }

  TestHost* entry_ = nullptr;
};

} // namespace pumiceturn::adapter
