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

/// Prefixes of the store that hosts mirror. Their numbers are sent to peers.
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

/// A host's report on its mirrors, sent to its peers several times a second.
struct StoreReport
{
  struct PrefixView
  {
    StorePrefix prefix_ = StorePrefix::Operators;
    metadata::MirrorView view_;
  };

  metadata::FollowerState state_;
  std::uint64_t incarnation_ = 0; ///< Unique to each start of the process.
  base::BootInstant sentAt_{}; ///< On the sender's clock, like times in views.
  std::vector<PrefixView> views_; ///< Views of the followed prefixes.
};

/// Changes that a follower sends to its peers; times are on its clock.
struct StoreDelta
{
  StorePrefix prefix_ = StorePrefix::Operators;
  metadata::MirrorDelta delta_;
};

[[nodiscard]] nlohmann::json
EncodeStoreReport(const StoreReport& aReport);

/// @throws nlohmann::json::exception if aRow isn't a report.
[[nodiscard]] StoreReport
DecodeStoreReport(const nlohmann::json& aRow);

/// @return the compressed changes and their uncompressed size; std::nullopt if
///         they don't fit into a datagram. Peers then detect that they miss
///         changes, and read the store.
[[nodiscard]] std::optional<nlohmann::json>
EncodeStoreDelta(const StoreDelta& aDelta);

/// @throws nlohmann::json::exception if aRow isn't a delta.
[[nodiscard]] StoreDelta
DecodeStoreDelta(const nlohmann::json& aRow);

} // namespace pumiceturn::gateway
