#pragma once

#include <memory>
#include <utility>

namespace pumiceturn::base {

/// Guards callbacks of calls that may outlast the object that made them: after
/// the object's end they do nothing. For one thread alone.
class Lifetime
{
public:
  /// @return the callback, which runs only as long as this object lives.
  template<typename Callback>
  [[nodiscard]] auto Guard(Callback aCallback) const
  {
    return [alive = std::weak_ptr<int>(alive_),
            callback = std::move(aCallback)](auto&&... aArguments) {
      if (!alive.expired()) {
        callback(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

private:
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace pumiceturn::base
