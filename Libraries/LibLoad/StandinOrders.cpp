#include "LibLoad/StandinOrders.h"

#include "LibSettings/Address.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pumiceturn::load {

namespace {

constexpr std::time_t kTimeoutS = 3;
constexpr int kOkStatus = 200;
constexpr const char* kJsonType = "application/json";

/// One order at its moment.
struct Order
{
  base::Duration at_{};
  std::string address_;
  std::string body_;
  bool clears_ = false;
};

base::Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(aSeconds));
}

httplib::Client
MakeClient(const std::string& aAddress)
{
  const auto address = settings::ParseAddress(aAddress);
  httplib::Client client(address->ip_, address->port_);
  client.set_connection_timeout(kTimeoutS);
  client.set_read_timeout(kTimeoutS);
  return client;
}

PostedFault
Post(const Order& aOrder, base::Instant aStart)
{
  PostedFault posted{
    base::MonotonicNow() - aStart, aOrder.address_, aOrder.body_, false
  };
  const auto reply = MakeClient(aOrder.address_)
                       .Post("/standin/faults", aOrder.body_, kJsonType);
  posted.isAnswered_ = reply && reply->status == kOkStatus;
  return posted;
}

std::vector<Order>
ListOrders(const LoadPlan& aPlan)
{
  std::vector<Order> orders;
  for (const FaultPlan& fault : aPlan.faults()) {
    for (const std::string& address : fault.addresses()) {
      const base::Duration at = Seconds(fault.at_s());
      orders.push_back({ at, address, fault.set_json(), false });
      if (!fault.clear_json().empty()) {
        const base::Duration end = fault.length_s() > 0
                                     ? at + Seconds(fault.length_s())
                                     : LengthOf(aPlan);
        orders.push_back({ end, address, fault.clear_json(), true });
      }
    }
  }
  std::stable_sort(
    orders.begin(), orders.end(), [](const Order& aLeft, const Order& aRight) {
      return aLeft.at_ < aRight.at_;
    });
  return orders;
}

} // namespace

std::vector<PostedFault>
RunFaults(const LoadPlan& aPlan, base::Instant aStart, StopSignal& aStop)
{
  std::vector<PostedFault> posted;
  bool isStopped = false;
  for (const Order& order : ListOrders(aPlan)) {
    isStopped = isStopped || !aStop.WaitUntil(aStart + order.at_);
    // A run that is stopped early leaves no fault behind.
    if (!isStopped || order.clears_) {
      posted.push_back(Post(order, aStart));
    }
  }
  return posted;
}

EngineTokens
ReadEngineTokens(const LoadPlan& aPlan)
{
  EngineTokens sum;
  sum.isKnown_ = aPlan.engine_addresses_size() > 0;
  for (const std::string& address : aPlan.engine_addresses()) {
    const auto reply = MakeClient(address).Get("/standin/stats");
    if (!reply || reply->status != kOkStatus) {
      sum.isKnown_ = false;
      continue;
    }
    const auto stats = nlohmann::json::parse(reply->body, nullptr, false);
    sum.isKnown_ = sum.isKnown_ && !stats.is_discarded();
    sum.tokens_ += stats.value("tokens", std::uint64_t{ 0 });
  }
  return sum;
}

std::uint64_t
CountRun(const LoadPlan& aPlan, std::span<const std::string_view> aPrompts)
{
  std::vector<bool> hasRun(aPrompts.size(), false);
  for (const std::string& address : aPlan.engine_addresses()) {
    httplib::Client client = MakeClient(address);
    client.set_keep_alive(true);
    for (std::size_t index = 0; index < aPrompts.size(); ++index) {
      const nlohmann::json body{ { "prompt", aPrompts[index] } };
      const auto reply = client.Post("/standin/runs", body.dump(), kJsonType);
      if (!reply || reply->status != kOkStatus) {
        continue;
      }
      const auto answer = nlohmann::json::parse(reply->body, nullptr, false);
      hasRun[index] = hasRun[index] || answer.value("runs", 0) > 0;
    }
  }
  return static_cast<std::uint64_t>(
    std::count(hasRun.begin(), hasRun.end(), true));
}

} // namespace pumiceturn::load
