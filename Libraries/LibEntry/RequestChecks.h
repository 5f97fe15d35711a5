#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibConfiguration/ConfigurationCache.h"
#include "LibEntry/OnlineAction.h"
#include "LibWire/Messages.h"

#include <Caller.pb.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// Times and randomness at the arrival of a request.
struct Arrival
{
  base::Instant now_;
  base::WallTime wallNow_;
  /// How long the caller's own deadline allows; Duration::max() without one.
  base::Duration allowed_ = base::Duration::max();
  std::uint64_t random_ = 0;
  std::uint64_t secondRandom_ = 0;
};

constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint32_t kDefaultMaxItemBytes = 65536;
constexpr std::uint32_t kDefaultMaxItems = 500000;
constexpr std::uint32_t kDefaultMaxTokens = 1024;
constexpr std::uint32_t kDefaultDeadlineMs = 30000;
constexpr std::uint32_t kLongestDeadlineMs = 3600000;
constexpr std::uint32_t kDefaultMaxAttempts = 2;
constexpr std::uint64_t kDefaultDueS = 3600;
constexpr std::uint64_t kDefaultRetentionS = 86400;

/// @return the partner whose token it is; Unauthenticated otherwise.
/// @param aAuthorization Metadata entry, "Bearer TOKEN".
base::Result<const declarations::Partner*>
Authenticate(const configuration::Snapshot& aConfiguration,
             std::string_view aAuthorization);

/// Checks a streaming call and names it.
base::Result<OnlineDescription>
DescribeCall(const configuration::Snapshot& aConfiguration,
             const declarations::Partner& aPartner,
             const caller::CallRequest& aRequest,
             const Arrival& aArrival);

/// Checks a call of a plain service and names it.
base::Result<OnlineDescription>
DescribeServiceCall(const configuration::Snapshot& aConfiguration,
                    const declarations::Partner& aPartner,
                    const caller::ServiceCallRequest& aRequest,
                    const Arrival& aArrival);

/// What the header of a lot comes to; id, key, count and digest follow from
/// its items.
struct LotTerms
{
  wire::JobDescription job_;
  std::uint32_t maxItemBytes_ = 0;
  std::uint32_t maxItems_ = 0;
  std::uint32_t toldItems_ = 0; ///< 0: not told.
};

/// Checks the header of a lot.
base::Result<LotTerms>
DescribeLot(const configuration::Snapshot& aConfiguration,
            const declarations::Partner& aPartner,
            const caller::JobHeader& aHeader,
            base::WallTime aWallNow);

/// @return the key, or InvalidRequest for one that is empty or too long.
base::Result<std::string>
CheckKey(const std::string& aKey);

} // namespace pumiceturn::entry
