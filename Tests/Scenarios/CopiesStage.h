#pragma once

#include "LibJobLog/PartitionReplica.h"
#include "Scenarios/Arguments.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::scenarios {

/// The two copies of one partition's log, each on a disk that may be slow.
/// Owners are played: one sends what it appends to both copies, and calls it
/// acknowledged when both have it on disk.
class CopiesStage
{
public:
  explicit CopiesStage(Arguments& aArguments);

  void Call(Arguments& aArguments);
  [[noreturn]] static void Submit(Arguments& aArguments);
  void Fault(Arguments& aArguments);
  static void Advance(base::Duration /*aTime*/) {} ///< Copies keep no time.
  std::string Observe(const std::string& aSubject, const std::string& aField);

private:
  struct Copy
  {
    std::unique_ptr<joblog::PartitionReplica> replica_;
    std::vector<wire::LogEntry> disk_;
    std::size_t unreported_ = 0; ///< Writes that a slow disk has not ended.
    bool isSlow_ = false;
    std::set<std::string> cutOffFrom_; ///< Owners; "all" for every one.
  };

  struct Owner
  {
    std::uint64_t epoch_ = 0;
    std::vector<wire::LogEntry> log_;
    std::map<std::string, std::uint64_t> durable_; ///< By copy.
    std::string refused_ = "no";
  };

  /// What a scenario appended.
  struct Entry
  {
    std::string owner_;
    std::uint64_t sequence_ = 0;
    bool acknowledged_ = false;
  };

  void TakeOver(Arguments& aArguments);
  void Append(const std::string& aOwner, const std::string& aPayload);
  void SendFrom(const std::string& aOwner,
                const std::string& aCopy,
                std::uint64_t aPrevious);
  void Do(const std::string& aCopy,
          const joblog::PartitionReplica::Actions& aActions);
  void Carry(const std::string& aCopy, const joblog::StoreEntries& aStore);
  void Carry(const std::string& aCopy, const joblog::StoreState& aStore);
  void Carry(const std::string& aCopy, const joblog::StoreReset& aStore);
  void Carry(const std::string& aCopy, const joblog::SendMessage& aSend);
  void EndWrites(const std::string& aCopy);
  void OnAck(const std::string& aCopy,
             const std::string& aOwner,
             const wire::AppendAck& aAck);

  std::map<std::string, Copy> copies_;
  std::map<std::string, Owner> owners_;
  std::map<std::string, Entry> entries_;
};

} // namespace pumiceturn::scenarios
