#pragma once

#include "LibEntry/EntryCore.h"
#include "LibEntry/MessageStream.h"

#include <Caller.pb.h>

#include <cstdint>
#include <memory>
#include <string>

namespace pumiceturn::entry {

/// Handles one ReadResults RPC. Fetches the next page only after the previous
/// one was written, so that a slow caller occupies memory for one page.
class ResultsReader : public std::enable_shared_from_this<ResultsReader>
{
public:
  using Stream = MessageStream<caller::ItemResult>;

  static constexpr std::uint32_t kPageItems = 256;
  static constexpr base::Duration kPollInterval{ std::chrono::milliseconds{
    250 } };
  static constexpr base::Duration kPageTimeout{ std::chrono::seconds{ 20 } };

  ResultsReader(std::shared_ptr<EntryCore> aCore,
                std::shared_ptr<Stream> aStream,
                std::string aPartner,
                const caller::ReadResultsRequest& aRequest);

  /// Requests the next page from the owner.
  void Fetch();

  /// Called when all items of the fetched page were written.
  void OnPageWritten();

private:
  void OnPage(OwnerCalls::ReplyOrFailure aReply);
  void FinishOrPoll();

  std::shared_ptr<EntryCore> core_;
  std::shared_ptr<Stream> stream_;
  std::string partner_;
  wire::JobId job_;
  std::uint32_t from_;
  bool follow_;
  bool ended_ = false; ///< The fetched page is the last one of an ended job.
};

} // namespace pumiceturn::entry
