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

/// What the platform keeps of an endpoint's orders, under
/// KEYPREFIX + "fence/" + endpoint.
struct FenceRecord
{
  std::uint64_t fence_ = 0;
  std::uint64_t configurationVersion_ = 0; ///< That the orders came from.
  std::string writeId_; ///< Of the agent process that may give orders.

  bool operator==(const FenceRecord&) const = default;
};

/// @return the record as one line of text.
std::string
WriteFenceRecord(const FenceRecord& aRecord);

/// @return CorruptRecord if the text is none.
base::Result<FenceRecord>
ParseFenceRecord(std::string_view aText);

/// The fence record as read, with the revision a swap must expect.
struct FenceReading
{
  FenceRecord record_;         ///< Fence 0 where none is kept yet.
  std::uint64_t revision_ = 0; ///< 0: the key does not exist.
};

struct ReadFence
{};

struct SwapFence
{
  FenceRecord record_;
  std::uint64_t expectedRevision_ = 0;
};

struct SendOrder
{
  endpoint::EngineOrder order_;
};

/// One exchange with the platform or the engine.
using OrderStep = std::variant<ReadFence, SwapFence, SendOrder>;

/// Brings one engine to what the declarations say: model, version, adapters.
///
/// Orders of a former agent process may still be under way, and some engines
/// ignore fencing numbers. So a process gives no order before it has taken the
/// next number in the platform's record by compare-and-swap, and it stops when
/// the record names another process or a newer configuration. Orders are given
/// again from time to time, because a late order of a former process may have
/// undone them at an engine that ignores the number. Without the platform no
/// order is given; the engine goes on with what it has.
///
/// Does no I/O: Next() says what to do, the On...() say what came of it. Not
/// thread-safe.
class OrderKeeper
{
public:
  struct Declared
  {
    std::uint64_t version_ = 0; ///< Of the configuration.
    std::vector<endpoint::EngineOrder> orders_;
    base::Duration delay_{}; ///< Spreads loads of one service in time.
  };

  /// @param aWriteId Unique to this process.
  explicit OrderKeeper(std::string aWriteId)
    : writeId_(std::move(aWriteId))
  {
  }

  void SetDeclared(Declared aDeclared, base::Instant aNow);

  /// The engine may have lost what it had loaded.
  void OnEngineRestarted(base::Instant aNow);

  /// @return nothing while all is done or a wait is due.
  [[nodiscard]] std::optional<OrderStep> Next(base::Instant aNow) const;

  void OnFenceRead(const base::Outcome<FenceReading>& aReading,
                   base::Instant aNow);

  /// @param aRevision The new revision where the code is Ok.
  void OnFenceSwapped(base::ResultCode aCode,
                      std::uint64_t aRevision,
                      base::Instant aNow);
  void OnOrderSent(base::ResultCode aCode, base::Instant aNow);

  [[nodiscard]] bool IsSettled() const { return stage_ == Stage::Settled; }

  /// @return whether another process or a newer configuration has taken over.
  [[nodiscard]] bool IsSuperseded() const
  {
    return stage_ == Stage::Superseded;
  }
  [[nodiscard]] std::uint64_t Fence() const { return held_.fence_; }

private:
  enum class Stage : std::uint8_t
  {
    Idle, ///< Nothing declared yet.
    MustRead,
    MustSwap,
    MustOrder,
    Settled,
    Superseded,
  };

  void WaitThenRead(base::Instant aNow);
  void GoOn(Stage aStage);

  std::string writeId_;
  Declared declared_;
  Stage stage_ = Stage::Idle;
  base::Instant notBefore_;
  FenceReading read_;
  FenceRecord held_;
  std::size_t nextOrder_ = 0;
  std::uint32_t failures_ = 0;
  bool hasSettled_ = false;
};

} // namespace pumiceturn::agent
