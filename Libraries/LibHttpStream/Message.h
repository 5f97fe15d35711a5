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

/// @return the value of a header field; empty if the field is missing.
inline std::string_view
ValueOf(const Fields& aFields, std::string_view aName)
{
  const auto found = aFields.find({ aName.data(), aName.size() });
  if (found == aFields.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

/// @return the path and query of a request.
inline std::string_view
TargetOf(const Request& aRequest)
{
  return { aRequest.target().data(), aRequest.target().size() };
}

/// @return the host name of a request, without a port.
inline std::string_view
HostNameOf(const Request& aRequest)
{
  const std::string_view host = ValueOf(aRequest, "Host");
  return host.substr(0, host.rfind(':'));
}

/// @return whether a response is a stream of events.
inline bool
IsEventStream(const ResponseHead& aHead)
{
  return aHead.result() == boost::beast::http::status::ok &&
         ValueOf(aHead, "Content-Type").starts_with("text/event-stream");
}

/// @return whether a header field must not be forwarded: hop-by-hop fields, and
/// Content-Length and Expect, which this library handles itself.
bool
IsHopByHop(std::string_view aName);

/// Copies all header fields except hop-by-hop ones and those listed in the
/// Connection field.
void
CopyEndToEndFields(const Fields& aFrom, Fields& aTo);

/// @return the request in the wire format of HTTP/1.1.
std::string
Serialize(const Request& aRequest);

/// @return a complete response. Content-Type is set only if the body isn't
/// empty.
Response
MakeResponse(unsigned aStatus,
             std::string aBody,
             std::string_view aContentType = "application/json");

/// @return aBytes framed as one chunk of a chunked body.
std::string
MakeChunk(std::string_view aBytes);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace pumiceturn::httpstream
