#pragma once

#include "LibFleet/StreamOrigin.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pumiceturn::fleet {

/// What the decision on a resumed stream rests on.
enum class OriginBasis : std::uint8_t
{
  OwnRecord,
  PeerRecord,
  StoredRecord, ///< The store has it, as no worker had.
  /// No other version served for as long as a stream may last: the store names
  /// one, as of later than the caller asked.
  OnlyVersion,
  /// The same, but the store wasn't read: all holders of a record that there
  /// could be were heard, have none and know of no other version.
  OnlyVersionConfirmed,
};

/// Why a stream can't be resumed.
enum class OriginUnknown : std::uint8_t
{
  NoRecord,    ///< Several origins are possible, and no host knows the stream.
  Ambiguous,   ///< Streams of several origins had the same id.
  OldView,     ///< One version is known here, but others may serve by now.
  NoEndpoints, ///< No version of the service is known.
};

/// Where a resumed stream goes on.
struct OriginFound
{
  StreamOrigin origin_;
  OriginBasis basis_ = OriginBasis::OwnRecord;
  base::Duration age_{ 0 }; ///< Age of the record; zero without one.
};

using OriginDecision = std::variant<OriginFound, OriginUnknown>;

/// What one host knows about a stream and the services of its route.
struct OriginEvidence
{
  OriginRecord record_;
  /// All that may have begun the stream; empty: not known.
  OriginSet origins_{};
};

/// Decides where a resumed stream goes on, from what this host and others know.
/// What two versions or services write doesn't fit together, so a stream of
/// unknown origin isn't resumed unless there is only one. The names of two
/// services' versions have nothing to do with each other.
class OriginInquiry
{
public:
  /// @param aOwn          What this host knows.
  /// @param aIsViewRecent Whether this host knows all endpoints as of now. Only
  ///                      a host that has no others to ask decides by that.
  /// @param aAsked        Number of hosts that were asked.
  OriginInquiry(OriginEvidence aOwn, bool aIsViewRecent, std::size_t aAsked);

  /// Lets the decision wait for the versions in the store, if this host's view
  /// alone would decide it: another version may have come and gone unseen.
  void AwaitStore() { isStoreAwaited_ = true; }
  [[nodiscard]] bool IsStoreAwaited() const { return isStoreAwaited_; }

  /// Lets a decision against the stream wait: hosts that hold its record may
  /// not be known yet.
  void AwaitHolders() { areHoldersAwaited_ = true; }

  /// Lets a decision against the stream wait for the records in the store.
  void AwaitStoredRecord() { isStoredRecordAwaited_ = true; }

  /// Adds what the store says, read after the caller asked.
  void AddStoredRecord(const OriginRecord& aRecord);

  /// @return whether a record in the store may still decide.
  [[nodiscard]] bool NeedsStoredRecord() const
  {
    return isStoredRecordAwaited_ && NeedsRecord();
  }

  /// @return whether a record was found.
  [[nodiscard]] bool HasRecord() const
  {
    return !std::holds_alternative<UnknownOrigin>(record_);
  }

  /// Adds the answer of another host.
  void Add(const OriginEvidence& aEvidence);

  /// Sets the number of answers that may still come, after hosts were asked
  /// again or the wait has ended. Those that weren't heard stay unheard.
  void SetMissing(std::size_t aMissing);

  /// @return whether only a record can tell the version.
  [[nodiscard]] bool NeedsRecord() const
  {
    return !HasRecord() && origins_.size() > 1;
  }

  /// Adds the services and versions that the store names, from a read that was
  /// sent after the caller asked.
  void AddStoreOrigins(const OriginSet& aOrigins);

  /// @return whether the decision waits for the store, but for no answer.
  [[nodiscard]] bool NeedsStore() const;

  /// @return the decision, or std::nullopt while answers or the store may
  ///         change it.
  [[nodiscard]] std::optional<OriginDecision> Decide() const;

  /// @return the decision without what is missing.
  [[nodiscard]] OriginDecision DecideNow() const;

private:
  /// @return whether one service with one version is known, and no stream can
  ///         have begun at another one without a record that was found.
  [[nodiscard]] bool IsOnlyVersionCertain() const;

  /// @return whether all hosts that were asked have answered, and one of them
  ///         knows the versions.
  [[nodiscard]] bool AreAllHeard() const;

  OriginRecord record_;
  OriginBasis basis_ = OriginBasis::OwnRecord;
  OriginSet origins_;
  bool isViewRecent_;
  std::size_t asked_;             ///< Hosts.
  std::size_t heard_ = 0;         ///< Hosts that answered.
  std::size_t missing_;           ///< Answers that may still come.
  std::size_t confirmations_ = 0; ///< Answers that named versions.
  bool isStoreAwaited_ = false;
  bool areHoldersAwaited_ = false;
  bool isStoredRecordAwaited_ = false;
  bool hasStoreOrigins_ = false;
};

} // namespace pumiceturn::fleet
