#pragma once

#include "LibBase/Time.h"
#include "LibClient/AnswerAssembler.h"
#include "LibClient/EntryChannels.h"

#include <grpcpp/alarm.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::load {

/// Stubs of all entries.
using Stubs = std::vector<std::unique_ptr<caller::Caller::Stub>>;

/// How an online call ended for its caller.
struct OnlineEnd
{
  caller::Outcome outcome_; ///< Code 0: answered.
  std::string text_;        ///< The answer, when answered.
  bool accepted_ = false;   ///< CallAccepted came.
  bool duplicate_ = false;  ///< The entry had accepted the key before.
  bool finished_ = false;   ///< CallFinished came.
};

/// One streaming call that holds no thread. It behaves as a careful client: an
/// entry that cannot be reached or is lost is followed by the next one, with
/// the same request key.
class OnlineCall : public std::enable_shared_from_this<OnlineCall>
{
public:
  /// Both run on the library's threads, one after the other.
  struct Events
  {
    /// A chunk came, with its tokens; text shown before counts no more.
    std::function<void(std::uint32_t aTokens)> onChunk_;
    std::function<void(const OnlineEnd& aEnd)> onEnd_;
  };

  /// @param aEntry Asked first.
  OnlineCall(const client::EntryChannels& aChannels,
             const Stubs& aStubs,
             caller::CallRequest aRequest,
             std::chrono::milliseconds aTimeout,
             std::size_t aEntry,
             Events aEvents);

  void Start();

private:
  class Attempt;

  void Take(const caller::CallEvent& aEvent);
  void OnDone(const grpc::Status& aStatus);
  void Finish(const caller::Outcome& aOutcome);

  const client::EntryChannels& channels_;
  const Stubs& stubs_;
  const caller::CallRequest request_;
  const std::chrono::milliseconds timeout_;
  const Events events_;
  std::size_t entry_;
  std::size_t attempts_ = 0;
  bool isBroken_ = false; ///< A chunk was missing.
  client::AnswerAssembler assembler_;
  OnlineEnd end_;

  /// One for each pause; an alarm must not be set again from its own callback.
  std::vector<std::unique_ptr<grpc::Alarm>> pauses_;
};

} // namespace pumiceturn::load
