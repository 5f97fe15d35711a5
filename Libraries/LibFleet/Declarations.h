#pragma once

#include "LibBase/Time.h"
#include "LibBase/TokenDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

/// What the system may do with a request after an attempt that may have run.
enum class RequestKind : std::uint8_t
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< May run at most once for each attempt of the caller.
  Stream,        ///< A series of events; may run again only if resumable.
  BatchJob,      ///< Many items, accepted at once and run later.
};

/// One service that a route leads to, with its share of the requests.
struct RouteTarget
{
  std::string service_;
  double weight_ = 1.0;
};

/// How requests for one host name and path prefix are handled.
struct Route
{
  std::string name_;
  std::string hostName_;
  std::string pathPrefix_; ///< Begins and ends with a slash.
  RequestKind kind_ = RequestKind::NonIdempotent;
  bool isResumable_ = false; ///< A stream may go on at another endpoint.
  std::vector<RouteTarget> targets_;
  std::uint32_t maxAttempts_ = 1; ///< Endpoints for one attempt of the caller.
  base::Duration timeout_{ std::chrono::seconds{ 15 } };
  /// Within which the answer, or a stream's first event, is on time; zero:
  /// nothing is declared.
  base::Duration objective_{ 0 };
  base::Duration dueAfter_{ 0 };    ///< Of a job, from its first submission.
  base::Duration giveUpAfter_{ 0 }; ///< When a job's item may be abandoned.
  /// Tokens that accepted items of an organisation's jobs may have waiting at a
  /// time; zero: no bound.
  std::uint64_t waitingTokenCap_ = 0;
  bool allowsAnonymous_ = false; ///< Callers need no key.
};

/// How many requests may run, for all hosts together.
struct RateLimit
{
  double ratePerSecond_ = 0.0; ///< Zero: no limit.
  double burst_ = 0.0;         ///< Requests beyond the rate at one moment.

  [[nodiscard]] bool IsSet() const { return ratePerSecond_ > 0.0; }
  bool operator==(const RateLimit&) const = default;
};

/// A customer whose callers show one of its keys.
struct Organisation
{
  std::string name_;
  std::vector<base::TokenDigest> keys_;
  RateLimit limit_;
};

/// What callers may send.
struct CallerLimits
{
  std::uint32_t maxHeaderBytes_ = 16384;
  std::uint64_t maxBodyBytes_ = 4194304;
  base::Duration headerTimeout_{ std::chrono::seconds{ 3 } };
  base::Duration idleTimeout_{ std::chrono::seconds{ 15 } };
};

/// One version of the whole configuration.
struct Declarations
{
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  CallerLimits limits_;
  /// Nothing: callers need no keys.
  std::optional<std::vector<Organisation>> organisations_;
};

/// One start of an endpoint. An endpoint may start again under its id, at the
/// same or another address, and then knows nothing of before.
struct EndpointIncarnation
{
  std::string id_;
  std::int64_t startedAtMs_ = 0; ///< Unix time of the start; 0: not said.

  bool operator==(const EndpointIncarnation&) const = default;
};

/// An endpoint as it registered itself.
struct EndpointRecord
{
  std::string id_;
  std::string service_;
  std::string address_; ///< IP:PORT; may pass to another service later.
  std::string failureDomain_;
  std::uint32_t slots_ = 1;
  bool isDraining_ = false;
  std::int64_t startedAtMs_ = 0; ///< Unix time of its start; 0: not said.

  [[nodiscard]] EndpointIncarnation Incarnation() const
  {
    return { id_, startedAtMs_ };
  }

  bool operator==(const EndpointRecord&) const = default;
};

} // namespace pumiceturn::fleet
