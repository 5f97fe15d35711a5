#pragma once

#include "LibMetadata/FollowerSelector.h"
#include "LibMetadata/MirrorDelta.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pumiceturn::gateway {

/// The prefixes of the store that hosts keep a copy of. Their numbers travel
/// between hosts.
enum class StorePrefix : std::uint8_t
{
  Operators = 0,
  Endpoints = 1,
  BatchJobs = 2,
  Hosts = 3,
};

inline constexpr std::array kStorePrefixes = { StorePrefix::Operators,
                                               StorePrefix::Endpoints,
                                               StorePrefix::BatchJobs,
                                               StorePrefix::Hosts };

/// What a host tells its peers of the store, several times a second.
struct StoreReport
{
  struct View
  {
    StorePrefix prefix_ = StorePrefix::Operators;
    metadata::MirrorView view_;
  };

  metadata::FollowerState state_;
  std::uint64_t incarnation_ = 0; ///< New at each start of its process.
  base::BootInstant sentAt_{};    ///< On its clock, as moments in the views.
  std::vector<View> views_;       ///< Of the prefixes that it follows.
};

/// Changes that a follower passes on; moments are on its clock.
struct StoreDelta
{
  StorePrefix prefix_ = StorePrefix::Operators;
  metadata::MirrorDelta delta_;
};

[[nodiscard]] nlohmann::json
EncodeStoreReport(const StoreReport& aReport);

/// @throws nlohmann::json::exception where it is no report.
[[nodiscard]] StoreReport
DecodeStoreReport(const nlohmann::json& aRow);

/// @return nothing where the changes are too many for a datagram: peers then
///         see that they lack something, and ask the store.
[[nodiscard]] std::optional<nlohmann::json>
EncodeStoreDelta(const StoreDelta& aDelta);

/// @throws nlohmann::json::exception where it is no delta.
[[nodiscard]] StoreDelta
DecodeStoreDelta(const nlohmann::json& aRow);

} // namespace pumiceturn::gateway
