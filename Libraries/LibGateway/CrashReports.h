#pragma once

#include "LibFleet/CrashEvidence.h"
#include "LibGateway/SharedState.h"
#include "LibHttpStream/Message.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pumiceturn::gateway {

/// @return what a caller's request has in common with others.
fleet::RequestFeatures
FeaturesOf(const httpstream::Request& aRequest, const CallerFields& aFields);

/// @return what a job's item has in common with requests.
fleet::RequestFeatures
FeaturesOf(const batch::BatchItem& aItem, const Codec& aCodec);

/// Records an attempt of this host that broke, and decides anew.
void
RecordBrokenAttempt(SharedState& aShared, const fleet::BrokenAttempt& aAttempt);

/// Decides which features are refused, and logs the changes. Called several
/// times per second and with each new observation, on the event thread.
void
UpdateCrashVerdicts(SharedState& aShared, base::Instant aNow);

/// Logs and counts a request that is refused.
void
ReportRefusal(SharedState& aShared,
              const std::string& aRequestId,
              const fleet::CrashesEndpoints& aRefusal);

/// @return when to tell a caller to come back.
base::Duration
RetryAfter(const fleet::CrashesEndpoints& aRefusal);

/// @return the parts of a prompt, in hexadecimal digits, for the log. The first
///         ones if there are many.
std::string
LoggedParts(std::span<const std::uint64_t> aParts);

/// @return a feature as it is logged.
std::string
ToString(std::uint64_t aFeature);

/// @return the feature; empty if the text is none.
std::optional<std::uint64_t>
ParseFeature(std::string_view aText);

/// @return the features that are refused, for operators: JSON.
std::string
WriteVerdicts(const fleet::CrashAttribution& aCrashes, base::Instant aNow);

/// @return evidence as a message to peers. Has ages, as hosts' clocks differ.
nlohmann::json
EncodeCrashEvidence(const fleet::CrashEvidence& aEvidence, base::Instant aNow);

/// @return the evidence that a peer sent. Rows beyond what a host sends are
///         left out.
/// @throws nlohmann::json::exception if the message is malformed.
fleet::CrashEvidence
DecodeCrashEvidence(const nlohmann::json& aMessage, base::Instant aNow);

} // namespace pumiceturn::gateway
