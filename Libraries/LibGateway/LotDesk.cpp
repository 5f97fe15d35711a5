#include "LibGateway/LotDesk.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// When a caller should come back while the store can't tell. The store's
/// outages last seconds; a caller takes a third of its time at most.
constexpr std::chrono::milliseconds kRetryAfter{ 400 };

/// How long a submission whose storing has no answer is tried again. Callers
/// of lots wait 4 s and send again after that.
constexpr std::chrono::milliseconds kSubmitPatience{ 2500 };

/// Times that ending a lot is tried against changes by others.
constexpr std::uint32_t kEndTries = 8;

/// Size of one stored part of a lot's content; values are limited to 1 MB,
/// and some stores count them in base64.
constexpr std::size_t kPartBytes = 600000;

/// Largest page of results in one answer.
constexpr std::size_t kMaxPageBytes = 900000;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusAccepted = 202;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusGatewayTimeout = 504;

} // namespace

/// A lot on its way into the store.
struct LotDesk::Submission
{
  std::shared_ptr<httpstream::Exchange> exchange_;
  std::string lot_;
  std::size_t items_ = 0;
  metadata::Transaction transaction_;
  base::Instant giveUpAt_;
  bool mayBeStored_ = false; ///< An earlier try had no answer.
};

LotDesk::LotDesk(Shared& aShared,
                 metadata::StoreClient& aStore,
                 lots::LotTable& aLots,
                 const lots::HostSet& aHosts,
                 std::string aKeyPrefix,
                 std::string aOwnName)
  : shared_(aShared)
  , store_(aStore)
  , lots_(aLots)
  , hosts_(aHosts)
  , keyPrefix_(std::move(aKeyPrefix))
  , ownName_(std::move(aOwnName))
{
}

void
LotDesk::Submit(std::shared_ptr<httpstream::Exchange> aExchange,
                const std::string& aLot)
{
  const httpstream::Request& request = aExchange->GetRequest();
  const auto content = shared_.codec_.ReadLotContent(request.body());
  if (const auto* unreadable = std::get_if<UnreadableCall>(&content)) {
    Answer(std::move(aExchange), *unreadable);
    return;
  }
  if (lots_.Find(aLot) != nullptr) {
    aExchange->Answer(httpstream::MakeResponse(kStatusAccepted, {}));
    return;
  }
  const auto& items = std::get<std::vector<lots::LotItem>>(content);
  auto submission = std::make_shared<Submission>();
  submission->lot_ = aLot;
  submission->items_ = items.size();
  submission->giveUpAt_ = aExchange->ReceivedAt() + kSubmitPatience;
  lots::LotState state;
  state.owner_ = hosts_.OwnerFor(aLot);
  if (state.owner_.empty()) {
    state.owner_ = ownName_;
  }
  state.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  state.itemCount_ = static_cast<std::uint32_t>(items.size());
  state.hostName_ = httpstream::ValueOf(request, "Host");
  state.path_ = std::string(request.target());
  metadata::Transaction& transaction = submission->transaction_;
  const std::string stateKey = KeyOf({ aLot, lots::KeyPart::State, 0 });
  const std::string& body = request.body();
  for (std::size_t begin = 0; begin < body.size(); begin += kPartBytes) {
    transaction.writes_.push_back(
      { KeyOf({ aLot, lots::KeyPart::Content, state.partCount_ }),
        body.substr(begin, kPartBytes),
        0 });
    ++state.partCount_;
  }
  transaction.expectations_.push_back({ stateKey, 0 });
  transaction.writes_.push_back({ stateKey, lots::EncodeState(state), 0 });
  submission->exchange_ = std::move(aExchange);
  Commit(submission);
}

void
LotDesk::Commit(const std::shared_ptr<Submission>& aSubmission)
{
  store_.Commit(aSubmission->transaction_,
                [this, aSubmission](const metadata::TransactionReply& aReply) {
                  OnCommitted(aSubmission, aReply.status_);
                });
}

void
LotDesk::OnCommitted(const std::shared_ptr<Submission>& aSubmission,
                     metadata::StoreStatus aStatus)
{
  using metadata::StoreStatus;
  httpstream::Exchange& exchange = *aSubmission->exchange_;
  // A conflict says that the lot is there already, by this call's earlier try
  // or by another host: it is accepted once either way.
  if (aStatus == StoreStatus::Ok || aStatus == StoreStatus::Conflict) {
    base::Log(
      kLotAccepted,
      { { "lot", aSubmission->lot_ },
        { "items", aSubmission->items_ },
        { "known_before", aStatus == StoreStatus::Conflict },
        { "ms", base::ToMs(base::MonotonicNow() - exchange.ReceivedAt()) } });
    exchange.Answer(httpstream::MakeResponse(kStatusAccepted, {}));
    return;
  }
  aSubmission->mayBeStored_ |= aStatus == StoreStatus::Unknown;
  const bool hasTime = base::MonotonicNow() < aSubmission->giveUpAt_;
  if (aStatus == StoreStatus::Unknown && hasTime) {
    Commit(aSubmission);
    return;
  }
  base::Log(kLotNotAccepted,
            { { "lot", aSubmission->lot_ },
              { "status", static_cast<int>(aStatus) },
              { "may_be_stored", aSubmission->mayBeStored_ } });
  // "Not run" must be true: a call without an answer may still take effect, and
  // the lot would then run.
  if (aSubmission->mayBeStored_) {
    exchange.Answer(httpstream::MakeResponse(kStatusGatewayTimeout, {}));
    return;
  }
  exchange.Answer(shared_.codec_.MakeNotRun(kRetryAfter));
}

