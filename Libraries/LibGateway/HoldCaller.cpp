#include "LibGateway/HoldCaller.h"

#include "LibGateway/HeldLots.h"
#include "LibHttpStream/Status.h"

#include <memory>
#include <utility>
#include <vector>

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
HoldCaller::Hold(const lots::HeldLot& aLot,
                 std::span<const lots::PeerAddress> aPeers,
                 Done aDone)
{
  std::vector<httpstream::HttpCaller*> workers;
  for (const lots::PeerAddress& peer : aPeers) {
    if (auto* caller =
          peer.isWorker_ ? callers_.Find(peer.address_) : nullptr) {
      workers.push_back(caller);
    }
  }
  auto tally = std::make_shared<Tally>();
  tally->done_ = std::move(aDone);
  if (workers.size() < copies_) {
    Finish(*tally, false);
    return;
  }
  httpstream::Request request;
  request.method(boost::beast::http::verb::put);
  request.target(std::string(HeldLots::kTargetPrefix) + aLot.id_);
  request.version(11);
  request.body() = lots::EncodeHeldLot(aLot);
  request.prepare_payload();
  tally->open_ = workers.size();
  for (httpstream::HttpCaller* caller : workers) {
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
}

} // namespace pumiceturn::gateway
