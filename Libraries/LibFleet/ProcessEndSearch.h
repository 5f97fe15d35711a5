#pragma once

#include "LibBase/Time.h"
#include "LibFleet/UnmarkedEnd.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace pumiceturn::fleet {

/// What shows that the process of an endpoint has ended.
enum class EndProof : std::uint8_t
{
  Refused,      ///< Nothing listens at its address.
  OtherProcess, ///< Another process answers there.
  Replaced,     ///< Another process is registered in its place.
};

/// @return a proof's name, for logs and metrics.
[[nodiscard]] std::string_view
NameOf(EndProof aProof);

/// The process has ended.
struct ProcessEnded
{
  EndProof proof_ = EndProof::Refused;
};

/// The process lives on, or nothing shows that it ended.
struct EndNotShown
{};

/// The endpoint is to be checked again after a pause.
struct CheckAgain
{
  base::Duration pause_{ 0 };
};

using EndFinding = std::variant<ProcessEnded, EndNotShown, CheckAgain>;

/// Finds out from a few checks of an endpoint whether the process that broke an
/// attempt off has ended. An endpoint that can't be reached, resets connections
/// or doesn't answer may be busy, so that only a sign of the end counts. The
/// kernel closes the sockets of a process one after the other, its listening
/// socket perhaps last, so that such a sign may come late.
class ProcessEndSearch
{
public:
  /// @param aCheck What the latest check found.
  /// @param aIsReplaced Whether another process is registered in its place.
  [[nodiscard]] EndFinding Record(EndpointCheck aCheck, bool aIsReplaced);

  /// @return how many checks were recorded.
  [[nodiscard]] std::size_t CheckCount() const { return checks_; }

private:
  [[nodiscard]] EndFinding CheckLater() const;

  std::size_t checks_ = 0;
  /// An accepted connection was closed. A process whose listening socket closes
  /// can't close a second one.
  bool wasClosed_ = false;
};

} // namespace pumiceturn::fleet
