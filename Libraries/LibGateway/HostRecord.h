#pragma once

#include "LibBatch/HostSet.h"

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::gateway {

/// What a host registers of itself in the store.
struct HostRecord
{
  std::string owner_;       ///< Host and incarnation.
  std::string peerAddress_; ///< IP:PORT for datagrams.
  std::string callAddress_; ///< IP:PORT for calls of other hosts.
  batch::BatchPreference preference_ = batch::BatchPreference::Fallback;

  bool operator==(const HostRecord&) const = default;
};

std::string
EncodeHostRecord(const HostRecord& aRecord);

/// @return nothing where the text is no such record.
std::optional<HostRecord>
DecodeHostRecord(std::string_view aText);

} // namespace pumiceturn::gateway
