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

/// Time of arrival and random bits for one request.
struct Arrival
{
  base::Instant now_;
  base::WallTime wallNow_;
  /// Time until the caller's gRPC deadline; Duration::max() if there is none.
  base::Duration timeLeft_ = base::Duration::max();
  std::uint64_t random_ = 0;
  std::uint64_t secondRandom_ = 0;
};

constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint32_t kDefaultMaxItemBytes = 65536;
constexpr std::uint32_t kDefaultMaxItems = 500000;
constexpr std::uint32_t kDefaultMaxTokens = 1024;
constexpr std::uint32_t kDefaultDeadlineMs = 30000;
constexpr std::uint32_t kMaxDeadlineMs = 3600000;
constexpr std::uint32_t kDefaultMaxAttempts = 2;
constexpr std::uint64_t kDefaultDueS = 3600;
constexpr std::uint64_t kDefaultRetentionS = 86400;

/// Finds the partner that a token belongs to.
/// @param aAuthorization Value of the metadata key "authorization", "Bearer
/// TOKEN".
/// @return the partner, or Unauthenticated.
base::Result<const declarations::Partner*>
Authenticate(const configuration::Snapshot& aConfiguration,
             std::string_view aAuthorization);

/// Validates a streaming call and derives its description.
base::Result<OnlineDescription>
DescribeCall(const configuration::Snapshot& aConfiguration,
             const declarations::Partner& aPartner,
             const caller::CallRequest& aRequest,
             const Arrival& aArrival);

/// Validates a call of a plain service and derives its description.
base::Result<OnlineDescription>
DescribeServiceCall(const configuration::Snapshot& aConfiguration,
                    const declarations::Partner& aPartner,
                    const caller::ServiceCallRequest& aRequest,
                    const Arrival& aArrival);

/// A job as described by its header. Its ID, item count and digest, and the key
/// if the caller gave none, are set by JobSpool.
struct CheckedJobHeader
{
  wire::JobDescription job_;
  std::uint32_t maxItemBytes_ = 0;
  std::uint32_t maxItems_ = 0;
  std::uint32_t declaredItems_ = 0; ///< 0 if not declared.
};

/// Validates the header of a job.
base::Result<CheckedJobHeader>
DescribeJob(const configuration::Snapshot& aConfiguration,
            const declarations::Partner& aPartner,
            const caller::JobHeader& aHeader,
            base::WallTime aWallNow);

/// @return the key, or InvalidRequest if it is empty or too long.
base::Result<std::string>
CheckKey(const std::string& aKey);

} // namespace pumiceturn::entry
