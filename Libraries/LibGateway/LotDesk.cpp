#include "LibGateway/LotDesk.h"

#include "LibGateway/Events.h"
#include "LibGateway/StateChange.h"
#include "LibHttpStream/Status.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// When a caller should come back while the store can't tell. The store's
/// outages last seconds; a caller takes a third of its time at most.
constexpr std::chrono::milliseconds kRetryAfter{ 400 };

/// After an outage of the store, workers store the lots that were accepted
/// meanwhile: the call that finds the store back waits up to 1 s for its
/// timeout, and 0.25 s until it is made again. Until then, a lot that the store
/// doesn't have may exist.
constexpr std::chrono::milliseconds kHoldersNeed{ 3000 };

/// Times that ending a lot is tried against changes by others.
constexpr std::uint32_t kEndTries = 8;

/// Largest page of results in one answer.
constexpr std::size_t kMaxPageBytes = 900000;

/// Longest wait for the host that runs a lot, beyond the reader's own wait.
/// Callers wait 1.5 s longer than they allow, and the store may have to be
/// asked afterwards.
constexpr std::chrono::milliseconds kPassOnMargin{ 400 };

/// @return the lot that a reading call asks for, empty for any other call.
std::string
LotOfReading(const LotCall& aCall)
{
  struct Visitor
  {
    std::string operator()(const ReadResults& aRead) const
    {
      return aRead.lot_;
    }
    std::string operator()(const ReadItemBody& aRead) const
    {
      return aRead.lot_;
    }
    std::string operator()(const EndLot& /*aEnd*/) const { return {}; }
    std::string operator()(const UnreadableCall& /*aCall*/) const { return {}; }
  };
  return std::visit(Visitor{}, aCall);
}

} // namespace

LotDesk::LotDesk(Shared& aShared,
                 metadata::StoreClient& aStore,
                 lots::LotTable& aLots,
                 LotLoader& aLoader,
                 const lots::HostSet& aHosts,
                 const metadata::StoreHealth& aHealth,
                 std::string aOwnName,
                 PeerCallers& aCallers)
  : shared_(aShared)
  , store_(aStore)
  , lots_(aLots)
  , loader_(aLoader)
  , hosts_(aHosts)
  , health_(aHealth)
  , ownName_(std::move(aOwnName))
  , callers_(aCallers)
{
}

void
LotDesk::Handle(const std::shared_ptr<httpstream::Exchange>& aExchange,
                const LotCall& aCall,
                const CallerName& aCaller)
{
  if (const auto* unreadable = std::get_if<UnreadableCall>(&aCall)) {
    aExchange->Answer(httpstream::MakeResponse(
      httpstream::kStatusBadRequest, unreadable->reason_, "text/plain"));
  } else if (const auto* end = std::get_if<EndLot>(&aCall)) {
    WithState(
      aExchange, end->lot_, aCaller, [this, aExchange](const lots::Lot& aLot) {
        End(aExchange, aLot, kEndTries);
      });
  } else {
    Read(aExchange, LotOfReading(aCall), aCall, aCaller);
  }
}

void
LotDesk::HandlePassedOn(const std::shared_ptr<httpstream::Exchange>& aExchange,
                        const LotCall& aCall)
{
  const lots::Lot* lot = lots_.Find(LotOfReading(aCall));
  if (lot == nullptr || !lot->isLoaded_) {
    AnswerComeBack(*aExchange);
    return;
  }
  AnswerLoaded(aExchange, *lot, aCall, true);
}

void
LotDesk::AnswerComeBack(httpstream::Exchange& aExchange) const
{
  aExchange.Answer(shared_.codec_.MakeNotRun(kRetryAfter));
}

void
LotDesk::AnswerNone(httpstream::Exchange& aExchange,
                    const CallerName& aCaller) const
{
  // A caller without a key must not learn which lots there are.
  const bool hasNoKey = aCaller && aCaller->empty();
  aExchange.Answer(
    hasNoKey ? shared_.codec_.MakeUnauthorised()
             : httpstream::MakeResponse(httpstream::kStatusNotFound, {}));
}

bool
LotDesk::IsAllowed(const ExchangePtr& aExchange,
                   const lots::Lot& aLot,
                   const CallerName& aCaller) const
{
  const std::string& organisation = aLot.state_.organisation_;
  if (!aCaller || organisation.empty() || organisation == *aCaller) {
    return true;
  }
  AnswerNone(*aExchange, aCaller);
  return false;
}

