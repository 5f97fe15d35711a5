#pragma once

#include "LibBase/Log.h"

/// Numbered events of the keeper function; docs/EVENTS.md has the catalogue.
namespace pumiceturn::keeper {

inline constexpr base::Event kRecoveringJobs{
  6001,
  "recovering_jobs",
  base::LogLevel::Info,
  "This host replays a partition's log under a new epoch."
};
inline constexpr base::Event kServingJobs{
  6002,
  "serving_jobs",
  base::LogLevel::Info,
  "This host serves a partition's jobs from now on."
};
inline constexpr base::Event kReleasedJobs{
  6003,
  "released_jobs",
  base::LogLevel::Info,
  "Another host serves the partition's jobs now."
};
inline constexpr base::Event kUnreadableRecord{
  6004,
  "unreadable_record",
  base::LogLevel::Error,
  "A record of the log could not be read; its items end with that code."
};
inline constexpr base::Event kJobAccepted{
  6010,
  "job_accepted",
  base::LogLevel::Info,
  "A lot is durable in every copy and was accepted."
};
inline constexpr base::Event kJobRefused{
  6011,
  "job_refused",
  base::LogLevel::Warning,
  "A lot or request was not accepted."
};
inline constexpr base::Event kJobFinished{
  6012,
  "job_finished",
  base::LogLevel::Info,
  "Every item of a job has its result."
};
inline constexpr base::Event kJobCancelled{
  6013,
  "job_cancelled",
  base::LogLevel::Info,
  "A job's cancellation is durable; its running items are stopped."
};
inline constexpr base::Event kRequestWithdrawn{
  6014,
  "request_withdrawn",
  base::LogLevel::Info,
  "An online request was certainly not run; its key may be used again."
};
inline constexpr base::Event kAppendFailed{
  6020,
  "append_failed",
  base::LogLevel::Warning,
  "Records could not be made durable; facts are appended again, acceptances "
  "refused."
};
inline constexpr base::Event kBatchPlaced{
  6030,
  "batch_placed",
  base::LogLevel::Info,
  "A batch item was given to an agent, with what was weighed."
};
inline constexpr base::Event kOrphanPlaced{
  6031,
  "orphan_placed",
  base::LogLevel::Info,
  "An online request whose entry was lost is run by its owner."
};
inline constexpr base::Event kItemRequeued{
  6032,
  "item_requeued",
  base::LogLevel::Info,
  "A run ended without a result; its item waits again."
};
inline constexpr base::Event kItemFailed{
  6033,
  "item_failed",
  base::LogLevel::Warning,
  "An item ends with a failure as its result."
};
inline constexpr base::Event kResultDropped{
  6034,
  "result_dropped",
  base::LogLevel::Info,
  "A result came after another was recorded, and was dropped."
};
inline constexpr base::Event kAgentGone{
  6040,
  "agent_gone",
  base::LogLevel::Warning,
  "An agent stayed lost or was replaced; its runs end as lost."
};
inline constexpr base::Event kEntryGone{
  6041,
  "entry_gone",
  base::LogLevel::Warning,
  "An entry stayed lost or was replaced; its requests go on without it."
};
inline constexpr base::Event kHandingOver{
  6050,
  "handing_over",
  base::LogLevel::Info,
  "This host leaves and hands its partitions to others."
};

} // namespace pumiceturn::keeper
