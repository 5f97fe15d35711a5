#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

namespace pumiceturn::fleet {

/// Maximum number of entry hosts in a cell.
inline constexpr std::size_t kMaxHostsPerCell = 40;

/// @return the number of cells for a number of entry hosts: the smallest power
///         of two with which no cell is too large. Doubling it splits each cell
///         in two and moves nothing else.
[[nodiscard]] std::size_t
CellCountFor(std::size_t aEntryHosts);

/// Assigns members to cells of equal size, in the order of their names' hashes,
/// so that all hosts agree without messages and a member that joins or leaves
/// moves at most one other across each boundary.
/// @return the cell of each member.
[[nodiscard]] std::unordered_map<std::string, std::size_t>
AssignCells(std::span<const std::string> aMembers, std::size_t aCells);

/// Which hosts exchange messages regularly.
///
/// If each host told each other of its attempts, the messages that a host
/// receives would grow with the fleet. So entry hosts are divided into cells,
/// which share the endpoints of the same number, and exchange messages only
/// within their cell and with the workers, which run batch in all cells.
///
/// Performs no I/O. Not thread-safe.
class CellMap
{
public:
  /// How a host relates to this one.
  enum class Relation : std::uint8_t
  {
    Neighbour, ///< Of the same cell, or a worker if this host is one.
    Remote,    ///< A worker, or any entry host if this host is a worker.
    Stranger,  ///< Exchanges no regular messages with this host.
  };

  CellMap(std::string aOwnHost, bool aIsWorker)
    : ownHost_(std::move(aOwnHost))
    , isWorker_(aIsWorker)
  {
  }

  /// @param aIsDivided Whether the fleet may be divided; otherwise all hosts
  ///        are neighbours.
  void Update(std::span<const std::string> aEntryHosts, bool aIsDivided);

  [[nodiscard]] std::size_t CellCount() const { return cellCount_; }

  /// @return this host's cell; empty for a worker.
  [[nodiscard]] std::optional<std::size_t> OwnCell() const;

  /// @return the cell of an entry host; empty if it isn't known.
  [[nodiscard]] std::optional<std::size_t> CellOf(
    const std::string& aHost) const;

  [[nodiscard]] Relation RelationTo(const std::string& aHost,
                                    bool aIsWorker) const;

private:
  std::string ownHost_;
  bool isWorker_;
  std::size_t cellCount_ = 1;
  std::unordered_map<std::string, std::size_t> cells_; ///< By entry host.
};

} // namespace pumiceturn::fleet
