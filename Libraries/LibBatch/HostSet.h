#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::batch {

/// How preferred a host is in the assignment of jobs.
enum class BatchPreference : std::uint8_t
{
  Fallback, ///< Entry host, assigned jobs only if there is no worker.
  Worker,
};

/// The address at which a host accepts calls from its peers.
struct PeerAddress
{
  std::string host_;
  std::string address_; ///< IP:PORT.
  bool isWorker_ = false;

  bool operator==(const PeerAddress&) const = default;
};

/// The registered hosts, and the assignment of jobs to them. Must be used on
/// the event thread.
class HostSet
{
public:
  /// Delay before jobs of an unregistered host are taken over. The lease of a
  /// running host may expire while the store is unavailable.
  static constexpr base::Duration kTakeoverDelay{ std::chrono::milliseconds{
    1200 } };

  /// Adds or updates a host.
  /// @param aOwner Host name and process number, as stored in the job state.
  /// @param aPreference Only hosts of the highest preference present are
  ///   assigned jobs.
  /// @param aAddress IP:PORT for calls from other hosts.
  void Put(const std::string& aHost,
           const std::string& aOwner,
           BatchPreference aPreference,
           const std::string& aAddress,
           base::Instant aNow);

  /// Removes a host. Its jobs may be taken over after kTakeoverDelay.
  void Remove(const std::string& aHost, base::Instant aNow);

  /// @return whether jobs of the owner may be taken over.
  [[nodiscard]] bool CanTakeOverFrom(const std::string& aOwner,
                                     base::Instant aNow) const;

  /// @return the IP:PORT at which an owner accepts calls from other hosts, or
  ///   nullopt if it is not registered.
  [[nodiscard]] std::optional<std::string> AddressOf(
    const std::string& aOwner) const;

  [[nodiscard]] bool IsRegistered(const std::string& aOwner) const;

  /// @return the registered owner assigned to a job by rendezvous hashing, or
  ///   an empty string if no host is registered. Hosts with the same
  ///   registrations
  ///   choose the same owner.
  [[nodiscard]] std::string AssignedOwner(std::string_view aJob) const;

  /// @return whether hosts with this preference are currently assigned jobs.
  [[nodiscard]] bool IsPreferred(BatchPreference aPreference) const;

  /// @return the number of registered workers.
  [[nodiscard]] std::size_t WorkerCount() const;

  /// @return whether each worker that was registered within aAbsence is
  ///   registered and, if it went missing or restarted, for at least aTime.
  [[nodiscard]] bool AreWorkersPresent(base::Duration aAbsence,
                                       base::Duration aTime,
                                       base::Instant aNow) const;

  /// @return the number of registered hosts.
  [[nodiscard]] std::size_t Count() const { return members_.size(); }

  /// @return the addresses of the registered hosts, without the given owner.
  [[nodiscard]] std::vector<PeerAddress> PeersExcept(
    const std::string& aExcludedOwner) const;

private:
  struct Member
  {
    std::string owner_;
    BatchPreference preference_ = BatchPreference::Fallback;
    std::string address_;
    /// When its current process became known, if another was known before.
    std::optional<base::Instant> returnedAt_;
  };

  std::unordered_map<std::string, Member> members_; ///< Keyed by host name.
  /// When each worker that isn't registered was removed, by host name.
  std::unordered_map<std::string, base::Instant> absentWorkers_;
  /// Names of the hosts by owner: looked up for each open job at each tick.
  std::unordered_map<std::string, std::string> hostsByOwner_;
  /// Start of each unregistered owner's takeover delay; in the past for a
  /// restarted host, whose jobs may be taken over immediately. For an owner
  /// that was never registered, the time of the first query.
  mutable std::unordered_map<std::string, base::Instant> unregisteredSince_;
};

} // namespace pumiceturn::batch
