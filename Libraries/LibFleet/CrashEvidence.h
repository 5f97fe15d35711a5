#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pumiceturn::fleet {

/// What a request has in common with others: hashes of its features. One of
/// them may crash each endpoint that begins to run it.
struct RequestFeatures
{
  std::uint64_t content_ = 0;        ///< Of its target and body.
  std::vector<std::uint64_t> parts_; ///< Of the parts of its prompt that other
                                     ///< requests may share.

  bool operator==(const RequestFeatures&) const = default;
};

/// An attempt whose connection broke, as if its endpoint had crashed.
struct BrokenAttempt
{
  EndpointIncarnation endpoint_;
  RequestFeatures features_;
  base::Instant sentAt_;
  base::Instant brokeAt_;
  /// Of a batch item, which doesn't crash endpoints by itself: its content
  /// isn't considered.
  bool isBatchItem_ = false;
};

/// When a request with a feature was last answered by an endpoint that lived
/// on.
struct AnsweredFeature
{
  std::uint64_t feature_ = 0;
  base::Instant answeredAt_;
};

/// A feature whose requests are refused, as it crashes endpoints.
struct CrashVerdict
{
  std::uint64_t feature_ = 0;
  base::Instant decidedAt_;     ///< Of the decision or the latest trial.
  std::uint32_t trials_ = 0;    ///< Requests let through since the decision.
  std::uint32_t endpoints_ = 0; ///< That had crashed before the decision.
  bool isLifted_ = false;
  base::Instant liftedAt_{};
};

/// What hosts tell each other about crashes.
struct CrashEvidence
{
  std::vector<BrokenAttempt> broken_;
  std::vector<AnsweredFeature> answered_;
  std::vector<CrashVerdict> verdicts_;

  [[nodiscard]] bool IsEmpty() const
  {
    return broken_.empty() && answered_.empty() && verdicts_.empty();
  }
};

/// No feature of a request is known to crash endpoints.
struct NotSuspected
{};

/// Requests with the feature were at endpoints that crashed, and none has been
/// answered since.
struct Suspected
{
  std::uint64_t feature_ = 0;
  std::vector<std::string> crashedEndpoints_; ///< Ids.
};

/// The feature crashes endpoints: the request must be refused.
struct CrashesEndpoints
{
  std::uint64_t feature_ = 0;
  base::Duration untilTrial_{ 0 }; ///< Until another request is let through.
  bool isTrialDue_ = false;        ///< This host may let one through now.
  /// A batch item may be tried. Items are owed, and are tried sooner.
  bool isBatchTrialDue_ = false;
};

using CrashAssessment = std::variant<NotSuspected, Suspected, CrashesEndpoints>;

} // namespace pumiceturn::fleet
