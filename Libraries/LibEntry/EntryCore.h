#pragma once

#include "LibEntry/LotSpool.h"
#include "LibEntry/OnlineCalls.h"
#include "LibEntry/OwnerCalls.h"
#include "LibNode/Context.h"

#include <atomic>
#include <memory>

namespace pumiceturn::entry {

/// What the gRPC services of one entry share.
struct EntryCore
{
  /// RPCs with work that may be open at once; each holds its prompt and its
  /// answer in memory.
  static constexpr int kMaxOpenCalls = 8192;

  explicit EntryCore(node::Context aContext)
    : context_(aContext)
  {
  }

  node::Context context_;
  std::shared_ptr<OnlineCalls> online_;
  std::shared_ptr<OwnerCalls> owners_;
  SpoolBudget spoolBudget_;
  std::atomic<bool> draining_{ false };
  /// RPCs that a shutdown would cut off. Streams of results are not among
  /// them: they resume at any entry from a position.
  std::atomic<int> openCalls_{ 0 };
};

/// Counts an RPC as open for as long as it lives.
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
