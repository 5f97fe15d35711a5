#include "JobStatusPrinter.h"

#include "Connection.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

const char*
NameOf(caller::JobState aState)
{
  switch (aState) {
    case caller::JOB_STATE_RUNNING:
      return "running";
    case caller::JOB_STATE_FINISHED:
      return "finished";
    case caller::JOB_STATE_CANCELLED:
      return "cancelled";
    default:
      return "unknown";
  }
}

} // namespace

void
PrintJobStatus(const caller::JobStatus& aStatus)
{
  std::cout << "job        " << aStatus.job_key() << "\nstate      "
            << NameOf(aStatus.state()) << "\nitems      " << aStatus.items()
            << "\nwaiting    " << aStatus.waiting() << "\nrunning    "
            << aStatus.running() << "\nsucceeded  " << aStatus.succeeded()
            << "\nfailed     " << aStatus.failed() << "\ncancelled  "
            << aStatus.cancelled() << "\ndue        "
            << FormatTime(aStatus.due_unix_ms()) << "\nexpected   "
            << FormatTime(aStatus.expected_finish_unix_ms()) << std::endl;
}

} // namespace pumiceturn::pumicectl
