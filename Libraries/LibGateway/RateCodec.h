#pragma once

#include "LibFleet/RateMessages.h"

#include <nlohmann/json_fwd.hpp>

namespace pumiceturn::gateway {

[[nodiscard]] nlohmann::json
EncodeRateReport(const fleet::RateReport& aReport);

/// @throws nlohmann::json::exception if aRow isn't a report.
[[nodiscard]] fleet::RateReport
DecodeRateReport(const nlohmann::json& aRow);

[[nodiscard]] nlohmann::json
EncodeRateResponse(const fleet::RateResponse& aResponse);

/// @throws nlohmann::json::exception if aRow isn't a response.
[[nodiscard]] fleet::RateResponse
DecodeRateResponse(const nlohmann::json& aRow);

} // namespace pumiceturn::gateway
