#pragma once

#include "LibPartition/KeyValueAccess.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pumiceturn::joblog {

/// A key-value service in memory that can be down and can lose answers.
/// Thread-safe.
class FakeKeyValue
{
public:
  partition::KeyValueAccess Access();

  void SetDown(bool aDown);
  /// The next so many swaps take effect, and their answers are lost.
  void LoseAnswers(std::uint32_t aCount);

  [[nodiscard]] std::uint64_t CallCount() const;
  [[nodiscard]] std::uint64_t SwapCount() const;
  [[nodiscard]] std::uint64_t SwappedBytes() const;

private:
  struct Watcher
  {
    std::string prefix_;
    std::function<void(const platform::WatchEvent&)> handler_;
  };

  base::Result<std::uint64_t> Swap(const std::vector<platform::Swap>& aSwaps);
  void Notify(const std::vector<platform::KeyValue>& aChanged);

  mutable std::mutex mutex_;
  std::map<std::string, platform::KeyValue> entries_;
  std::vector<Watcher> watchers_;
  std::uint64_t revision_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t swaps_ = 0;
  std::uint64_t swappedBytes_ = 0;
  std::uint32_t answersToLose_ = 0;
  bool isDown_ = false;
};

} // namespace pumiceturn::joblog
