#include "LibStandin/JsonExchange.h"

#include <algorithm>

namespace pumiceturn::standin {

void
ReplyJson(httplib::Response& aResponse,
          const nlohmann::json& aBody,
          int aStatus)
{
  aResponse.status = aStatus;
  aResponse.set_content(
    aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
    kJsonType);
}

void
ReplyError(httplib::Response& aResponse, int aStatus, std::string_view aWhat)
{
  ReplyJson(aResponse, { { "error", aWhat } }, aStatus);
}

std::optional<nlohmann::json>
ReadJsonObject(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    ReplyError(aResponse, kHttpBadRequest, "the body is no JSON object");
    return std::nullopt;
  }
  return body;
}

std::optional<std::string>
FindUnknownKey(const nlohmann::json& aObject,
               std::initializer_list<std::string_view> aKnown)
{
  for (const auto& [key, value] : aObject.items()) {
    if (std::find(aKnown.begin(), aKnown.end(), key) == aKnown.end()) {
      return key;
    }
  }
  return std::nullopt;
}

base::Duration
MillisecondsOf(const nlohmann::json& aObject,
               const char* aKey,
               base::Duration aDefault)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return aDefault;
  }
  return std::chrono::milliseconds{ found->get<std::int64_t>() };
}

} // namespace pumiceturn::standin
