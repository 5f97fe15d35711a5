#pragma once

#include <Settings.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::platform {

/// The platform's list of live and leaving hosts: a YAML or JSON file, or an
/// HTTP page, polled. It lags behind reality, so it only says whom to try. When
/// it cannot be read, the last list stays. Thread-safe.
class HostDirectory
{
public:
  using Snapshot = std::shared_ptr<const settings::HostList>;

  struct Options
  {
    std::string source_; ///< File path or http:// URL.
  };

  explicit HostDirectory(Options aOptions);
  ~HostDirectory();
  HostDirectory(const HostDirectory&) = delete;
  HostDirectory& operator=(const HostDirectory&) = delete;

  /// Reads the source again, and calls the subscribers if the list changed.
  /// Blocks.
  void Refresh();

  [[nodiscard]] Snapshot Current() const;

  /// @return the listed host, or nothing.
  [[nodiscard]] std::optional<settings::ListedHost> Find(
    std::string_view aName) const;

  /// Calls a function with each new list, on the refreshing thread.
  void Subscribe(std::function<void(const Snapshot&)> aHandler);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::platform
