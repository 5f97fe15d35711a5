#include "LibLoad/Report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace pumiceturn::load {

namespace {

class ReportFixture
{
protected:
  ReportFixture()
  {
    plan_.set_service("origin-llm");
    plan_.set_warm_up_s(1);
    plan_.set_alone_s(1);
    plan_.set_together_s(4);
    plan_.add_lots()->set_at_s(2);
    plan_.mutable_capacity()->set_slots(10);
    plan_.mutable_capacity()->set_token_ms(10);
    outcome_.recorded_.seconds_.resize(8);
  }

  void AddBatch(std::size_t aSecond, std::uint32_t aItems)
  {
    Second& second = outcome_.recorded_.seconds_[aSecond];
    second.batchItems_ = aItems;
    second.batchTokens_ = std::uint64_t{ aItems } * 10;
    second.onlineTokens_ = 200;
  }

  nlohmann::json Json() const
  {
    return nlohmann::json::parse(WriteJson(plan_, outcome_));
  }

  LoadPlan plan_;
  RunOutcome outcome_;
};

} // namespace

TEST_CASE("Samples_Quantiles_AreExact")
{
  Samples samples;
  CHECK(samples.Quantile(0.5) == 0);
  for (int value = 100; value >= 1; --value) {
    samples.Add(value);
  }
  samples.Sort();
  CHECK(samples.Quantile(0) == 1);
  CHECK(samples.Summary().p50_ == 50);
  CHECK(samples.Summary().p95_ == 95);
  CHECK(samples.Summary().p99_ == 99);
  CHECK(samples.Quantile(1) == 100);
}

TEST_CASE_METHOD(ReportFixture, "MeasureBatch_IdleCapacity_IsWhatOnlineLeaves")
{
  AddBatch(2, 30);
  AddBatch(3, 50);
  const BatchUse use = MeasureBatch(plan_, outcome_.recorded_.seconds_);
  CHECK(use.lengthS_ == 2);
  CHECK(use.itemsPerS_ == 40);
  CHECK(use.idleTokensPerS_ == 800); // 1,000 of capacity less 200 of online.
  CHECK(use.shareOfIdleCapacity_ == 0.5);
}

TEST_CASE_METHOD(ReportFixture,
                 "MeasureBatch_ResultsAfterTheArrivals_AreLeftOut")
{
  AddBatch(2, 30);
  AddBatch(7, 100);
  CHECK(MeasureBatch(plan_, outcome_.recorded_.seconds_).itemsPerS_ == 30);
}

TEST_CASE_METHOD(ReportFixture, "WriteJson_Run_HasEveryField")
{
  outcome_.recorded_.alone_.firstTokenMs_.Add(20);
  outcome_.recorded_.together_.firstTokenMs_.Add(30);
  outcome_.recorded_.counts_.accepted_ = 5;
  outcome_.recorded_.endsByCode_[200] = 3;
  const auto json = Json();
  CHECK(json["harm_p99"] == 1.5);
  CHECK(json["accepted"] == 5);
  CHECK(json["ends_by_code"]["200 Overloaded"] == 3);
  for (const char* phase : { "online_alone", "online_with_batch" }) {
    for (const char* measure : { "first_token_ms", "between_tokens_ms" }) {
      for (const char* quantile : { "p50", "p95", "p99" }) {
        CHECK(json[phase][measure].contains(quantile));
      }
    }
  }
  for (const char* field : { "completed",
                             "lost",
                             "doubled",
                             "mixed_up",
                             "refused_not_run",
                             "refused_but_run",
                             "due_missed",
                             "config_spread_ms" }) {
    CAPTURE(field);
    CHECK(json.contains(field));
  }
}

// A report must not look as if something had been checked that was not.
TEST_CASE_METHOD(ReportFixture, "WriteJson_WhatWasNotMeasured_IsNull")
{
  CHECK(Json()["refused_but_run"].is_null());
  CHECK(Json()["config_spread_ms"].is_null());
  outcome_.spreads_.push_back({ 2, 120, true, true });
  CHECK(Json()["config_spread_ms"] == 120);
  outcome_.spreads_.push_back({ 3, 15'000, true, false });
  CHECK(Json()["config_spread_ms"].is_null());
  plan_.clear_capacity();
  CHECK(Json()["batch"]["share_of_idle_capacity"].is_null());
}

TEST_CASE_METHOD(ReportFixture, "WriteHtml_Report_RefersToNothingOutside")
{
  plan_.set_service("<origin>");
  AddBatch(2, 30);
  const std::string page = WriteHtml(plan_, outcome_);
  CHECK(page.find("<svg") != std::string::npos);
  CHECK(page.find("&lt;origin&gt;") != std::string::npos);
  CHECK(page.find("<origin>") == std::string::npos);
  for (const char* reference : { "http://", "https://", "src=", "href=" }) {
    CAPTURE(reference);
    CHECK(page.find(reference) == std::string::npos);
  }
}

} // namespace pumiceturn::load
