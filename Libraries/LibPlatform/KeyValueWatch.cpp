#include "LibPlatform/KeyValueWatch.h"

#include "LibPlatform/Events.h"
#include "LibPlatform/HttpConnections.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::platform {

namespace {

constexpr std::chrono::milliseconds kStopRetry{ 10 };
constexpr std::size_t kLongestLine = 64U << 20U;

} // namespace

KeyValueWatch::KeyValueWatch(Options aOptions, Handlers aHandlers)
  : options_(std::move(aOptions))
  , handlers_(std::move(aHandlers))
  , backoff_(options_.backoff_)
  , random_(std::random_device{}())
  , seenRevision_(options_.afterRevision_)
{
  thread_ = std::thread([this] { RunThread(); });
}

KeyValueWatch::~KeyValueWatch()
{
  Stop();
}

void
KeyValueWatch::Stop()
{
  {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
    // A stop that comes before the client has its socket is lost on it, and the
    // stream would then wait out its silence. So it is repeated.
    while (!ended_) {
      if (client_) {
        client_->stop();
      }
      wake_.wait_for(lock, kStopRetry);
    }
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
KeyValueWatch::RunThread()
{
  while (true) {
    WaitForBudget();
    auto client = std::shared_ptr<httplib::Client>(MakeHttpClient(
      options_.addresses_[nextAddress_], options_.connectTimeout_));
    client->set_read_timeout(options_.longestSilence_);
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        break;
      }
      client_ = client;
    }
    Stream(*client);
    {
      const std::lock_guard lock(mutex_);
      client_.reset();
    }
    nextAddress_ = (nextAddress_ + 1) % options_.addresses_.size();
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    if (!WaitFor(backoff_.Next(uniform(random_)))) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  ended_ = true;
  wake_.notify_all();
}

void
KeyValueWatch::Stream(httplib::Client& aClient)
{
  std::string buffer;
  httplib::Request request;
  request.method = "POST";
  request.path = gateway::kWatchPath;
  request.set_header("Content-Type", "application/json");
  request.body = gateway::EncodeWatch(gateway::RangeOfPrefix(options_.prefix_),
                                      seenRevision_ + 1);
  request.content_receiver =
    [&](const char* aData, std::size_t aLength, std::uint64_t, std::uint64_t) {
      return TakeBytes(buffer, std::string_view(aData, aLength));
    };
  const httplib::Result result = aClient.send(request);
  const std::string reason = result ? "status " + std::to_string(result->status)
                                    : httplib::to_string(result.error());
  base::Log(kWatchLost,
            { { "prefix", options_.prefix_ },
              { "address", options_.addresses_[nextAddress_] },
              { "revision", seenRevision_ },
              { "reason", reason } });
}

bool
KeyValueWatch::TakeBytes(std::string& aBuffer, std::string_view aBytes)
{
  aBuffer.append(aBytes);
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = aBuffer.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    if (!TakeLine(std::string_view(aBuffer).substr(begin, end - begin))) {
      return false;
    }
    begin = end + 1;
  }
  aBuffer.erase(0, begin);
  return aBuffer.size() < kLongestLine;
}

bool
KeyValueWatch::TakeLine(std::string_view aLine)
{
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
  }
  if (aLine.empty()) {
    return true;
  }
  const auto reply = base::Capture([&] { return gateway::DecodeWatch(aLine); });
  if (std::holds_alternative<base::Failure>(reply)) {
    return false;
  }
  return TakeReply(std::get<0>(reply));
}

bool
KeyValueWatch::TakeReply(const gateway::WatchReply& aReply)
{
  // Changes are lost to this watch when the service has compacted them, and
  // when its revisions went back, as after a restore from a backup: it would
  // then count up to ours unseen.
  const bool compacted = aReply.compactedRevision_ > seenRevision_ + 1;
  const bool wentBack = aReply.revision_ < seenRevision_;
  if (compacted || wentBack) {
    seenRevision_ =
      compacted ? aReply.compactedRevision_ - 1 : aReply.revision_;
    base::Log(
      kWatchBroken,
      { { "prefix", options_.prefix_ }, { "revision", seenRevision_ } });
    handlers_.broken_();
    return false;
  }
  if (aReply.cancelled_) {
    return false;
  }
  backoff_.Reset();
  for (const WatchEvent& event : aReply.events_) {
    // A revision that was seen comes again where a stream broke within it.
    if (event.entry_.modRevision_ > seenRevision_) {
      handlers_.changed_(event);
    }
  }
  for (const WatchEvent& event : aReply.events_) {
    seenRevision_ = std::max(seenRevision_, event.entry_.modRevision_);
  }
  return true;
}

bool
KeyValueWatch::WaitFor(base::Duration aWait)
{
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, aWait, [this] { return stopping_; });
  return !stopping_;
}

void
KeyValueWatch::WaitForBudget()
{
  while (true) {
    const base::Duration wait = handlers_.takeCall_();
    if (wait <= base::Duration::zero() || !WaitFor(wait)) {
      return;
    }
  }
}

} // namespace pumiceturn::platform
