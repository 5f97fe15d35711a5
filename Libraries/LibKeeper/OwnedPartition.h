#pragma once

#include "LibBase/Time.h"
#include "LibJobs/JobTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::keeper {

/// Who waits for a reply.
struct Asker
{
  std::string peer_;
  std::uint64_t call_ = 0;

  bool operator==(const Asker&) const = default;
};

/// Who runs an online request, and who else waits for its result.
struct OnlineRun
{
  Asker runner_; ///< Empty peer: nobody known, after a takeover.
  bool ownerRuns_ = false;
  std::vector<Asker> waiters_;
};

/// Who is told once a result is durable.
enum class EndNotice : std::uint8_t
{
  RunRecorded,       ///< An agent, or the keeper that forwarded its message.
  RecordResultReply, ///< An entry.
  Nobody,
};

/// A result on its way into the log.
struct WaitingEnd
{
  jobs::ItemEnded ended_;
  EndNotice notice_ = EndNotice::Nobody;
  Asker asker_;
};

struct HeldMessage
{
  std::string peer_;
  wire::Message message_;
};

/// Called under the lock, once the records were applied or will not be.
using Settled = std::function<void(base::ResultCode aCode,
                                   std::span<const jobs::Applied> aApplied)>;

struct RetriedAppend
{
  std::shared_ptr<std::vector<jobs::Record>> records_;
  Settled settled_;
};

/// What this host keeps of a partition that it owns or recovers.
struct OwnedPartition
{
  enum class Phase : std::uint8_t
  {
    Recovering, ///< The log is replayed; callers are asked to come back.
    Settling,   ///< Serves callers; waits for what agents report unasked.
    Serving,
  };

  Phase phase_ = Phase::Recovering;
  std::uint64_t epoch_ = 0;
  jobs::JobTable table_;
  /// Lower bound of the next record's sequence, so that a trim never goes too
  /// far: failed appends may use up numbers that are not counted here.
  std::uint64_t nextSequence_ = 0;
  base::Instant settlesAt_{};
  std::vector<WaitingEnd> ends_;
  bool endsInFlight_ = false;
  /// Facts whose append failed and may be in the log all the same: they are
  /// appended again, unchanged.
  std::vector<RetriedAppend> retries_;
  std::unordered_map<base::JobId, std::vector<HeldMessage>> held_;
  std::unordered_map<base::JobId, OnlineRun> online_;
  std::vector<HeldMessage> heldUntilOwned_;
};

} // namespace pumiceturn::keeper
