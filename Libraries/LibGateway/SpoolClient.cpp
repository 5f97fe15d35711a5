#include "LibGateway/SpoolClient.h"

#include "LibGateway/BatchJobSpool.h"
#include "LibHttpStream/Status.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace pumiceturn::gateway {

namespace {

/// Time within which a worker must respond. Syncing its disk takes a few
/// milliseconds, and callers count a response after half a second as late.
constexpr std::chrono::milliseconds kTimeout{ 600 };

/// The workers' responses so far.
struct Tally
{
  std::size_t spooled_ = 0;
  std::size_t pending_ = 0;
  bool mayBeSpooled_ = false;
  SpoolClient::Done done_; ///< Empty after it was called.
};

void
Finish(Tally& aTally, bool aIsSpooled)
{
  if (const auto done = std::exchange(aTally.done_, {})) {
    done({ aIsSpooled, aTally.mayBeSpooled_ });
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
    auto* client =
      peer.isWorker_ ? clients_.FindOrCreate(peer.address_) : nullptr;
    // A host may be registered under a former name too. Its disk counts once.
    const bool isKnown =
      std::find(workers.begin(), workers.end(), client) != workers.end();
    if (client != nullptr && !isKnown) {
      workers.push_back(client);
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
  tally->pending_ = workers.size();
  for (httpstream::HttpClient* client : workers) {
    client->Send(
      request,
      kTimeout,
      [tally, copies = copies_](const httpstream::CallResult& aResult) {
        --tally->pending_;
        const bool hasResponded =
          aResult.outcome_ == httpstream::CallOutcome::Complete;
        if (hasResponded && aResult.status_ == httpstream::kStatusOk) {
          ++tally->spooled_;
        }
        const bool isCertainlyNotSpooled =
          aResult.outcome_ == httpstream::CallOutcome::NotConnected ||
          (hasResponded && aResult.status_ == httpstream::kStatusUnavailable);
        tally->mayBeSpooled_ = tally->mayBeSpooled_ || !isCertainlyNotSpooled;
        if (tally->spooled_ >= copies) {
          Finish(*tally, true);
        } else if (tally->pending_ == 0) {
          tally->mayBeSpooled_ = tally->mayBeSpooled_ || tally->spooled_ > 0;
          Finish(*tally, false);
        }
      });
  }
}

} // namespace pumiceturn::gateway
