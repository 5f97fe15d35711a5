#pragma once

#include "LibEntry/EntryCore.h"
#include "LibEntry/MessageStream.h"

#include <Caller.pb.h>

#include <cstdint>
#include <memory>
#include <string>

namespace pumiceturn::entry {

/// One ReadResults RPC: fetches pages from the owner as fast as the caller
/// takes them, so that a slow caller holds one page and not the whole job.
class ResultsReader : public std::enable_shared_from_this<ResultsReader>
{
public:
  using Stream = MessageStream<caller::ItemResult>;

  static constexpr std::uint32_t kPageItems = 256;
  static constexpr base::Duration kFollowInterval{ std::chrono::milliseconds{
    250 } };
  static constexpr base::Duration kPagePatience{ std::chrono::seconds{ 20 } };

  ResultsReader(std::shared_ptr<EntryCore> aCore,
                std::shared_ptr<Stream> aStream,
                std::string aPartner,
                const caller::ReadResultsRequest& aRequest);

  /// Asks for the next page.
  void Fetch();

  /// The page was written.
  void OnDrained();

private:
  void OnPage(OwnerCalls::Reply aReply);
  void EndOrWait();

  std::shared_ptr<EntryCore> core_;
  std::shared_ptr<Stream> stream_;
  std::string partner_;
  wire::JobId job_;
  std::uint32_t from_;
  bool follow_;
  bool ended_ = false;
};

} // namespace pumiceturn::entry
