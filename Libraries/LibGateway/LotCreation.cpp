#include "LibGateway/LotCreation.h"

namespace pumiceturn::gateway {

namespace {

/// Size of one stored part of a lot's content; values are limited to 1 MB,
/// and some stores count them in base64.
constexpr std::size_t kPartBytes = 600000;

} // namespace

metadata::Transaction
MakeCreation(const lots::LotKeySpace& aKeys, const lots::HeldLot& aLot)
{
  lots::LotState state = aLot.state_;
  state.partCount_ = 0;
  metadata::Transaction transaction;
  for (std::size_t begin = 0; begin < aLot.content_.size();
       begin += kPartBytes) {
    transaction.writes_.push_back(
      { aKeys.MakeKey({ aLot.id_, lots::KeyPart::Content, state.partCount_ }),
        aLot.content_.substr(begin, kPartBytes),
        0 });
    ++state.partCount_;
  }
  const std::string stateKey = aKeys.StateOf(aLot.id_);
  transaction.expectations_.push_back({ stateKey, 0 });
  transaction.writes_.push_back({ stateKey, lots::EncodeState(state), 0 });
  return transaction;
}

} // namespace pumiceturn::gateway
