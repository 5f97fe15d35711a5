#pragma once

#include "LibBase/Time.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <initializer_list>
#include <optional>
#include <string_view>

namespace pumiceturn::standin {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpNotImplemented = 501;
inline constexpr int kHttpUnavailable = 503;
inline constexpr const char* kJsonType = "application/json";

/// Answers with a JSON document.
void
ReplyJson(httplib::Response& aResponse,
          const nlohmann::json& aBody,
          int aStatus = kHttpOk);

/// Answers with an error sentence.
void
ReplyError(httplib::Response& aResponse, int aStatus, std::string_view aWhat);

/// @return the request's JSON object; otherwise nothing, and the answer is a
/// 400.
std::optional<nlohmann::json>
ReadJsonObject(const httplib::Request& aRequest, httplib::Response& aResponse);

/// @return the first key that is not among the known ones, or nothing.
std::optional<std::string>
FindUnknownKey(const nlohmann::json& aObject,
               std::initializer_list<std::string_view> aKnown);

/// @return a whole number of milliseconds, or the default if the key is
/// missing.
base::Duration
MillisecondsOf(const nlohmann::json& aObject,
               const char* aKey,
               base::Duration aDefault);

/// Runs a handler that reads fields of the request's JSON object; a missing or
/// mistyped field is answered with a 400.
/// @param aHandle Called with the object and the response.
template<typename Handle>
httplib::Server::Handler
JsonHandler(Handle aHandle)
{
  return
    [aHandle](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto body = ReadJsonObject(aRequest, aResponse);
      if (!body) {
        return;
      }
      try {
        aHandle(*body, aResponse);
      } catch (const nlohmann::json::exception& error) {
        ReplyError(aResponse, kHttpBadRequest, error.what());
      }
    };
}

} // namespace pumiceturn::standin
