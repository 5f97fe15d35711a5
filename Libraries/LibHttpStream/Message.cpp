#include "LibHttpStream/Message.h"

#include <boost/beast/core/string.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace pumiceturn::httpstream {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames = {
  "connection",        "keep-alive", "proxy-connection", "te",     "trailer",
  "transfer-encoding", "upgrade",    "content-length",   "expect",
};

} // namespace

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHopNames.begin(),
    kHopByHopNames.end(),
    [aName](std::string_view aKnown) {
      return boost::beast::iequals(
        boost::beast::string_view(aName.data(), aName.size()),
        boost::beast::string_view(aKnown.data(), aKnown.size()));
    });
}

void
CopyEndToEndFields(const Fields& aFrom, Fields& aTo)
{
  const std::string_view listed = ValueOf(aFrom, "Connection");
  for (const auto& field : aFrom) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    const bool isListed =
      http::token_list(boost::beast::string_view(listed.data(), listed.size()))
        .exists(field.name_string());
    if (IsHopByHop(name) || isListed) {
      continue;
    }
    aTo.insert(field.name_string(), field.value());
  }
}

std::string
Serialize(const Request& aRequest)
{
  std::string bytes;
  bytes.reserve(512 + aRequest.body().size());
  fmt::format_to(std::back_inserter(bytes),
                 "{} {} HTTP/1.1\r\n",
                 std::string_view(aRequest.method_string().data(),
                                  aRequest.method_string().size()),
                 TargetOf(aRequest));
  for (const auto& field : aRequest) {
    bytes.append(field.name_string().data(), field.name_string().size());
    bytes.append(": ");
    bytes.append(field.value().data(), field.value().size());
    bytes.append("\r\n");
  }
  bytes.append("\r\n");
  bytes.append(aRequest.body());
  return bytes;
}

Response
MakeResponse(unsigned aStatus, std::string aBody, std::string_view aContentType)
{
  Response response;
  response.version(11);
  response.result(aStatus);
  if (!aBody.empty()) {
    response.set(http::field::content_type,
                 { aContentType.data(), aContentType.size() });
  }
  response.body() = std::move(aBody);
  return response;
}

std::string
MakeChunk(std::string_view aBytes)
{
  std::string chunk = fmt::format("{:x}\r\n", aBytes.size());
  chunk.append(aBytes);
  chunk.append("\r\n");
  return chunk;
}

} // namespace pumiceturn::httpstream
