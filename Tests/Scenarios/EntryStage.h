#pragma once

#include "LibEntry/EndpointRouter.h"
#include "LibEntry/OnlineRequest.h"
#include "Scenarios/Arguments.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::scenarios {

/// The online calls of one entry with its router, in virtual time. The owner
/// and the endpoints' agents are played.
class EntryStage
{
public:
  explicit EntryStage(Arguments& aArguments);

  void Call(Arguments& aArguments);
  [[noreturn]] static void Submit(Arguments& aArguments);
  void Fault(Arguments& aArguments);
  void Advance(base::Duration aTime);
  std::string Observe(const std::string& aSubject, const std::string& aField);

private:
  enum class ChunkOrder : std::uint8_t
  {
    Kept,
    Reversed,
    Doubled,
  };

  struct CallState
  {
    std::unique_ptr<entry::OnlineRequest> request_;
    std::string prompt_;
    std::uint32_t tokens_ = 0;
    std::uint32_t runs_ = 0; ///< That reached an endpoint.
    bool accepted_ = false;
    std::string streamed_;
    std::string ended_ = "no";
    std::string ran_ = "no";
    std::string final_; ///< Text of the durable result.
    bool streamedWhole_ = false;
  };

  struct Endpoint
  {
    bool linked_ = true;
    bool refuses_ = false;
    std::uint32_t runs_ = 0;
    std::map<wire::RunId, std::vector<wire::Message>>
      said_; ///< All that was said of each run, for AttachRun.
    std::uint64_t incarnation_ = 1;
  };

  void At(base::Duration aDelay, std::function<void()> aEvent);
  void Collect(const std::string& aName);
  void Do(const std::string& aName, const entry::SendToOwner& aAction);
  void Do(const std::string& aName, const entry::SendToEndpoint& aAction);
  void Do(const std::string& aName, const entry::ChooseEndpoint& aAction);
  void Do(const std::string& aName, const entry::ReportRunEnd& aAction);
  void Do(const std::string& aName, const entry::EmitAccepted& aAction);
  void Do(const std::string& aName, const entry::EmitChunk& aAction);
  void Do(const std::string& aName, const entry::EmitFinished& aAction);
  void Do(const std::string& aName, const entry::EmitFailed& aAction);
  static void Do(const std::string& /*aName*/, const entry::QuarantineContent&)
  {
  }
  void AnswerOwner(const std::string& aName, const wire::Message& aMessage);
  void StartRun(const std::string& aName,
                const std::string& aEndpoint,
                const wire::StartRun& aOrder);
  void Say(const std::string& aName,
           const std::string& aEndpoint,
           base::Duration aDelay,
           wire::Message aMessage);
  void Deliver(const std::string& aName,
               const std::string& aEndpoint,
               const wire::Message& aMessage);
  void SetLink(const std::string& aEndpoint, wire::LinkState aState);

  base::Instant now_{ std::chrono::hours{ 1 } };
  std::multimap<base::Instant, std::function<void()>> events_;
  entry::EndpointRouter router_;
  std::map<std::string, CallState> calls_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<wire::JobId, wire::ItemResult> recorded_;
  std::set<wire::JobId> accepted_;
  ChunkOrder chunkOrder_ = ChunkOrder::Kept;
  bool ownerIsUp_ = true;
  std::uint64_t nextJob_ = 1;
};

} // namespace pumiceturn::scenarios