void
LotDesk::Handle(std::shared_ptr<httpstream::Exchange> aExchange,
                const LotCall& aCall)
{
  std::visit([this, &aExchange](
               const auto& aOne) { Answer(std::move(aExchange), aOne); },
             aCall);
}

void
LotDesk::Answer(std::shared_ptr<httpstream::Exchange> aExchange,
                const UnreadableCall& aCall)
{
  aExchange->Answer(
    httpstream::MakeResponse(kStatusBadRequest, aCall.reason_, "text/plain"));
}

void
LotDesk::WithLot(std::shared_ptr<httpstream::Exchange> aExchange,
                 const std::string& aLot,
                 std::function<void(const lots::Lot&)> aUse)
{
  const lots::Lot* lot = lots_.Find(aLot);
  if (lot != nullptr && lot->items_) {
    aUse(*lot);
    return;
  }
  // The lot may have been accepted elsewhere a moment ago.
  ReadLot(aLot,
          {},
          [this, aLot, exchange = std::move(aExchange), use = std::move(aUse)](
            metadata::StoreStatus aStatus) {
            const lots::Lot* found = lots_.Find(aLot);
            if (found != nullptr && found->items_) {
              use(*found);
              return;
            }
            if (aStatus == metadata::StoreStatus::Ok) {
              exchange->Answer(httpstream::MakeResponse(kStatusNotFound, {}));
              return;
            }
            exchange->Answer(shared_.codec_.MakeNotRun(kRetryAfter));
          });
}

void
LotDesk::ReadLot(const std::string& aLot,
                 const std::string& aAfterKey,
                 std::function<void(metadata::StoreStatus)> aDone)
{
  store_.Range(
    keyPrefix_ + aLot + "/",
    aAfterKey,
    [this, aLot, done = std::move(aDone)](metadata::RangeReply aReply) {
      for (const metadata::StoreItem& item : aReply.items_) {
        lots_.Apply(std::string_view(item.key_).substr(keyPrefix_.size()),
                    item.value_,
                    item.revision_);
      }
      if (aReply.status_ == metadata::StoreStatus::Ok && aReply.isTruncated_ &&
          !aReply.items_.empty()) {
        ReadLot(aLot, aReply.items_.back().key_, done);
        return;
      }
      if (!aReply.items_.empty() && onLotRead_) {
        onLotRead_(aLot);
      }
      done(aReply.status_);
    });
}

void
LotDesk::Answer(std::shared_ptr<httpstream::Exchange> aExchange,
                const ReadResults& aCall)
{
  const base::Instant until = aExchange->ReceivedAt() + aCall.longestWait_;
  WithLot(
    aExchange,
    aCall.lot_,
    [this, exchange = aExchange, call = aCall, until](const lots::Lot& aLot) {
      const bool hasResult = call.position_ < aLot.results_.size();
      if (hasResult || !aLot.IsOpen() || base::MonotonicNow() >= until) {
        SendResults(*exchange, aLot, call.position_);
        return;
      }
      readers_[call.lot_].push_back({ exchange, call.position_, until });
    });
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
    kStatusOk,
    shared_.codec_.WriteResults(aLot.state_.itemCount_, aPosition, page)));
}

void
LotDesk::Answer(std::shared_ptr<httpstream::Exchange> aExchange,
                const ReadItemBody& aCall)
{
  WithLot(aExchange,
          aCall.lot_,
          [exchange = aExchange, call = aCall](const lots::Lot& aLot) {
            const auto item = std::find_if(
              aLot.items_->begin(),
              aLot.items_->end(),
              [&call](const auto& aItem) { return aItem.id_ == call.item_; });
            if (item == aLot.items_->end()) {
              exchange->Answer(httpstream::MakeResponse(kStatusNotFound, {}));
              return;
            }
            exchange->Answer(httpstream::MakeResponse(
              kStatusOk, item->body_, "application/octet-stream"));
          });
}

void
LotDesk::Answer(std::shared_ptr<httpstream::Exchange> aExchange,
                const EndLot& aCall)
{
  WithLot(
    aExchange, aCall.lot_, [this, exchange = aExchange](const lots::Lot& aLot) {
      End(exchange, aLot, kEndTries);
    });
}

void
LotDesk::End(const std::shared_ptr<httpstream::Exchange>& aExchange,
             const lots::Lot& aLot,
             std::uint32_t aTriesLeft)
{
  if (aLot.state_.isEnded_) {
    aExchange->Answer(httpstream::MakeResponse(kStatusOk, {}));
    return;
  }
  lots::LotState state = aLot.state_;
  state.isEnded_ = true;
  const std::string key = KeyOf({ aLot.id_, lots::KeyPart::State, 0 });
  metadata::Transaction transaction;
  transaction.expectations_.push_back({ key, aLot.stateRevision_ });
  transaction.writes_.push_back({ key, lots::EncodeState(state), 0 });
  store_.Commit(
    transaction,
    [this, aExchange, id = aLot.id_, key, state, aTriesLeft](
      const metadata::TransactionReply& aReply) {
      using metadata::StoreStatus;
      if (aReply.status_ == StoreStatus::Ok) {
        lots_.Apply(lots::MakeKey({ id, lots::KeyPart::State, 0 }),
                    lots::EncodeState(state),
                    aReply.revision_);
        if (onLotRead_) {
          onLotRead_(id);
        }
        aExchange->Answer(httpstream::MakeResponse(kStatusOk, {}));
        return;
      }
      for (const metadata::StoreItem& item : aReply.current_) {
        if (item.key_ == key && item.revision_ != 0) {
          lots_.Apply(lots::MakeKey({ id, lots::KeyPart::State, 0 }),
                      item.value_,
                      item.revision_);
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
