#include "LibPlatform/Gateway.h"

#include "LibBase/Base64.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace pumiceturn::platform::gateway {

namespace {

using Json = nlohmann::json;
using base::Fail;
using base::Result;
using base::ResultCode;

/// Reads a 64-bit number, which the gateway writes as text, and leaves out
/// where it is 0.
std::uint64_t
NumberOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_unsigned()) {
    return found->get<std::uint64_t>();
  }
  const auto& text = found->get_ref<const std::string&>();
  std::uint64_t number = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    throw Json::other_error::create(501, "not a number: " + text, &aObject);
  }
  return number;
}

std::string
BytesOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return {};
  }
  auto bytes = base::DecodeBase64(found->get_ref<const std::string&>());
  if (!bytes) {
    throw Json::other_error::create(501, "not base64", &aObject);
  }
  return *std::move(bytes);
}

KeyValue
ToKeyValue(const Json& aObject)
{
  return KeyValue{ BytesOf(aObject, "key"),
                   BytesOf(aObject, "value"),
                   NumberOf(aObject, "mod_revision") };
}

void
AppendEntries(const Json& aReply, std::vector<KeyValue>& aEntries)
{
  if (!aReply.contains("kvs")) {
    return;
  }
  for (const Json& entry : aReply.at("kvs")) {
    aEntries.push_back(ToKeyValue(entry));
  }
}

std::uint64_t
RevisionOf(const Json& aReply)
{
  return NumberOf(aReply.at("header"), "revision");
}

Json
ToJson(const KeyRange& aRange)
{
  Json request{ { "key", base::EncodeBase64(aRange.first_) } };
  if (!aRange.end_.empty()) {
    request["range_end"] = base::EncodeBase64(aRange.end_);
  }
  return request;
}

Json
CompareRevision(std::string_view aKey, std::uint64_t aRevision)
{
  return Json{ { "key", base::EncodeBase64(aKey) },
               { "target", "MOD" },
               { "result", "EQUAL" },
               { "mod_revision", std::to_string(aRevision) } };
}

WatchReply
ToWatchReply(const Json& aResult)
{
  WatchReply reply;
  reply.created_ = aResult.value("created", false);
  reply.cancelled_ = aResult.value("canceled", false);
  reply.revision_ = RevisionOf(aResult);
  reply.compactedRevision_ = NumberOf(aResult, "compact_revision");
  if (!aResult.contains("events")) {
    return reply;
  }
  for (const Json& event : aResult.at("events")) {
    const bool deleted = event.value("type", "PUT") == "DELETE";
    reply.events_.push_back(WatchEvent{ ToKeyValue(event.at("kv")), deleted });
  }
  return reply;
}

/// Runs a decoder on a reply, and turns what the JSON library throws into a
/// Failure.
template<typename Decoder>
auto
Decode(std::string_view aReply, Decoder aDecoder)
  -> Result<decltype(aDecoder(Json{}))>
{
  try {
    return aDecoder(Json::parse(aReply));
  } catch (const Json::exception& error) {
    return Fail(ResultCode::MalformedMessage, error.what());
  }
}

} // namespace

KeyRange
RangeOfPrefix(std::string_view aPrefix)
{
  constexpr char kHighestByte = '\xff';
  KeyRange range{ std::string(aPrefix), std::string(aPrefix) };
  while (!range.end_.empty() && range.end_.back() == kHighestByte) {
    range.end_.pop_back();
  }
  if (range.end_.empty()) {
    range.end_ = std::string(1, '\0'); // To the last key of all.
    return range;
  }
  ++range.end_.back();
  return range;
}

std::string
EncodeRange(const KeyRange& aRange)
{
  return ToJson(aRange).dump();
}

std::string
EncodeKeyRange(const KeyRange& aRange)
{
  Json request = ToJson(aRange);
  request["keys_only"] = true;
  return request.dump();
}

Result<RangeReply>
DecodeRange(std::string_view aReply)
{
  return Decode(aReply, [](const Json& aJson) {
    RangeReply reply;
    reply.revision_ = RevisionOf(aJson);
    AppendEntries(aJson, reply.entries_);
    return reply;
  });
}

std::string
EncodeSwaps(const std::vector<Swap>& aSwaps)
{
  Json compare = Json::array();
  Json success = Json::array();
  for (const Swap& swap : aSwaps) {
    if (swap.expectedRevision_ != kAnyRevision) {
      compare.push_back(CompareRevision(swap.key_, swap.expectedRevision_));
    }
    success.push_back(
      Json{ { "request_put",
              { { "key", base::EncodeBase64(swap.key_) },
                { "value", base::EncodeBase64(swap.value_) } } } });
  }
  return Json{
    { "compare", std::move(compare) }, { "success", std::move(success) }
  }.dump();
}

std::string
EncodeDeletes(const std::vector<KeyValue>& aEntries)
{
  Json compare = Json::array();
  Json success = Json::array();
  for (const KeyValue& entry : aEntries) {
    compare.push_back(CompareRevision(entry.key_, entry.modRevision_));
    success.push_back(
      Json{ { "request_delete_range",
              { { "key", base::EncodeBase64(entry.key_) } } } });
  }
  return Json{
    { "compare", std::move(compare) }, { "success", std::move(success) }
  }.dump();
}

std::string
EncodeReads(const std::vector<std::string>& aKeys)
{
  Json request{ { "success", Json::array() } };
  for (const std::string& key : aKeys) {
    request["success"].push_back(
      Json{ { "request_range", { { "key", base::EncodeBase64(key) } } } });
  }
  return request.dump();
}

Result<TransactionReply>
DecodeTransaction(std::string_view aReply)
{
  return Decode(aReply, [](const Json& aJson) {
    TransactionReply reply;
    reply.succeeded_ = aJson.value("succeeded", false);
    reply.revision_ = RevisionOf(aJson);
    for (const Json& response : aJson.value("responses", Json::array())) {
      if (response.contains("response_range")) {
        AppendEntries(response.at("response_range"), reply.entries_);
      }
    }
    return reply;
  });
}

std::string
EncodeWatch(const KeyRange& aRange, std::uint64_t aStartRevision)
{
  Json request = ToJson(aRange);
  request["start_revision"] = std::to_string(aStartRevision);
  return Json{ { "create_request", std::move(request) } }.dump();
}

Result<WatchReply>
DecodeWatch(std::string_view aLine)
{
  return Decode(
    aLine, [](const Json& aJson) { return ToWatchReply(aJson.at("result")); });
}

} // namespace pumiceturn::platform::gateway
