#include "LibStandin/KeyValueFaults.h"

#include "LibStandin/JsonExchange.h"

#include <array>
#include <stdexcept>

namespace pumiceturn::standin {

using nlohmann::json;

namespace {

constexpr std::array<const char*, 4> kOutageNames{ "none",
                                                   "error",
                                                   "drop",
                                                   "silent" };

Outage
ParseOutage(const std::string& aName)
{
  for (std::size_t index = 0; index < kOutageNames.size(); ++index) {
    if (aName == kOutageNames.at(index)) {
      return static_cast<Outage>(index);
    }
  }
  throw std::invalid_argument("unknown outage: " + aName);
}

} // namespace

KeyValueFaults
ApplyFaults(KeyValueFaults aFaults, const json& aChange)
{
  if (aChange.contains("outage")) {
    aFaults.outage_ = ParseOutage(aChange.at("outage").get<std::string>());
  }
  aFaults.slow_ = MillisecondsOf(aChange, "slow_ms", aFaults.slow_);
  aFaults.loseAnswers_ = aChange.value("lose_answers", aFaults.loseAnswers_);
  aFaults.writesPerSecond_ =
    aChange.value("writes_per_second", aFaults.writesPerSecond_);
  aFaults.readsPerSecond_ =
    aChange.value("reads_per_second", aFaults.readsPerSecond_);
  return aFaults;
}

json
ToJson(const KeyValueFaults& aFaults)
{
  const auto outage = static_cast<std::size_t>(aFaults.outage_);
  return { { "outage", kOutageNames.at(outage) },
           { "slow_ms", base::ToMs(aFaults.slow_) },
           { "lose_answers", aFaults.loseAnswers_ },
           { "writes_per_second", aFaults.writesPerSecond_ },
           { "reads_per_second", aFaults.readsPerSecond_ } };
}

json
ToJson(const KeyValueStats& aStats)
{
  return { { "range", aStats.range_ },
           { "put", aStats.put_ },
           { "txn", aStats.txn_ },
           { "deleterange", aStats.deleteRange_ },
           { "lease_grant", aStats.leaseGrant_ },
           { "lease_keepalive", aStats.leaseKeepAlive_ },
           { "lease_revoke", aStats.leaseRevoke_ },
           { "watch", aStats.watch_ },
           { "calls", aStats.Calls() },
           { "rate_limited", aStats.rateLimited_ },
           { "outage", aStats.outage_ },
           { "answers_lost", aStats.answersLost_ },
           { "watches_open", aStats.watchesOpen_ } };
}

} // namespace pumiceturn::standin
