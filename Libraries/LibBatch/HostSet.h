#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::batch {

/// Whether a host is to run jobs.
enum class BatchPreference : std::uint8_t
{
  IfNoOther, ///< It serves callers, and steps in where no worker is left.
  Worker,
};

/// Where a host takes calls of other hosts.
struct PeerAddress
{
  std::string host_;
  std::string address_; ///< IP:PORT.
  bool isWorker_ = false;

  bool operator==(const PeerAddress&) const = default;
};

/// The hosts that run jobs, as their registrations say, and which of them is to
/// run a job. Belongs to the event thread.
class HostSet
{
public:
  /// How long the jobs of a host that is gone wait for its return: a lease may
  /// lapse while the store is away although the host lives.
  static constexpr base::Duration kGrace{ std::chrono::milliseconds{ 1200 } };

  /// @param aOwner Host and incarnation, as jobs name their owner.
  /// @param aPreference Hosts of the highest preference alone are given jobs.
  /// @param aAddress    IP:PORT for calls between hosts.
  void Put(const std::string& aHost,
           const std::string& aOwner,
           BatchPreference aPreference,
           const std::string& aAddress,
           base::Instant aNow);
  void Remove(const std::string& aHost, base::Instant aNow);

  /// @return whether jobs of that owner may be taken over.
  [[nodiscard]] bool IsGone(const std::string& aOwner,
                            base::Instant aNow) const;

  /// @return where a live owner takes calls of other hosts, or nothing.
  [[nodiscard]] std::optional<std::string> AddressOf(
    const std::string& aOwner) const;

  [[nodiscard]] bool IsLive(const std::string& aOwner) const;

  /// @return the live owner that is to run a job, by highest random weight: all
  /// hosts that see the same registrations agree. Empty where none is live.
  [[nodiscard]] std::string OwnerFor(std::string_view aJob) const;

  /// @return whether hosts of that preference are given jobs now.
  [[nodiscard]] bool IsPreferred(BatchPreference aPreference) const;

  /// @return how many live hosts are there to run jobs.
  [[nodiscard]] std::size_t WorkerCount() const;

  /// @return how many hosts are live.
  [[nodiscard]] std::size_t Count() const { return members_.size(); }

  /// @return where the live hosts take calls of other hosts.
  /// @param aButOwner Left out: the one who asks.
  [[nodiscard]] std::vector<PeerAddress> PeersBut(
    const std::string& aButOwner) const;

private:
  struct Member
  {
    std::string owner_;
    BatchPreference preference_ = BatchPreference::IfNoOther;
    std::string address_;
  };

  std::unordered_map<std::string, Member> members_; ///< By host.
  /// When an owner was last seen to be registered; hosts that were never seen
  /// count from the first question.
  mutable std::unordered_map<std::string, base::Instant> goneSince_;
};

} // namespace pumiceturn::batch
