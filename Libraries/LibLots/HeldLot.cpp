#include "LibLots/HeldLot.h"

#include "LibBase/Ids.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::lots {

using nlohmann::json;

std::string
EncodeHeldLot(const HeldLot& aLot)
{
  const std::string rest = EncodeState(aLot.state_) + '\n' + aLot.content_;
  const json head = { { "lot", aLot.id_ },
                      { "bytes", rest.size() },
                      { "hash", base::HashBytes(rest) } };
  return head.dump() + '\n' + rest;
}

std::optional<HeldLot>
DecodeHeldLot(std::string_view aText)
{
  const std::size_t headEnd = aText.find('\n');
  if (headEnd == std::string_view::npos) {
    return std::nullopt;
  }
  const json head = json::parse(aText.substr(0, headEnd), nullptr, false);
  const std::string_view rest = aText.substr(headEnd + 1);
  const std::size_t stateEnd = rest.find('\n');
  if (!head.is_object() || stateEnd == std::string_view::npos ||
      head.value("bytes", std::size_t{ 0 }) != rest.size() ||
      head.value("hash", std::uint64_t{ 0 }) != base::HashBytes(rest)) {
    return std::nullopt;
  }
  auto state = DecodeState(rest.substr(0, stateEnd));
  HeldLot lot;
  lot.id_ = head.value("lot", std::string());
  if (!state || lot.id_.empty()) {
    return std::nullopt;
  }
  lot.state_ = std::move(*state);
  lot.content_ = rest.substr(stateEnd + 1);
  return lot;
}

} // namespace pumiceturn::lots
