#pragma once

#include "LibBatch/HostSet.h"

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::gateway {

/// A host's registration in the store.
struct HostRecord
{
  std::string ownerId_;     ///< HOST/INCARNATION, the owner of its jobs.
  std::string peerAddress_; ///< IP:PORT for datagrams.
  std::string callAddress_; ///< IP:PORT for HTTP calls of peers.
  batch::BatchPreference preference_ = batch::BatchPreference::Fallback;
  std::string failureDomain_{};

  bool operator==(const HostRecord&) const = default;
};

std::string
EncodeHostRecord(const HostRecord& aRecord);

/// @return std::nullopt if the text can't be parsed.
std::optional<HostRecord>
DecodeHostRecord(std::string_view aText);

} // namespace pumiceturn::gateway
