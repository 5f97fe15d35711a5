#pragma once

#include "LibBase/Time.h"
#include "LibPlatform/Backoff.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::configuration {

/// One thing to fetch.
struct SpreadRequest
{
  std::uint64_t call_ = 0;
  std::optional<std::string> peer_;  ///< Nothing: the key-value service.
  std::uint64_t version_ = 0;        ///< Wanted at least.
  std::vector<std::uint64_t> parts_; ///< Empty: the head.
};

/// Decides what to fetch from whom, so that this process comes to the highest
/// version it has heard of. Peers that announce it on their heartbeats go
/// before the key-value service, whose calls are counted for the whole fleet.
/// One fetch from peers and one from the service are in flight at most, so
/// neither a silent peer nor a slow service holds up the other way. Not
/// thread-safe.
class SpreadDecision
{
public:
  struct Options
  {
    base::Duration fetchTimeout_{ base::Duration{ 1000000 } };
    /// Between reads of the head in the service, where nothing was heard.
    base::Duration pollInterval_{ base::Duration{ 5000000 } };
    /// The first read comes within this time, spread at random.
    base::Duration firstPollWithin_{ base::Duration{ 0 } };
    /// How long a peer that gave nothing is passed over.
    base::Duration avoidPeer_{ base::Duration{ 2000000 } };
  };

  /// @param aRandom Uniform in [0, 1).
  SpreadDecision(Options aOptions, base::Instant aNow, double aRandom);

  /// Says how many processes poll the service as this one does. More of them
  /// poll less often each, and wait longer at random for a peer to have a
  /// change's parts, so that the service's calls hardly grow with the fleet.
  void SetPollers(std::size_t aPollers);

  /// A peer announced the version it holds.
  void OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion);

  void OnPeerLost(const std::string& aPeer);

  /// A head above the held version is known.
  /// @param aMissing Parts this process needs and lacks; not empty.
  void OnHead(std::uint64_t aVersion, std::vector<std::uint64_t> aMissing);

  /// A version is in force here.
  void OnInstalled(std::uint64_t aVersion);

  enum class Reply : std::uint8_t
  {
    Useful,     ///< Something that was missing came, or the service answered.
    Useless,    ///< Failure, or a version that is not wanted.
    LacksParts, ///< The version was there, without any part asked for.
  };

  /// A fetch was answered. Answers of fetches given up are ignored.
  void OnReply(std::uint64_t aCall,
               Reply aReply,
               base::Instant aNow,
               double aRandom);

  /// Reads the head in the service as soon as its calls work: a watch may have
  /// missed changes.
  void PollSoon();

  /// @return whether something is being fetched, so that Next() is to be called
  /// again soon even where nothing is heard.
  [[nodiscard]] bool IsBusy() const { return pending_ || peerFetch_; }

  /// @return the next fetch to send now, or nothing. Call until nothing comes.
  std::optional<SpreadRequest> Next(base::Instant aNow, double aRandom);

private:
  struct Peer
  {
    std::uint64_t version_ = 0;
    base::Instant avoidedUntil_{};
    /// Agents hold the parts of their own service alone. One that lacked what
    /// was asked for is asked for heads only, so that a change of a partner
    /// does not send each entry through all of its agents again.
    bool lacksParts_ = false;
  };

  struct Pending
  {
    std::uint64_t version_ = 0;
    std::vector<std::uint64_t> missing_;
    /// When the service may be asked; set when that is first thought of.
    std::optional<base::Instant> platformFrom_;
  };

  struct PeerFetch
  {
    std::uint64_t call_ = 0;
    std::string peer_;
    base::Instant givenUpAt_;
  };

  void GiveUpSilentPeer(base::Instant aNow);
  std::optional<SpreadRequest> NextFromPeer(base::Instant aNow, double aRandom);
  std::optional<SpreadRequest> NextFromPlatform(base::Instant aNow,
                                                double aRandom);
  enum class Wanted : std::uint8_t
  {
    Head,
    Parts,
  };

  [[nodiscard]] std::optional<std::string> ChoosePeer(Wanted aWanted,
                                                      std::uint64_t aAtLeast,
                                                      base::Instant aNow,
                                                      double aRandom) const;
  [[nodiscard]] std::uint64_t HighestKnown() const;

  [[nodiscard]] bool MayAskForParts(base::Instant aNow, double aRandom);
  [[nodiscard]] base::Duration PollInterval() const;

  Options options_;
  std::size_t pollers_ = 1;
  std::uint64_t held_ = 0;
  std::map<std::string, Peer> peers_;
  std::optional<Pending> pending_;
  std::optional<PeerFetch> peerFetch_;
  std::optional<std::uint64_t> platformCall_;
  base::Instant nextPollAt_;
  base::Instant platformAvoidedUntil_{};
  platform::Backoff platformBackoff_;
  std::uint64_t lastCall_ = 0;
};

} // namespace pumiceturn::configuration
