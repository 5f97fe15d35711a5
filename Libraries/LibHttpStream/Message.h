#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace pumiceturn::httpstream {

using Fields = boost::beast::http::fields;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using ResponseHead =
  boost::beast::http::response_header<boost::beast::http::fields>;

/// @return the value of a field, empty where there is none.
inline std::string_view
ValueOf(const Fields& aFields, std::string_view aName)
{
  const auto found = aFields.find({ aName.data(), aName.size() });
  if (found == aFields.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

/// @return path and query of a request.
inline std::string_view
TargetOf(const Request& aRequest)
{
  return { aRequest.target().data(), aRequest.target().size() };
}

/// @return whether a field concerns only one connection and is not forwarded.
bool
IsHopByHop(std::string_view aName);

/// Copies the fields that are forwarded from one side to the other.
void
CopyEndToEndFields(const Fields& aFrom, Fields& aTo);

/// @return the request as bytes, ready to be sent.
std::string
Serialize(const Request& aRequest);

/// @return a whole answer with a body of known length.
Response
MakeResponse(unsigned aStatus,
             std::string aBody,
             std::string_view aContentType = "application/json");

/// @return one chunk of a chunked body.
std::string
MakeChunk(std::string_view aBytes);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace pumiceturn::httpstream
