#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::batch {

/// The preference with which a host is assigned jobs.
enum class BatchPreference : std::uint8_t
{
  Fallback, ///< Entry host, assigned jobs only if no worker is live.
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
  /// live host may expire while the store is unavailable.
  static constexpr base::Duration kTakeoverDelay{ std::chrono::milliseconds{
    1200 } };

  /// Adds or updates a host.
  /// @param aOwner Host and incarnation, as stored in the job state.
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

  /// @return the IP:PORT at which a live owner accepts calls from other hosts,
  ///   or nullopt if it is not live.
  [[nodiscard]] std::optional<std::string> AddressOf(
    const std::string& aOwner) const;

  [[nodiscard]] bool IsLive(const std::string& aOwner) const;

  /// @return the live owner assigned to a job by rendezvous hashing, or an
  ///   empty string if no host is live. Hosts with the same registrations
  ///   choose the same owner.
  [[nodiscard]] std::string OwnerFor(std::string_view aJob) const;

  /// @return whether hosts with this preference are currently assigned jobs.
  [[nodiscard]] bool IsPreferred(BatchPreference aPreference) const;

  /// @return the number of live workers.
  [[nodiscard]] std::size_t WorkerCount() const;

  /// @return the number of live hosts.
  [[nodiscard]] std::size_t Count() const { return members_.size(); }

  /// @return the addresses of the live hosts, without the given owner.
  [[nodiscard]] std::vector<PeerAddress> PeersExcept(
    const std::string& aExcludedOwner) const;

private:
  struct Member
  {
    std::string owner_;
    BatchPreference preference_ = BatchPreference::Fallback;
    std::string address_;
  };

  std::unordered_map<std::string, Member> members_; ///< Keyed by host name.
  /// When each owner was found to be unregistered. For an owner that was never
  /// registered, the time of the first query.
  mutable std::unordered_map<std::string, base::Instant> unregisteredSince_;
};

} // namespace pumiceturn::batch
