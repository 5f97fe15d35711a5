#include "LibGateway/HoldCaller.h"

#include "LibGateway/HeldLots.h"
#include "LibHttpStream/Status.h"

#include <memory>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Longest wait for a worker's disk: a sync takes 2 to 5 ms, and a caller that
/// has its answer later than half a second counts it as late.
constexpr std::chrono::milliseconds kTimeout{ 600 };

/// Answers of the workers so far.
struct Tally
{
  std::size_t held_ = 0;
  std::size_t open_ = 0;
  bool mayBeHeld_ = false;
  HoldCaller::Done done_; ///< Empty once it was called.
};

void
Finish(Tally& aTally, bool aIsHeld)
{
  if (const auto done = std::exchange(aTally.done_, {})) {
    done({ aIsHeld, aTally.mayBeHeld_ });
  }
}

} // namespace

void
HoldCaller::SetPeers(const std::vector<lots::PeerAddress>& aPeers)
{
  callers_.Keep(aPeers);
  workers_.clear();
  for (const lots::PeerAddress& peer : aPeers) {
    if (peer.isWorker_) {
      workers_.push_back(peer);
    }
  }
}

void
HoldCaller::Hold(const lots::HeldLot& aLot, Done aDone)
{
  auto tally = std::make_shared<Tally>();
  tally->done_ = std::move(aDone);
  if (workers_.size() < copies_) {
    Finish(*tally, false);
    return;
  }
  httpstream::Request request;
  request.method(boost::beast::http::verb::put);
  request.target(std::string(HeldLots::kTargetPrefix) + aLot.id_);
  request.version(11);
  request.body() = lots::EncodeHeldLot(aLot);
  request.prepare_payload();
  tally->open_ = workers_.size();
  for (const lots::PeerAddress& worker : workers_) {
    httpstream::HttpCaller* caller = callers_.Find(worker.address_);
    if (caller == nullptr) {
      --tally->open_;
      continue;
    }
    caller->Call(
      request,
      kTimeout,
      [tally, copies = copies_](const httpstream::CallResult& aResult) {
        --tally->open_;
        const bool isAnswered = aResult.end_ == httpstream::CallEnd::Complete;
        if (isAnswered && aResult.status_ == httpstream::kStatusOk) {
          ++tally->held_;
        }
        const bool isCertainlyNot =
          aResult.end_ == httpstream::CallEnd::NotConnected ||
          (isAnswered && aResult.status_ == httpstream::kStatusUnavailable);
        tally->mayBeHeld_ = tally->mayBeHeld_ || !isCertainlyNot;
        if (tally->held_ >= copies) {
          Finish(*tally, true);
        } else if (tally->open_ == 0) {
          tally->mayBeHeld_ = tally->mayBeHeld_ || tally->held_ > 0;
          Finish(*tally, false);
        }
      });
  }
  if (tally->open_ == 0) {
    Finish(*tally, false);
  }
}

} // namespace pumiceturn::gateway
