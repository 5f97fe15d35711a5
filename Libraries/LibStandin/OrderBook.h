#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pumiceturn::standin {

enum class FenceCheck : std::uint8_t
{
  Enforced,
  Ignored,
};

/// What an engine was ordered to load or to be. Not thread-safe.
class OrderBook
{
public:
  struct Order
  {
    std::string kind_; ///< load_model, load_adapter or set_role.
    std::string name_;
    std::string version_;
    std::uint64_t fence_ = 0;
  };

  [[nodiscard]] static bool IsKnownKind(const std::string& aKind)
  {
    return aKind == "load_model" || aKind == "load_adapter" ||
           aKind == "set_role";
  }

  /// @return false if the order is refused as stale.
  bool Obey(const Order& aOrder, FenceCheck aCheck)
  {
    if (aCheck == FenceCheck::Enforced && aOrder.fence_ < highestFence_) {
      return false;
    }
    highestFence_ = aOrder.fence_;
    if (aOrder.kind_ == "set_role") {
      role_ = aOrder.name_;
    } else if (aOrder.kind_ == "load_model") {
      models_[aOrder.name_] = aOrder.version_;
    } else {
      adapters_[aOrder.name_] = aOrder.version_;
    }
    return true;
  }

  [[nodiscard]] const std::map<std::string, std::string>& Models() const
  {
    return models_;
  }
  [[nodiscard]] const std::map<std::string, std::string>& Adapters() const
  {
    return adapters_;
  }
  [[nodiscard]] const std::string& Role() const { return role_; }
  [[nodiscard]] std::uint64_t HighestFence() const { return highestFence_; }

private:
  std::map<std::string, std::string> models_;
  std::map<std::string, std::string> adapters_;
  std::string role_;
  std::uint64_t highestFence_ = 0;
};

} // namespace pumiceturn::standin
