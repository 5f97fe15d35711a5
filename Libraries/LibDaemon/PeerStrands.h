#pragma once

#include "LibBase/Strand.h"

#include <map>
#include <mutex>
#include <string>

namespace pumiceturn::daemon {

/// One strand for each peer, so that its messages and link states are handled
/// in the order in which they came, on pool threads. Thread-safe.
class PeerStrands
{
public:
  explicit PeerStrands(base::WorkerPool& aPool)
    : pool_(aPool)
  {
  }

  void Post(const std::string& aPeer, base::WorkerPool::Task aTask)
  {
    const std::lock_guard lock(mutex_);
    strands_.try_emplace(aPeer, pool_).first->second.Post(std::move(aTask));
  }

private:
  base::WorkerPool& pool_;
  std::mutex mutex_;
  std::map<std::string, base::Strand> strands_;
};

} // namespace pumiceturn::daemon
