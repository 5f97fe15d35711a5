#pragma once

#include "LibGateway/HoldCaller.h"
#include "LibGateway/Shared.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibLots/HostSet.h"
#include "LibLots/LotTable.h"
#include "LibMetadata/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::gateway {

/// Accepts lots: a caller hears that its lot is accepted once the store has it
/// or, where the store doesn't answer, once several workers have it on their
/// disks. Where its route bounds the tokens that may wait, the lot's row in the
/// route's ledger is part of the same transaction. Belongs to the event
/// thread.
class LotIntake
{
public:
  LotIntake(Shared& aShared,
            metadata::StoreClient& aStore,
            const lots::LotTable& aLots,
            const lots::HostSet& aHosts,
            std::string aOwnName,
            boost::asio::any_io_executor aExecutor,
            PeerCallers& aCallers,
            std::size_t aCopies);

  /// @param aRoute  By which the lot came.
  /// @param aCaller Whose lot it is.
  void Submit(std::shared_ptr<httpstream::Exchange> aExchange,
              const std::string& aLot,
              const fleet::Route& aRoute,
              const CallerName& aCaller);

private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  [[nodiscard]] lots::HeldLot MakeLot(const httpstream::Request& aRequest,
                                      const std::string& aLot,
                                      std::size_t aItems) const;
  void Commit(const SubmissionPtr& aSubmission);
  [[nodiscard]] metadata::Transaction MakeTransaction(
    const Submission& aSubmission) const;
  [[nodiscard]] bool Fits(const Submission& aSubmission) const;
  void OnCommitted(const SubmissionPtr& aSubmission,
                   const metadata::TransactionReply& aReply);
  void OnConflict(const SubmissionPtr& aSubmission,
                  const metadata::TransactionReply& aReply);
  void RefuseOverCap(Submission& aSubmission);
  void HoldLater(const SubmissionPtr& aSubmission);
  void Hold(const SubmissionPtr& aSubmission);
  void OnHeld(const SubmissionPtr& aSubmission, HoldOutcome aOutcome);
  void Accept(Submission& aSubmission, std::string_view aWhere);

  /// Answers a lot that is there already: accepted once again, unless it is
  /// another organisation's.
  void AcceptExisting(Submission& aSubmission, const lots::LotState& aExisting);

  /// Answers that the lot isn't accepted, when no way is open any more.
  void GiveUpIfOver(Submission& aSubmission);

  Shared& shared_;
  metadata::StoreClient& store_;
  const lots::LotTable& lots_;
  const lots::HostSet& hosts_;
  std::string ownName_;
  boost::asio::any_io_executor executor_;
  HoldCaller holders_;
};

} // namespace pumiceturn::gateway
