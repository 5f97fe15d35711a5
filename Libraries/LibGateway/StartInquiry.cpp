#include "LibGateway/StartInquiry.h"

#include "LibGateway/EndpointAddress.h"

#include <utility>
#include <variant>

namespace pumiceturn::gateway {

namespace {

/// Within a region, connecting takes a few milliseconds; a report needs no slot
/// at the endpoint.
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };
constexpr std::chrono::milliseconds kAnswerTimeout{ 500 };

/// Pause after a question that got no answer. A server registers a moment
/// before it accepts connections.
constexpr std::chrono::milliseconds kRetryPause{ 500 };

/// How often an endpoint is asked that doesn't answer.
constexpr std::uint32_t kMaxFailures = 3;

} // namespace

StartInquiry::StartInquiry(const boost::asio::any_io_executor& aExecutor,
                           SharedState& aShared)
  : executor_(aExecutor)
  , shared_(aShared)
{
}

StartInquiry::~StartInquiry()
{
  for (auto& [software, group] : groups_) {
    if (group.connection_) {
      group.connection_->Cancel();
    }
  }
}

void
StartInquiry::OnEndpoint(const fleet::EndpointRecord& aEndpoint)
{
  if (aEndpoint.startedAtMs_ != 0) {
    return;
  }
  Group& group =
    groups_
      .try_emplace({ aEndpoint.service_, aEndpoint.softwareVersion_ },
                   executor_)
      .first->second;
  if (group.isUntold_) {
    return;
  }
  group.waiting_.push_back({ aEndpoint });
  AskNext(group);
}

void
StartInquiry::AskNext(Group& aGroup)
{
  if (aGroup.isAsking_ || aGroup.waiting_.empty()) {
    return;
  }
  aGroup.isAsking_ = true;
  const auto address = ParseAddress(aGroup.waiting_.front().endpoint_.address_);
  if (!address) {
    aGroup.waiting_.pop_front();
    GoOn(aGroup);
    return;
  }
  aGroup.connection_ =
    std::make_shared<httpstream::ClientConnection>(executor_);
  aGroup.connection_->Connect(
    *address,
    kConnectTimeout,
    lifetime_.Guard([this, &aGroup](bool aIsConnected) {
      OnConnected(aGroup, aIsConnected);
    }));
}

void
StartInquiry::OnConnected(Group& aGroup, bool aIsConnected)
{
  if (!aIsConnected) {
    OnFailure(aGroup);
    return;
  }
  aGroup.askedAt_ = base::MonotonicNow();
  aGroup.query_ = std::make_unique<ProcessQuery>(
    shared_.codec_,
    [](const httpstream::Silence& /*aSilence*/) {
      return httpstream::SilenceDecision::EndCall;
    },
    [this, &aGroup](const ProcessAnswer& aAnswer) {
      OnAnswer(aGroup, aAnswer);
    });
  const fleet::EndpointRecord& endpoint = aGroup.waiting_.front().endpoint_;
  aGroup.query_->Start(
    *aGroup.connection_, endpoint.id_, endpoint.address_, kAnswerTimeout);
}

void
StartInquiry::OnAnswer(Group& aGroup, const ProcessAnswer& aAnswer)
{
  struct Visitor
  {
    StartInquiry& inquiry_;
    Group& group_;

    void operator()(const ProcessStart& aStart) const
    {
      inquiry_.shared_.endpoints_.RecordToldStart(
        group_.waiting_.front().endpoint_.Incarnation(),
        aStart.startedAtMs_,
        group_.askedAt_);
      group_.waiting_.pop_front();
      inquiry_.GoOn(group_);
    }
    void operator()(const ProcessStartNotTold& /*aNone*/) const
    {
      group_.isUntold_ = true;
      group_.waiting_.clear();
      inquiry_.GoOn(group_);
    }
    void operator()(const OtherInstanceAnswered& /*aNone*/) const
    {
      inquiry_.OnFailure(group_);
    }
    void operator()(const ProcessQueryFailed& /*aFailure*/) const
    {
      inquiry_.OnFailure(group_);
    }
  };
  std::visit(Visitor{ *this, aGroup }, aAnswer);
}

void
StartInquiry::OnFailure(Group& aGroup)
{
  Question question = std::move(aGroup.waiting_.front());
  aGroup.waiting_.pop_front();
  if (++question.failures_ < kMaxFailures) {
    aGroup.waiting_.push_back(std::move(question));
  }
  aGroup.retryTimer_.expires_after(kRetryPause);
  aGroup.retryTimer_.async_wait(
    lifetime_.Guard([this, &aGroup](const boost::system::error_code& aError) {
      if (!aError) {
        GoOn(aGroup);
      }
    }));
}

void
StartInquiry::GoOn(Group& aGroup)
{
  if (const auto connection = std::exchange(aGroup.connection_, nullptr)) {
    connection->Cancel();
  }
  aGroup.isAsking_ = false;
  AskNext(aGroup);
}

} // namespace pumiceturn::gateway
