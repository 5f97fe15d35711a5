#include "LibGateway/HostRecord.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::gateway {

using nlohmann::json;

std::string
EncodeHostRecord(const HostRecord& aRecord)
{
  return json{
    { "owner", aRecord.ownerId_ },
    { "peer", aRecord.peerAddress_ },
    { "calls", aRecord.callAddress_ },
    { "worker", aRecord.preference_ == batch::BatchPreference::Worker },
    { "domain", aRecord.failureDomain_ }
  }.dump();
}

std::optional<HostRecord>
DecodeHostRecord(std::string_view aText)
{
  try {
    const json value = json::parse(aText);
    const bool isWorker = value.at("worker").get<bool>();
    return HostRecord{ value.at("owner").get<std::string>(),
                       value.at("peer").get<std::string>(),
                       value.at("calls").get<std::string>(),
                       isWorker ? batch::BatchPreference::Worker
                                : batch::BatchPreference::Fallback,
                       value.value("domain", std::string()) };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace pumiceturn::gateway
