#include "LibGateway/BatchJobCreation.h"

namespace pumiceturn::gateway {

namespace {

/// Size of one part of a job's content. The store limits values to 1 MB after
/// base64 encoding.
constexpr std::size_t kPartBytes = 600000;

} // namespace

metadata::Transaction
MakeCreationTransaction(const batch::BatchJobKeySpace& aKeys,
                        const batch::SpooledJob& aJob)
{
  batch::BatchJobState state = aJob.state_;
  state.partCount_ = 0;
  metadata::Transaction transaction;
  for (std::size_t begin = 0; begin < aJob.content_.size();
       begin += kPartBytes) {
    transaction.writes_.push_back(
      { aKeys.MakeKey({ aJob.id_, batch::KeyKind::Content, state.partCount_ }),
        aJob.content_.substr(begin, kPartBytes),
        0 });
    ++state.partCount_;
  }
  const std::string stateKey = aKeys.StateKey(aJob.id_);
  transaction.expectations_.push_back({ stateKey, 0 });
  transaction.writes_.push_back({ stateKey, batch::EncodeState(state), 0 });
  return transaction;
}

} // namespace pumiceturn::gateway
