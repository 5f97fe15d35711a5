#pragma once

#include "LibBase/Time.h"
#include "LibBase/TokenDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Kind of a request. Determines whether it may be retried after an attempt
/// that may have been executed.
enum class RequestKind : std::uint8_t
{
  Idempotent,    ///< May be executed more than once.
  NonIdempotent, ///< Executed at most once for each request of the caller.
  Stream,        ///< A series of events; may be retried only if resumable.
  BatchJob,      ///< Many items, accepted together and run later.
};

/// A service that a route sends requests to, and its share of them.
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
  std::string pathPrefix_; ///< Starts and ends with a slash.
  RequestKind kind_ = RequestKind::NonIdempotent;
  bool isResumable_ = false; ///< A stream may resume at another endpoint.
  std::vector<RouteTarget> targets_;
  /// Maximum number of endpoints tried for one request of the caller.
  std::uint32_t maxAttempts_ = 1;
  base::Duration timeout_{ std::chrono::seconds{ 15 } };
  /// Target time to the response, or to a stream's first event; zero if none is
  /// declared.
  base::Duration objective_{ 0 };
  /// Longest time between two events of a stream; zero if none is declared.
  base::Duration maxPause_{ 0 };
  /// Time from a job's first submission until it is due.
  base::Duration dueAfter_{ 0 };
  /// Time after which a job's item may be abandoned.
  base::Duration giveUpAfter_{ 0 };
  /// Maximum number of tokens in an organisation's batch items that were
  /// accepted and still wait to run; zero: unlimited.
  std::uint64_t waitingTokenCap_ = 0;
  bool allowsAnonymous_ = false; ///< Callers don't need a key.
  std::uint32_t priority_ = 0;   ///< 0 is the highest.
};

/// Rate limit of an organisation, for all hosts together.
struct RateLimit
{
  double ratePerSecond_ = 0.0; ///< Zero: unlimited.
  double burst_ = 0.0; ///< Requests allowed beyond the rate at any moment.

  [[nodiscard]] bool IsSet() const { return ratePerSecond_ > 0.0; }
  bool operator==(const RateLimit&) const = default;
};

/// A customer, identified by its keys.
struct Organisation
{
  std::string name_;
  std::vector<base::TokenDigest> keys_;
  RateLimit limit_;
  /// Replaces the priority of routes for this organisation's requests.
  std::optional<std::uint32_t> priority_ = std::nullopt;
};

/// Limits on what callers send.
struct CallerLimits
{
  std::uint32_t maxHeaderBytes_ = 16384;
  std::uint64_t maxBodyBytes_ = 4194304;
  base::Duration headerTimeout_{ std::chrono::seconds{ 3 } };
  base::Duration idleTimeout_{ std::chrono::seconds{ 15 } };
};

/// One version of the declared routes, services, limits and organisations.
struct Declarations
{
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  CallerLimits limits_;
  /// Without a list, callers don't need keys; with an empty one, no key is
  /// valid.
  std::optional<std::vector<Organisation>> organisations_;
  /// Paths of the health checks of services' endpoints, by service.
  std::unordered_map<std::string, std::string> healthPaths_{};
};

/// Identifies one process of an endpoint. An endpoint may restart under the
/// same id, at the same or another address, without any of its former state.
struct EndpointIncarnation
{
  std::string id_;
  std::int64_t startedAtMs_ = 0; ///< Unix time of the start; 0: unknown.

  bool operator==(const EndpointIncarnation&) const = default;
};

/// An endpoint as registered by itself.
struct EndpointRecord
{
  std::string id_;
  std::string service_;
  std::string address_; ///< IP:PORT; may be reused by another service later.
  std::string failureDomain_;
  std::uint32_t slots_ = 1;
  bool isDraining_ = false;
  std::int64_t startedAtMs_ = 0; ///< Unix time of its start; 0: unknown.
  /// Version of its software. What two versions write doesn't fit together: a
  /// stream continues only at the version that began it.
  std::string softwareVersion_{};

  [[nodiscard]] EndpointIncarnation Incarnation() const
  {
    return { id_, startedAtMs_ };
  }

  bool operator==(const EndpointRecord&) const = default;
};

/// Load that an endpoint reports with a response, as of when the response
/// began.
struct EndpointLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  /// How long work takes on the machine at this moment; 100: as usual; more:
  /// slower; empty if not reported.
  std::optional<std::uint32_t> slownessPercent_ = std::nullopt;

  bool operator==(const EndpointLoad&) const = default;
};

} // namespace pumiceturn::fleet
