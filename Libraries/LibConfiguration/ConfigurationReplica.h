#pragma once

#include "LibConfiguration/Parts.h"
#include "LibConfiguration/SpreadDecision.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::configuration {

/// What one process holds of the configuration: the head and parts in force,
/// and those of a higher version that are still being fetched. Takes what
/// others send, answers those who ask, and says what to fetch next. Does no
/// I/O. Not thread-safe.
class ConfigurationReplica
{
public:
  ConfigurationReplica(Scope aScope,
                       SpreadDecision::Options aOptions,
                       base::Instant aNow,
                       double aRandom);

  /// What to fetch from whom.
  [[nodiscard]] SpreadDecision& Spread() { return spread_; }

  /// How a head relates to what is known here.
  enum class HeadNews : std::uint8_t
  {
    Unreadable,
    Lower, ///< Below the version that is whole here.
    Known,
    Higher,
  };

  /// Takes a head as it is stored, if it is above all known so far.
  HeadNews TakeHead(std::string_view aBytes);

  /// Takes parts, where their content has the digest asked for.
  /// @return whether any was missing.
  bool TakeParts(const std::vector<wire::ConfigurationPart>& aParts);

  /// Takes a peer's answer.
  /// @return whether it brought a new head or a missing part.
  SpreadDecision::Reply TakeContent(const wire::ConfigurationContent& aContent);

  /// @return a version that became whole since the last call.
  std::optional<declarations::Configuration> TakeInstallable();

  /// @return the answer to a peer that asks.
  [[nodiscard]] wire::ConfigurationContent Serve(
    const wire::FetchConfiguration& aRequest) const;

  /// @return the version that is whole here.
  [[nodiscard]] std::uint64_t Version() const { return held_.version(); }

private:
  void Reconsider();
  void DropUnlistedParts();

  Scope scope_;
  SpreadDecision spread_;
  stored::ConfigurationHead held_;
  std::optional<stored::ConfigurationHead> pending_;
  PartTable parts_;
  std::optional<declarations::Configuration> installable_;
};

} // namespace pumiceturn::configuration