void
LotDesk::WithState(const ExchangePtr& aExchange,
                   const std::string& aLot,
                   const CallerName& aCaller,
                   std::function<void(const lots::Lot&)> aUse)
{
  if (const lots::Lot* lot = lots_.Find(aLot)) {
    if (IsAllowed(aExchange, *lot, aCaller)) {
      aUse(*lot);
    }
    return;
  }
  // The lot may have been accepted elsewhere a moment ago.
  loader_.ReadState(
    aLot,
    [this, aLot, aExchange, aCaller, use = std::move(aUse)](
      metadata::StoreStatus aStatus) {
      if (const lots::Lot* lot = lots_.Find(aLot)) {
        onStateRead_(aLot);
        if (IsAllowed(aExchange, *lot, aCaller)) {
          use(*lot);
        }
      } else if (aStatus == metadata::StoreStatus::Ok &&
                 !health_.WasLostWithin(kHoldersNeed, base::MonotonicNow())) {
        AnswerNone(*aExchange, aCaller);
      } else {
        AnswerComeBack(*aExchange);
      }
    });
}

void
LotDesk::Read(const ExchangePtr& aExchange,
              const std::string& aLot,
              const LotCall& aCall,
              const CallerName& aCaller)
{
  WithState(aExchange,
            aLot,
            aCaller,
            [this, aExchange, aLot, aCall](const lots::Lot& aFound) {
              const std::string& owner = aFound.state_.owner_;
              if (aFound.isLoaded_) {
                AnswerLoaded(aExchange, aFound, aCall, true);
                return;
              }
              const auto address = hosts_.AddressOf(owner);
              if (address && owner != ownName_) {
                PassOn(aExchange, aLot, *address, aCall);
              } else {
                ReadFromStore(aExchange, aLot, aCall);
              }
            });
}

void
LotDesk::PassOn(const ExchangePtr& aExchange,
                const std::string& aLot,
                const std::string& aAddress,
                const LotCall& aCall)
{
  httpstream::HttpCaller* caller = callers_.Find(aAddress);
  if (caller == nullptr) {
    ReadFromStore(aExchange, aLot, aCall);
    return;
  }
  const httpstream::Request& original = aExchange->GetRequest();
  httpstream::Request request;
  request.method(original.method());
  request.target(original.target());
  request.version(11);
  shared_.codec_.CopyForPeer(original, request);
  const auto* read = std::get_if<ReadResults>(&aCall);
  const base::Duration wait =
    read != nullptr ? read->longestWait_ : base::Duration::zero();
  caller->Call(request,
               wait + kPassOnMargin,
               [this, aExchange, aLot, aCall](httpstream::CallResult aResult) {
                 const bool isAnswer =
                   aResult.end_ == httpstream::CallEnd::Complete &&
                   (aResult.status_ == httpstream::kStatusOk ||
                    aResult.status_ == httpstream::kStatusNotFound);
                 if (isAnswer) {
                   aExchange->Answer(httpstream::MakeResponse(
                     aResult.status_, std::move(aResult.body_)));
                 } else {
                   ReadFromStore(aExchange, aLot, aCall);
                 }
               });
}

void
LotDesk::ReadFromStore(const ExchangePtr& aExchange,
                       const std::string& aLot,
                       const LotCall& aCall)
{
  loader_.ReadData(
    aLot, [this, aExchange, aLot, aCall](metadata::StoreStatus aStatus) {
      const lots::Lot* lot = lots_.Find(aLot);
      if (aStatus != metadata::StoreStatus::Ok || lot == nullptr ||
          !lot->isLoaded_) {
        AnswerComeBack(*aExchange);
        return;
      }
      AnswerLoaded(aExchange, *lot, aCall, false);
      // What others run goes on without this host: its copy would grow old.
      if (lot->state_.owner_ != ownName_) {
        lots_.Unload(aLot);
      }
    });
}

void
LotDesk::AnswerLoaded(const ExchangePtr& aExchange,
                      const lots::Lot& aLot,
                      const LotCall& aCall,
                      bool aMayWait)
{
  if (const auto* read = std::get_if<ReadResults>(&aCall)) {
    AnswerResults(aExchange, aLot, *read, aMayWait);
  } else {
    AnswerBody(aExchange, aLot, std::get<ReadItemBody>(aCall));
  }
}

void
LotDesk::AnswerResults(const ExchangePtr& aExchange,
                       const lots::Lot& aLot,
                       const ReadResults& aCall,
                       bool aMayWait)
{
  const base::Instant until = aExchange->ReceivedAt() + aCall.longestWait_;
  const bool hasResult = aCall.position_ < aLot.results_.size();
  if (hasResult || !aMayWait || !aLot.IsOpen() ||
      base::MonotonicNow() >= until) {
    SendResults(*aExchange, aLot, aCall.position_);
    return;
  }
  readers_[aLot.id_].push_back({ aExchange, aCall.position_, until });
}

