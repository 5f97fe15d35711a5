#pragma once

#include "LibLots/Lot.h"
#include "LibLots/LotKeys.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::lots {

/// All lots as this host knows them: the states of all, and content and results
/// of those that it runs. Takes the store's keys in any order. Belongs to the
/// event thread.
class LotTable
{
public:
  /// Reads a lot's content. The sender's format is the adapter's matter.
  using Decoder =
    std::function<std::optional<std::vector<LotItem>>(std::string_view)>;

  LotTable(LotKeySpace aKeys, Decoder aDecoder)
    : keys_(std::move(aKeys))
    , decoder_(std::move(aDecoder))
  {
  }

  [[nodiscard]] const LotKeySpace& Keys() const { return keys_; }

  /// Takes over a key as stored.
  /// @return the lot's id, if the key was one of a lot.
  std::optional<std::string> Apply(std::string_view aKey,
                                   std::string_view aValue,
                                   std::uint64_t aRevision);

  /// A key was removed: with its state a lot is gone.
  void Remove(std::string_view aKey);

  /// @return nullptr where no such lot is known here with its state.
  [[nodiscard]] const Lot* Find(const std::string& aId) const;

  /// All keys of a lot have been applied.
  /// @return false if the content is not whole: another host is still storing.
  bool FinishLoading(const std::string& aId);

  /// Forgets all of a lot but its state.
  void Unload(const std::string& aId);

  /// @return ids of all lots that may still get results.
  [[nodiscard]] std::vector<std::string> OpenLots() const;

  /// @return all lots that have a state.
  [[nodiscard]] std::vector<std::string> AllLots() const;

private:
  void JoinParts(Lot& aLot);
  static void JoinPages(Lot& aLot);

  LotKeySpace keys_;
  Decoder decoder_;
  std::unordered_map<std::string, Lot> lots_;
};

} // namespace pumiceturn::lots
