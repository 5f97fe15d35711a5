#pragma once

#include "LibEntry/JobSpool.h"
#include "LibEntry/OnlineCalls.h"
#include "LibEntry/OwnerCalls.h"
#include "LibNode/Context.h"

#include <atomic>
#include <memory>

namespace pumiceturn::entry {

/// State shared by the gRPC services of one entry.
struct EntryCore
{
  /// Maximum number of open calls and job submissions (openCalls_). Each keeps
  /// its prompt and its answer in memory.
  static constexpr int kMaxOpenCalls = 8192;

  explicit EntryCore(node::Context aContext)
    : context_(aContext)
  {
  }

  node::Context context_;
  std::shared_ptr<OnlineCalls> onlineCalls_;
  std::shared_ptr<OwnerCalls> ownerCalls_;
  SpoolBudget spoolBudget_;
  std::atomic<bool> draining_{ false };
  /// Open Call, CallService and SubmitJob RPCs, which a shutdown would
  /// interrupt. ReadResults can be resumed at any entry.
  std::atomic<int> openCalls_{ 0 };
};

/// Counts an RPC as open during its lifetime.
class OpenCall
{
public:
  explicit OpenCall(std::shared_ptr<EntryCore> aCore)
    : core_(std::move(aCore))
  {
    core_->openCalls_.fetch_add(1);
  }
  ~OpenCall() { core_->openCalls_.fetch_sub(1); }
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

private:
  std::shared_ptr<EntryCore> core_;
};

} // namespace pumiceturn::entry
