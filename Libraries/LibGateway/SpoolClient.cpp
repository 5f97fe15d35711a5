#include "LibGateway/SpoolClient.h"

#include "LibGateway/BatchJobSpool.h"
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
  std::size_t spooled_ = 0;
  std::size_t open_ = 0;
  bool mayBeSpooled_ = false;
  SpoolClient::Done done_; ///< Empty once it was called.
};

void
Finish(Tally& aTally, bool aIsHeld)
{
  if (const auto done = std::exchange(aTally.done_, {})) {
    done({ aIsHeld, aTally.mayBeSpooled_ });
  }
}

} // namespace

void
SpoolClient::Spool(const batch::SpooledJob& aJob,
                   std::span<const batch::PeerAddress> aPeers,
                   Done aDone)
{
  std::vector<httpstream::HttpClient*> workers;
  for (const batch::PeerAddress& peer : aPeers) {
    if (auto* caller =
          peer.isWorker_ ? clients_.Find(peer.address_) : nullptr) {
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
  request.target(std::string(BatchJobSpool::kTargetPrefix) + aJob.id_);
  request.version(11);
  request.body() = batch::EncodeSpooledJob(aJob);
  request.prepare_payload();
  tally->open_ = workers.size();
  for (httpstream::HttpClient* caller : workers) {
    caller->Call(
      request,
      kTimeout,
      [tally, copies = copies_](const httpstream::CallResult& aResult) {
        --tally->open_;
        const bool isAnswered =
          aResult.outcome_ == httpstream::CallOutcome::Complete;
        if (isAnswered && aResult.status_ == httpstream::kStatusOk) {
          ++tally->spooled_;
        }
        const bool isCertainlyNot =
          aResult.outcome_ == httpstream::CallOutcome::NotConnected ||
          (isAnswered && aResult.status_ == httpstream::kStatusUnavailable);
        tally->mayBeSpooled_ = tally->mayBeSpooled_ || !isCertainlyNot;
        if (tally->spooled_ >= copies) {
          Finish(*tally, true);
        } else if (tally->open_ == 0) {
          tally->mayBeSpooled_ = tally->mayBeSpooled_ || tally->spooled_ > 0;
          Finish(*tally, false);
        }
      });
  }
}

} // namespace pumiceturn::gateway
