#pragma once

#include "LibFleet/RateMessages.h"

#include <nlohmann/json_fwd.hpp>

namespace pumiceturn::gateway {

[[nodiscard]] nlohmann::json
EncodeRateReport(const fleet::RateReport& aReport);

/// @throws nlohmann::json::exception where it is no report.
[[nodiscard]] fleet::RateReport
DecodeRateReport(const nlohmann::json& aRow);

[[nodiscard]] nlohmann::json
EncodeRateAnswer(const fleet::RateAnswer& aAnswer);

/// @throws nlohmann::json::exception where it is no answer.
[[nodiscard]] fleet::RateAnswer
DecodeRateAnswer(const nlohmann::json& aRow);

} // namespace pumiceturn::gateway
