#pragma once

#include "LibBase/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace pumiceturn::standin {

/// How the key-value service is out of order. Calls then have no effect.
enum class Outage : std::uint8_t
{
  None,   ///< [none]
  Error,  ///< [error] HTTP 503 at once.
  Drop,   ///< [drop] The connection closes without an answer.
  Silent, ///< [silent] No answer until the outage or the client's patience
          ///< ends.
};

/// What the key-value stand-in does wrong. JSON names of POST /standin/faults
/// in brackets.
struct KeyValueFaults
{
  Outage outage_ = Outage::None;  ///< [outage]
  base::Duration slow_{};         ///< [slow_ms] Wait before each call's effect.
  std::uint32_t loseAnswers_ = 0; ///< [lose_answers] So many next writes take
                                  ///< effect and lose their answer.
  double writesPerSecond_ = 500.0; ///< [writes_per_second] 0: no limit.
  double readsPerSecond_ = 2000.0; ///< [reads_per_second] 0: no limit.
};

/// Calls by kind, refused ones included. A watch counts once.
struct KeyValueStats
{
  std::uint64_t range_ = 0;
  std::uint64_t put_ = 0;
  std::uint64_t txn_ = 0;
  std::uint64_t deleteRange_ = 0;
  std::uint64_t leaseGrant_ = 0;
  std::uint64_t leaseKeepAlive_ = 0;
  std::uint64_t leaseRevoke_ = 0;
  std::uint64_t watch_ = 0;
  std::uint64_t rateLimited_ = 0; ///< Refused with HTTP 429.
  std::uint64_t outage_ = 0;      ///< Met an outage.
  std::uint64_t answersLost_ = 0;
  std::uint64_t watchesOpen_ = 0; ///< Now.

  /// @return all calls, as the platform counts them.
  [[nodiscard]] std::uint64_t Calls() const
  {
    return range_ + put_ + txn_ + deleteRange_ + leaseGrant_ + leaseKeepAlive_ +
           leaseRevoke_ + watch_;
  }
};

/// @param aChange JSON object; keys that it lacks stay as they are.
/// @return the faults with the change; throws nlohmann::json::exception on a
/// wrong type and std::invalid_argument for an unknown outage.
KeyValueFaults
ApplyFaults(KeyValueFaults aFaults, const nlohmann::json& aChange);

nlohmann::json
ToJson(const KeyValueFaults& aFaults);

nlohmann::json
ToJson(const KeyValueStats& aStats);

} // namespace pumiceturn::standin
