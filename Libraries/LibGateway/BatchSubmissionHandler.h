#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/SpoolClient.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibMetadata/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::gateway {

/// Accepts jobs. A job is accepted once it is in the store or, if the store
/// does not respond, once several workers have spooled it on disk. On a route
/// with a cap on waiting tokens, the transaction also adds the job's row to the
/// ledger. Must be used on the event thread.
class BatchSubmissionHandler
{
public:
  BatchSubmissionHandler(SharedState& aShared,
                         metadata::StoreClient& aStore,
                         const batch::BatchJobTable& aJobs,
                         const batch::HostSet& aHosts,
                         std::string aOwnName,
                         boost::asio::any_io_executor aExecutor,
                         PeerClients& aClients,
                         std::size_t aCopies);

  /// Stores or spools the job of a request, then responds.
  /// @param aJob ID of the job.
  /// @param aRoute Route of the request.
  /// @param aCaller Submitting organisation; no value: no organisations are
  ///   declared.
  void Submit(std::shared_ptr<httpstream::Exchange> aExchange,
              const std::string& aJob,
              const fleet::Route& aRoute,
              const OrganisationName& aCaller);

private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  [[nodiscard]] batch::SpooledJob MakeJob(const httpstream::Request& aRequest,
                                          const std::string& aJob,
                                          std::size_t aItemCount) const;
  void Commit(const SubmissionPtr& aSubmission);
  [[nodiscard]] metadata::Transaction MakeTransaction(
    const Submission& aSubmission) const;
  [[nodiscard]] bool Fits(const Submission& aSubmission) const;
  void OnCommitResponse(const SubmissionPtr& aSubmission,
                        const metadata::TransactionResponse& aResponse);
  void OnConflict(const SubmissionPtr& aSubmission,
                  const metadata::TransactionResponse& aResponse);
  void RejectOverCap(Submission& aSubmission);
  void ScheduleSpooling(const SubmissionPtr& aSubmission);
  void Spool(const SubmissionPtr& aSubmission);
  void OnSpoolResponse(const SubmissionPtr& aSubmission, SpoolOutcome aOutcome);
  void Accept(Submission& aSubmission, std::string_view aWhere);

  /// Responds to a job whose ID already exists: accepted if the same
  /// organisation submitted it, otherwise a conflict.
  void RespondToExisting(Submission& aSubmission,
                         const batch::BatchJobState& aExisting);

  /// Responds that the job was not accepted, if neither the store nor the spool
  /// can still accept it.
  void RespondIfFailed(Submission& aSubmission);

  SharedState& shared_;
  metadata::StoreClient& store_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  boost::asio::any_io_executor executor_;
  SpoolClient spoolClient_;
};

} // namespace pumiceturn::gateway
