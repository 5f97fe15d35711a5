#pragma once

#include "LibBase/Log.h"

/// Numbered log events of the keeper function, listed in docs/EVENTS.md.
namespace pumiceturn::keeper {

inline constexpr base::Event kRecoveringJobs{
  6001,
  "recovering_jobs",
  base::LogLevel::Info,
  "This host recovers a partition under a new epoch and replays its log."
};
inline constexpr base::Event kServingJobs{
  6002,
  "serving_jobs",
  base::LogLevel::Info,
  "This host now dispatches all waiting items of a partition."
};
inline constexpr base::Event kReleasedJobs{
  6003,
  "released_jobs",
  base::LogLevel::Info,
  "This host no longer serves a partition's jobs."
};
inline constexpr base::Event kUnreadableRecord{
  6004,
  "unreadable_record",
  base::LogLevel::Error,
  "A log record could not be read or decoded."
};
inline constexpr base::Event kJobAccepted{
  6010,
  "job_accepted",
  base::LogLevel::Info,
  "A batch job was accepted; its items are durable."
};
inline constexpr base::Event kJobRefused{
  6011,
  "job_refused",
  base::LogLevel::Warning,
  "A frame of a batch job was refused because its records were not confirmed "
  "as durable."
};
inline constexpr base::Event kJobFinished{
  6012,
  "job_finished",
  base::LogLevel::Info,
  "Every item of a batch job has a result."
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
  "An online request was not run; its key may be used again."
};
inline constexpr base::Event kAppendFailed{
  6020,
  "append_failed",
  base::LogLevel::Warning,
  "Records could not be made durable. Results and cancellations are appended "
  "again; acceptances are refused."
};
inline constexpr base::Event kBatchAssigned{
  6030,
  "batch_placed",
  base::LogLevel::Info,
  "A batch item was assigned to an agent."
};
inline constexpr base::Event kOrphanAssigned{
  6031,
  "orphan_placed",
  base::LogLevel::Info,
  "An online request whose entry was lost was assigned to an agent."
};
inline constexpr base::Event kItemRequeued{
  6032,
  "item_requeued",
  base::LogLevel::Info,
  "A run ended without a result; its item is waiting again."
};
inline constexpr base::Event kItemFailed{ 6033,
                                          "item_failed",
                                          base::LogLevel::Warning,
                                          "An item ended with a failure." };
inline constexpr base::Event kResultDropped{
  6034,
  "result_dropped",
  base::LogLevel::Info,
  "A result was dropped because its item has ended or its job does not exist "
  "any more."
};
inline constexpr base::Event kAgentLost{
  6040,
  "agent_gone",
  base::LogLevel::Warning,
  "An agent was lost or replaced; its runs end as lost."
};
inline constexpr base::Event kEntryLost{
  6041,
  "entry_gone",
  base::LogLevel::Warning,
  "An entry was lost or replaced; this host runs its idempotent requests. The "
  "others end with an unknown outcome."
};
inline constexpr base::Event kHandingOver{
  6050,
  "handing_over",
  base::LogLevel::Info,
  "This host is draining and hands its partitions over to other hosts."
};

} // namespace pumiceturn::keeper
