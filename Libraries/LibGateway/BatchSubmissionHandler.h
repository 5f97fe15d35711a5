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

/// Accepts jobs: a caller hears that its job is accepted once the store has it
/// or, where the store doesn't answer, once several workers have it on their
/// disks. Where its route bounds the tokens that may wait, the job's row in the
/// route's ledger is part of the same transaction. Belongs to the event
/// thread.
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

  /// @param aRoute  By which the job came.
  /// @param aCaller Whose job it is.
  void Submit(std::shared_ptr<httpstream::Exchange> aExchange,
              const std::string& aJob,
              const fleet::Route& aRoute,
              const CallerName& aCaller);

private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  [[nodiscard]] batch::SpooledJob MakeJob(const httpstream::Request& aRequest,
                                          const std::string& aJob,
                                          std::size_t aItems) const;
  void Commit(const SubmissionPtr& aSubmission);
  [[nodiscard]] metadata::Transaction MakeTransaction(
    const Submission& aSubmission) const;
  [[nodiscard]] bool Fits(const Submission& aSubmission) const;
  void OnCommitted(const SubmissionPtr& aSubmission,
                   const metadata::TransactionResponse& aResponse);
  void OnConflict(const SubmissionPtr& aSubmission,
                  const metadata::TransactionResponse& aResponse);
  void RefuseOverCap(Submission& aSubmission);
  void SpoolLater(const SubmissionPtr& aSubmission);
  void Spool(const SubmissionPtr& aSubmission);
  void OnSpooled(const SubmissionPtr& aSubmission, SpoolOutcome aOutcome);
  void Accept(Submission& aSubmission, std::string_view aWhere);

  /// Answers a job that is there already: accepted once again, unless it is
  /// another organisation's.
  void AcceptExisting(Submission& aSubmission,
                      const batch::BatchJobState& aExisting);

  /// Answers that the job isn't accepted, when no way is open any more.
  void GiveUpIfOver(Submission& aSubmission);

  SharedState& shared_;
  metadata::StoreClient& store_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  boost::asio::any_io_executor executor_;
  SpoolClient spoolClient_;
};

} // namespace pumiceturn::gateway
