#include "LibGateway/StreamOriginCodec.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

constexpr const char* kAmbiguous = "ambiguous";

struct Encoder
{
  json operator()(const OriginRows& aMessage) const
  {
    json rows = json::array();
    for (const fleet::StreamOriginTable::Row& row : aMessage.rows_) {
      rows.push_back({ row.id_,
                       row.origin_.service_,
                       row.origin_.version_,
                       base::ToMs(row.lifetime_) });
    }
    return { { "rows", std::move(rows) },
             { "confirm", aMessage.wantsConfirmation_ } };
  }

  json operator()(const OriginConfirmation& aMessage) const
  {
    return { { "kept", aMessage.ids_ } };
  }

  json operator()(const OriginQuery& aMessage) const
  {
    return { { "query", aMessage.query_ },
             { "id", aMessage.id_ },
             { "services", aMessage.services_ } };
  }

  json operator()(const OriginAnswer& aMessage) const
  {
    json origins = json::array();
    json versions = json::array();
    for (const fleet::StreamOrigin& origin : aMessage.evidence_.origins_) {
      origins.push_back({ origin.service_, origin.version_ });
      versions.push_back(origin.version_);
    }
    // FIXME: Remove the versions once no host runs software that drops answers
    //        without them.
    return { { "answer", aMessage.query_ },
             { "record", std::visit(*this, aMessage.evidence_.record_) },
             { "origins", std::move(origins) },
             { "versions", std::move(versions) } };
  }

  json operator()(const fleet::UnknownOrigin& /*aRecord*/) const { return {}; }
  json operator()(const fleet::AmbiguousOrigin& /*aRecord*/) const
  {
    return kAmbiguous;
  }
  json operator()(const fleet::KnownOrigin& aRecord) const
  {
    return json::array({ aRecord.origin_.service_,
                         aRecord.origin_.version_,
                         base::ToMs(aRecord.age_) });
  }
};

std::chrono::milliseconds
ReadMs(const json& aValue)
{
  return std::chrono::milliseconds(aValue.get<std::uint32_t>());
}

fleet::OriginRecord
DecodeRecord(const json& aRecord)
{
  if (aRecord.is_null()) {
    return fleet::UnknownOrigin{};
  }
  if (aRecord == kAmbiguous) {
    return fleet::AmbiguousOrigin{};
  }
  return fleet::KnownOrigin{ { aRecord.at(0).get<std::string>(),
                               aRecord.at(1).get<std::string>() },
                             ReadMs(aRecord.at(2)) };
}

fleet::OriginSet
DecodeOrigins(const json& aOrigins)
{
  fleet::OriginSet origins;
  for (const json& origin : aOrigins) {
    origins.insert(
      { origin.at(0).get<std::string>(), origin.at(1).get<std::string>() });
  }
  return origins;
}

} // namespace

json
EncodeOriginMessage(const OriginMessage& aMessage)
{
  return std::visit(Encoder{}, aMessage);
}

OriginMessage
DecodeOriginMessage(const json& aContent)
{
  if (const auto rows = aContent.find("rows"); rows != aContent.end()) {
    OriginRows message;
    message.wantsConfirmation_ = aContent.value("confirm", false);
    for (const json& row : *rows) {
      message.rows_.push_back(
        { row.at(0).get<std::string>(),
          { row.at(1).get<std::string>(), row.at(2).get<std::string>() },
          ReadMs(row.at(3)) });
    }
    return message;
  }
  if (const auto ids = aContent.find("kept"); ids != aContent.end()) {
    return OriginConfirmation{ ids->get<std::vector<std::string>>() };
  }
  if (aContent.contains("query")) {
    return OriginQuery{
      aContent.at("query").get<std::uint64_t>(),
      aContent.at("id").get<std::string>(),
      aContent.at("services").get<std::vector<std::string>>()
    };
  }
  return OriginAnswer{ aContent.at("answer").get<std::uint64_t>(),
                       { DecodeRecord(aContent.at("record")),
                         DecodeOrigins(
                           aContent.value("origins", json::array())) } };
}

} // namespace pumiceturn::gateway
