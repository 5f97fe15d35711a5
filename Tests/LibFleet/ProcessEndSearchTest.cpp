#include "LibFleet/ProcessEndSearch.h"

#include <catch2/catch.hpp>

#include <initializer_list>
#include <optional>

namespace pumiceturn::fleet {

/// A search that gets the results of checks one after the other.
class ProcessEndSearchFixture
{
protected:
  static constexpr std::size_t kMaxChecks = 4;

  EndFinding RecordAll(std::initializer_list<EndpointCheck> aChecks)
  {
    EndFinding finding;
    for (const EndpointCheck check : aChecks) {
      finding = search_.Record(check, false);
    }
    return finding;
  }

  static std::optional<EndProof> ProofOf(const EndFinding& aFinding)
  {
    const auto* ended = std::get_if<ProcessEnded>(&aFinding);
    return ended != nullptr ? std::optional(ended->proof_) : std::nullopt;
  }

  static bool IsNotShown(const EndFinding& aFinding)
  {
    return std::holds_alternative<EndNotShown>(aFinding);
  }

  static bool IsCheckedAgain(const EndFinding& aFinding)
  {
    return std::holds_alternative<CheckAgain>(aFinding);
  }

  ProcessEndSearch search_;
};

TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_NothingListens_HasEnded")
{
  CHECK(ProofOf(RecordAll({ EndpointCheck::Refused })) == EndProof::Refused);
}

TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_OtherProcessAnswers_HasEnded")
{
  CHECK(ProofOf(RecordAll({ EndpointCheck::OtherProcess })) ==
        EndProof::OtherProcess);
}

TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_OtherProcessIsRegistered_HasEnded")
{
  CHECK(ProofOf(search_.Record(EndpointCheck::Silent, true)) ==
        EndProof::Replaced);
}

// Guards against a busy endpoint that is taken for one that ended.
TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_ConnectionsAreReset_EndIsNotShown")
{
  CHECK(IsCheckedAgain(RecordAll({ EndpointCheck::Closed })));
  CHECK(IsNotShown(RecordAll({ EndpointCheck::Closed })));
}

// Guards against the same if it doesn't accept connections, or doesn't answer,
// within the time of the checks.
TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_NothingIsHeard_EndIsNotShown")
{
  for (std::size_t check = 1; check < kMaxChecks; ++check) {
    CHECK(IsCheckedAgain(
      RecordAll({ check % 2 == 0 ? EndpointCheck::Silent
                                 : EndpointCheck::Unreachable })));
  }
  CHECK(IsNotShown(RecordAll({ EndpointCheck::Unreachable })));
}

TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_SameProcessAnswers_EndIsNotShownAtOnce")
{
  CHECK(IsNotShown(RecordAll({ EndpointCheck::SameProcess })));
}

// Guards against an end that isn't noticed, as the listening socket is closed
// last.
TEST_CASE_METHOD(ProcessEndSearchFixture,
                 "ProcessEndSearch_IsRefusedAfterOtherChecks_HasEnded")
{
  CHECK(ProofOf(RecordAll({ EndpointCheck::Silent,
                            EndpointCheck::Closed,
                            EndpointCheck::Refused })) == EndProof::Refused);
}

} // namespace pumiceturn::fleet
