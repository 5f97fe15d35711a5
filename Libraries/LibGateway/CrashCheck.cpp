#include "LibGateway/CrashCheck.h"

#include <utility>
#include <variant>

namespace pumiceturn::gateway {

namespace {

/// How long an endpoint that runs may take to accept a connection, and then to
/// answer.
constexpr std::chrono::milliseconds kProbeTimeout{ 100 };

} // namespace

CrashCheck::CrashCheck(SharedState& aShared,
                       const boost::asio::any_io_executor& aExecutor,
                       fleet::EndpointRecord aEndpoint,
                       std::int64_t aStartedAtMs)
  : shared_(aShared)
  , executor_(aExecutor)
  , endpoint_(std::move(aEndpoint))
  , startedAtMs_(aStartedAtMs)
  , pauseTimer_(aExecutor)
{
}

void
CrashCheck::Start(ResultHandler aHandler)
{
  handler_ = std::move(aHandler);
  begunAt_ = base::MonotonicNow();
  Check();
}

void
CrashCheck::Cancel()
{
  handler_ = nullptr;
  pauseTimer_.cancel();
  if (const auto probe = std::exchange(probe_, nullptr)) {
    probe->Cancel();
  }
}

void
CrashCheck::Check()
{
  probe_ = std::make_shared<LivenessProbe>(executor_, shared_.codec_);
  probe_->Start({ .endpoint_ = endpoint_.id_,
                  .address_ = endpoint_.address_,
                  .connectTimeout_ = kProbeTimeout,
                  .holdTime_ = kProbeTimeout,
                  .startedAtMs_ = startedAtMs_ },
                [weak = weak_from_this()](const LivenessAnswer& aAnswer) {
                  if (const auto self = weak.lock()) {
                    self->OnAnswer(aAnswer);
                  }
                });
}

void
CrashCheck::OnAnswer(const LivenessAnswer& aAnswer)
{
  struct Visitor
  {
    CrashCheck& check_;

    void operator()(const fleet::ProcessEnded& aEnd) const
    {
      check_.End(aEnd.proof_);
    }
    void operator()(const fleet::EndNotShown& /*aNone*/) const
    {
      check_.End(std::nullopt);
    }
    void operator()(const fleet::CheckAgain& aNext) const
    {
      check_.CheckAfter(aNext.pause_);
    }
  };
  if (!handler_) {
    return;
  }
  lastCheck_ = aAnswer.check_;
  const bool isReplaced =
    startedAtMs_ > 0 && shared_.endpoints_.IsReplaced(endpoint_);
  std::visit(Visitor{ *this }, search_.Record(lastCheck_, isReplaced));
}

void
CrashCheck::CheckAfter(base::Duration aPause)
{
  pauseTimer_.expires_after(aPause);
  pauseTimer_.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && self->handler_) {
        self->Check();
      }
    });
}

void
CrashCheck::End(std::optional<fleet::EndProof> aProof)
{
  const ResultHandler handler = std::exchange(handler_, nullptr);
  handler({ aProof,
            lastCheck_,
            search_.CheckCount(),
            base::MonotonicNow() - begunAt_ });
}

} // namespace pumiceturn::gateway
