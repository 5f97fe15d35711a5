#pragma once

#include "LibFleet/OriginInquiry.h"
#include "LibFleet/StreamOriginTable.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pumiceturn::gateway {

/// Records of streams, for the hosts that hold them.
struct OriginRows
{
  std::vector<fleet::StreamOriginTable::Row> rows_;
  /// Whether a host that keeps them on its disk confirms that.
  bool wantsConfirmation_ = false;
};

/// Confirms that a host keeps records on its disk.
struct OriginConfirmation
{
  std::vector<std::string> ids_;
};

/// Asks a host what it knows about a stream.
struct OriginQuery
{
  std::uint64_t query_ = 0;           ///< Repeated in the answer.
  std::string id_;                    ///< Empty: asks for the versions only.
  std::vector<std::string> services_; ///< Of the stream's route.
};

struct OriginAnswer
{
  std::uint64_t query_ = 0;
  fleet::OriginEvidence evidence_;
};

/// A datagram about the origin of streams.
using OriginMessage =
  std::variant<OriginRows, OriginConfirmation, OriginQuery, OriginAnswer>;

[[nodiscard]] nlohmann::json
EncodeOriginMessage(const OriginMessage& aMessage);

/// @throws nlohmann::json::exception if aContent isn't a message.
[[nodiscard]] OriginMessage
DecodeOriginMessage(const nlohmann::json& aContent);

} // namespace pumiceturn::gateway
