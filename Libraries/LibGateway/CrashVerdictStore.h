#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/Time.h"
#include "LibFleet/CrashAttribution.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <string>

namespace pumiceturn::gateway {

/// Keeps in the store which features are refused as they crash endpoints, for
/// hosts that start when no other is left to tell them. One host writes the
/// entry when it changes, and the others read it at their start. Used on the
/// event thread only.
class CrashVerdictStore
{
public:
  /// @param aKeyPrefix Of the entry.
  CrashVerdictStore(metadata::StoreClient& aStore,
                    std::string aKeyPrefix,
                    fleet::CrashAttribution& aCrashes);

  /// Reads the entry until that succeeds, and writes it if it has changed.
  /// @param aMayWrite Whether this host writes the entry.
  void Tick(bool aMayWrite, base::Instant aNow);

  /// @return whether the entry has been read since the start of this host.
  [[nodiscard]] bool HasBeenRead() const { return hasBeenRead_; }

private:
  void Read(base::Instant aNow);
  void Write(const std::string& aContent);

  metadata::StoreClient& store_;
  std::string keyPrefix_;
  fleet::CrashAttribution& crashes_;
  std::string digest_; ///< Of the entry as in the store, without times.
  std::uint64_t revision_ = 0;
  bool hasBeenRead_ = false;
  bool isCurrent_ = false; ///< digest_ and revision_ may be relied on.
  bool isCalling_ = false;
  base::Instant nextReadAt_{};
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