void
LotDesk::AnswerBody(const ExchangePtr& aExchange,
                    const lots::Lot& aLot,
                    const ReadItemBody& aCall)
{
  const auto item = std::find_if(
    aLot.items_->begin(), aLot.items_->end(), [&aCall](const auto& aItem) {
      return aItem.id_ == aCall.item_;
    });
  if (item == aLot.items_->end()) {
    aExchange->Answer(
      httpstream::MakeResponse(httpstream::kStatusNotFound, {}));
    return;
  }
  aExchange->Answer(httpstream::MakeResponse(
    httpstream::kStatusOk, item->body_, "application/octet-stream"));
}

void
LotDesk::SendResults(httpstream::Exchange& aExchange,
                     const lots::Lot& aLot,
                     std::uint32_t aPosition) const
{
  const std::size_t begin =
    std::min<std::size_t>(aPosition, aLot.results_.size());
  std::size_t end = begin;
  std::size_t bytes = 0;
  while (end < aLot.results_.size() &&
         (end == begin ||
          bytes + aLot.results_[end].output_.size() < kMaxPageBytes)) {
    bytes += aLot.results_[end].output_.size();
    ++end;
  }
  const std::span<const lots::ItemResult> page(aLot.results_.data() + begin,
                                               end - begin);
  aExchange.Answer(httpstream::MakeResponse(
    httpstream::kStatusOk,
    shared_.codec_.WriteResults(aLot.state_.itemCount_, aPosition, page)));
}

void
LotDesk::End(const std::shared_ptr<httpstream::Exchange>& aExchange,
             const lots::Lot& aLot,
             std::uint32_t aTriesLeft)
{
  if (aLot.state_.isEnded_) {
    aExchange->Answer(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  lots::LotState state = aLot.state_;
  state.isEnded_ = true;
  const std::string key = lots_.Keys().StateOf(aLot.id_);
  store_.Commit(
    MakeStateChange(lots_.Keys(), aLot, state),
    [this, aExchange, id = aLot.id_, key, state, aTriesLeft](
      const metadata::TransactionReply& aReply) {
      using metadata::StoreStatus;
      if (aReply.status_ == StoreStatus::Ok) {
        lots_.Apply(key, lots::EncodeState(state), aReply.revision_);
        onStateRead_(id);
        aExchange->Answer(httpstream::MakeResponse(httpstream::kStatusOk, {}));
        return;
      }
      for (const metadata::StoreItem& item : aReply.current_) {
        if (item.key_ == key && item.revision_ != 0) {
          lots_.Apply(key, item.value_, item.revision_);
        }
      }
      const lots::Lot* lot = lots_.Find(id);
      const bool mayRetry = aReply.status_ == StoreStatus::Conflict ||
                            aReply.status_ == StoreStatus::Unknown;
      if (lot != nullptr && mayRetry && aTriesLeft > 0) {
        End(aExchange, *lot, aTriesLeft - 1);
        return;
      }
      aExchange->Answer(shared_.codec_.MakeNotRun(kRetryAfter));
    });
}

void
LotDesk::OnLotChanged(const std::string& aLot)
{
  const auto found = readers_.find(aLot);
  const lots::Lot* lot = lots_.Find(aLot);
  if (found == readers_.end() || lot == nullptr) {
    return;
  }
  std::vector<Reader> waiting;
  for (Reader& reader : found->second) {
    if (reader.position_ < lot->results_.size() || !lot->IsOpen()) {
      SendResults(*reader.exchange_, *lot, reader.position_);
    } else {
      waiting.push_back(std::move(reader));
    }
  }
  if (waiting.empty()) {
    readers_.erase(found);
  } else {
    found->second = std::move(waiting);
  }
}

void
LotDesk::Tick(base::Instant aNow)
{
  for (auto entry = readers_.begin(); entry != readers_.end();) {
    const lots::Lot* lot = lots_.Find(entry->first);
    std::erase_if(entry->second, [&](const Reader& aReader) {
      const bool isOver = aReader.until_ <= aNow || lot == nullptr;
      if (isOver && lot != nullptr) {
        SendResults(*aReader.exchange_, *lot, aReader.position_);
      } else if (isOver) {
        aReader.exchange_->Answer(shared_.codec_.MakeNotRun(kRetryAfter));
      }
      return isOver;
    });
    entry = entry->second.empty() ? readers_.erase(entry) : std::next(entry);
  }
}

} // namespace pumiceturn::gateway
