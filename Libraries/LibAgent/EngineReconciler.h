#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibEndpoint/EngineMessages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pumiceturn::agent {

/// Fence record of an endpoint, stored in the platform's key-value store under
/// KEYPREFIX + "fence/" + endpoint.
struct FenceRecord
{
  /// Fencing number; incremented by each process before it sends commands.
  std::uint64_t fence_ = 0;
  /// Version of the configuration that the commands implement.
  std::uint64_t configurationVersion_ = 0;
  std::string processId_; ///< Id of the agent process that may send commands.

  bool operator==(const FenceRecord&) const = default;
};

/// @return the record as one line of text.
std::string
FormatFenceRecord(const FenceRecord& aRecord);

/// @return the record, or CorruptRecord if the text is malformed.
base::Result<FenceRecord>
ParseFenceRecord(std::string_view aText);

/// The fence record as read, with its revision for a compare-and-swap.
struct FenceReading
{
  /// Its fencing number is 0 if the key does not exist.
  FenceRecord record_;
  std::uint64_t revision_ = 0; ///< 0 if the key does not exist.
};

struct ReadFence
{};

struct SwapFence
{
  FenceRecord record_;
  std::uint64_t expectedRevision_ = 0;
};

struct SendCommand
{
  endpoint::EngineCommand command_;
};

/// One request to the platform or the engine.
using ReconcileStep = std::variant<ReadFence, SwapFence, SendCommand>;

/// Brings one engine to the state that the declarations describe: model,
/// version and adapters.
///
/// Commands of a former agent process may still be in transit, and some engines
/// ignore fencing numbers. A process therefore sends commands only after it has
/// incremented the fencing number in the platform's record by compare-and-swap,
/// and stops when the record names another process or a newer configuration.
/// Commands are repeated periodically, because an engine that ignores fencing
/// numbers may have executed a late command of a former process. While the
/// platform is unavailable no commands are sent and the engine keeps its state.
///
/// Does no I/O: Next() returns the next step, and the On...() functions take
/// its result. Not thread-safe.
class EngineReconciler
{
public:
  struct DesiredState
  {
    /// Configuration version.
    std::uint64_t version_ = 0;
    std::vector<endpoint::EngineCommand> commands_;
    /// Delay before the models are loaded, so that a service's endpoints do not
    /// load them at the same time.
    base::Duration delay_{};
  };

  /// @param aProcessId Unique to this process.
  explicit EngineReconciler(std::string aProcessId)
    : processId_(std::move(aProcessId))
  {
  }

  void SetDesiredState(DesiredState aDesired, base::Instant aNow);

  /// The engine restarted and may have lost its loaded models.
  void OnEngineRestarted(base::Instant aNow);

  /// @return the next step that is due, or nothing.
  [[nodiscard]] std::optional<ReconcileStep> Next(base::Instant aNow) const;

  void OnFenceRead(const base::Outcome<FenceReading>& aReading,
                   base::Instant aNow);

  /// @param aRevision New revision of the record if the code is Ok.
  void OnFenceSwapped(base::ResultCode aCode,
                      std::uint64_t aRevision,
                      base::Instant aNow);
  void OnCommandSent(base::ResultCode aCode, base::Instant aNow);

  /// @return whether the engine accepted all commands.
  [[nodiscard]] bool IsSettled() const { return stage_ == Stage::Settled; }

  /// @return whether another process or a newer configuration has taken over.
  [[nodiscard]] bool IsSuperseded() const
  {
    return stage_ == Stage::Superseded;
  }
  [[nodiscard]] std::uint64_t Fence() const { return ownFence_.fence_; }

private:
  enum class Stage : std::uint8_t
  {
    Idle, ///< No desired state, or no commands in it.
    NeedsRead,
    NeedsSwap,
    NeedsCommand,
    Settled,
    Superseded,
  };

  void RetryAfterBackoff(base::Instant aNow);
  void EnterStageOrIdle(Stage aStage);

  std::string processId_;
  DesiredState desired_;
  Stage stage_ = Stage::Idle;
  base::Instant notBefore_;
  FenceReading lastRead_;
  FenceRecord ownFence_;
  std::size_t nextCommand_ = 0;
  std::uint32_t failures_ = 0;
  bool hasSettled_ = false;
};

} // namespace pumiceturn::agent
