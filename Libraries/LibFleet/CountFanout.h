#pragma once

#include "LibFleet/CellMap.h"
#include "LibFleet/CountPublisher.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

/// Decides which part of an update of this host's counts each peer receives.
///
/// Neighbours receive all of it. Between a worker and an entry host, changes
/// are sent immediately and all counts less often, and the worker sends only
/// those at endpoints of the entry host's cell. Other hosts receive the counts
/// at endpoints of their cell, which this host uses if its own cell is full.
///
/// Performs no I/O. Not thread-safe.
class CountFanout
{
public:
  /// Identifies a message: peers with the same key receive the same one.
  struct MessageKey
  {
    bool isFull_ = false; ///< As in CountUpdate.
    /// The message is limited to endpoints of this cell; empty: it isn't.
    std::optional<std::size_t> cell_;

    // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
    auto operator<=>(const MessageKey&) const = default;
  };

  using CellLookup =
    std::function<std::optional<std::size_t>(const std::string& aEndpoint)>;

  /// @param aIsRemoteDue Whether all counts are due to be sent to remote peers.
  CountFanout(const CountUpdate& aUpdate,
              bool aIsWorker,
              bool aIsRemoteDue,
              const CellLookup& aCellOf);

  /// @param aCell The peer's cell; empty if it has none.
  /// @return the message for a peer; empty if it receives none.
  [[nodiscard]] std::optional<MessageKey> KeyFor(
    CellMap::Relation aRelation,
    std::optional<std::size_t> aCell) const;

  [[nodiscard]] std::vector<EndpointCounts> CountsFor(
    const MessageKey& aKey) const;

private:
  struct Row
  {
    EndpointCounts counts_;
    std::optional<std::size_t> cell_;
    bool isCurrent_ = false; ///< Part of a full update.
    bool isChange_ = false;
  };

  [[nodiscard]] bool IsIncluded(const Row& aRow, const MessageKey& aKey) const;
  [[nodiscard]] std::optional<MessageKey> ChangesFor(
    std::optional<std::size_t> aCell) const;

  bool isFull_;
  bool isWorker_;
  bool isRemoteDue_;
  std::vector<Row> rows_;
};

} // namespace pumiceturn::fleet
