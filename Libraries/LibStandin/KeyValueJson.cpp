#include "LibStandin/KeyValueJson.h"

#include "LibBase/Base64.h"

#include <array>
#include <cctype>
#include <stdexcept>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

const json kNull = nullptr;

template<typename Enum>
struct EnumName
{
  Enum value_;
  const char* name_;
};

constexpr std::array<EnumName<CompareTarget>, 5> kTargets{ {
  { CompareTarget::Version, "VERSION" },
  { CompareTarget::CreateRevision, "CREATE" },
  { CompareTarget::ModRevision, "MOD" },
  { CompareTarget::Value, "VALUE" },
  { CompareTarget::Lease, "LEASE" },
} };

constexpr std::array<EnumName<CompareRelation>, 4> kRelations{ {
  { CompareRelation::Equal, "EQUAL" },
  { CompareRelation::Greater, "GREATER" },
  { CompareRelation::Less, "LESS" },
  { CompareRelation::NotEqual, "NOT_EQUAL" },
} };

/// @return the value that a field names; the first if it is missing.
template<typename Names>
auto
EnumField(const json& aObject, const char* aName, const Names& aNames)
{
  const json& field = FieldOf(aObject, aName);
  if (field.is_null()) {
    return aNames.front().value_;
  }
  const auto name = field.get<std::string>();
  for (const auto& entry : aNames) {
    if (name == entry.name_) {
      return entry.value_;
    }
  }
  throw std::invalid_argument(std::string(aName) + ": " + name);
}

std::string
CamelCase(const char* aSnakeName)
{
  std::string camel;
  bool raise = false;
  for (const char* letter = aSnakeName; *letter != '\0'; ++letter) {
    if (*letter == '_') {
      raise = true;
      continue;
    }
    camel += raise ? static_cast<char>(std::toupper(*letter)) : *letter;
    raise = false;
  }
  return camel;
}

void
AddNumber(json& aObject, const char* aName, std::uint64_t aNumber)
{
  if (aNumber != 0) {
    aObject[aName] = std::to_string(aNumber);
  }
}

void
AddBytes(json& aObject, const char* aName, const std::string& aBytes)
{
  if (!aBytes.empty()) {
    aObject[aName] = base::EncodeBase64(aBytes);
  }
}

KeyRange
ParseKeyRange(const json& aRequest)
{
  return { BytesField(aRequest, "key"), BytesField(aRequest, "range_end") };
}

Compare
ParseCompare(const json& aRequest)
{
  Compare compare;
  compare.target_ = EnumField(aRequest, "target", kTargets);
  compare.relation_ = EnumField(aRequest, "result", kRelations);
  compare.key_ = BytesField(aRequest, "key");
  compare.value_ = BytesField(aRequest, "value");
  for (const char* name :
       { "version", "create_revision", "mod_revision", "lease" }) {
    if (!FieldOf(aRequest, name).is_null()) {
      compare.number_ = NumberField(aRequest, name);
    }
  }
  return compare;
}

Operation
ParseOperation(const json& aRequest)
{
  if (const json& range = FieldOf(aRequest, "request_range");
      !range.is_null()) {
    return ParseRange(range);
  }
  if (const json& put = FieldOf(aRequest, "request_put"); !put.is_null()) {
    return ParsePut(put);
  }
  const json& erase = FieldOf(aRequest, "request_delete_range");
  if (!erase.is_null()) {
    return ParseDelete(erase);
  }
  throw std::invalid_argument("an operation that is not served");
}

std::vector<Operation>
ParseOperations(const json& aRequests)
{
  std::vector<Operation> operations;
  if (aRequests.is_array()) {
    for (const json& request : aRequests) {
      operations.push_back(ParseOperation(request));
    }
  }
  return operations;
}

json
ToJsonArray(const std::vector<KeyValueEntry>& aEntries)
{
  json array = json::array();
  for (const KeyValueEntry& entry : aEntries) {
    array.push_back(ToJson(entry));
  }
  return array;
}

json
ReplyFields(const RangeReply& aReply)
{
  json fields = json::object();
  AddNumber(fields, "count", aReply.count_);
  if (!aReply.entries_.empty()) {
    fields["kvs"] = ToJsonArray(aReply.entries_);
  }
  if (!aReply.entries_.empty() && aReply.entries_.size() < aReply.count_) {
    fields["more"] = true;
  }
  return fields;
}

json
ReplyFields(const PutReply& aReply)
{
  json fields = json::object();
  if (aReply.previous_) {
    fields["prev_kv"] = ToJson(*aReply.previous_);
  }
  return fields;
}

json
ReplyFields(const DeleteReply& aReply)
{
  json fields = json::object();
  AddNumber(fields, "deleted", aReply.deleted_);
  if (!aReply.previous_.empty()) {
    fields["prev_kvs"] = ToJsonArray(aReply.previous_);
  }
  return fields;
}

} // namespace

const json&
FieldOf(const json& aObject, const char* aSnakeName)
{
  for (const std::string& name :
       { std::string(aSnakeName), CamelCase(aSnakeName) }) {
    const auto found = aObject.find(name);
    if (found != aObject.end()) {
      return *found;
    }
  }
  return kNull;
}

std::uint64_t
NumberField(const json& aObject, const char* aSnakeName)
{
  const json& field = FieldOf(aObject, aSnakeName);
  if (field.is_null()) {
    return 0;
  }
  if (field.is_string()) {
    return std::stoull(field.get<std::string>());
  }
  return field.get<std::uint64_t>();
}

std::string
BytesField(const json& aObject, const char* aSnakeName)
{
  const json& field = FieldOf(aObject, aSnakeName);
  if (field.is_null()) {
    return {};
  }
  auto bytes = base::DecodeBase64(field.get<std::string>());
  if (!bytes) {
    throw std::invalid_argument(std::string(aSnakeName) + " is no base64");
  }
  return std::move(*bytes);
}

bool
FlagField(const json& aObject, const char* aSnakeName)
{
  const json& field = FieldOf(aObject, aSnakeName);
  return !field.is_null() && field.get<bool>();
}

RangeOperation
ParseRange(const json& aRequest)
{
  RangeOperation operation;
  operation.range_ = ParseKeyRange(aRequest);
  operation.limit_ = NumberField(aRequest, "limit");
  operation.keysOnly_ = FlagField(aRequest, "keys_only");
  operation.countOnly_ = FlagField(aRequest, "count_only");
  if (NumberField(aRequest, "revision") != 0) {
    throw std::invalid_argument("reads of old revisions are not served");
  }
  return operation;
}

PutOperation
ParsePut(const json& aRequest)
{
  PutOperation operation;
  operation.key_ = BytesField(aRequest, "key");
  operation.value_ = BytesField(aRequest, "value");
  operation.lease_ = NumberField(aRequest, "lease");
  operation.wantsPrevious_ = FlagField(aRequest, "prev_kv");
  return operation;
}

DeleteOperation
ParseDelete(const json& aRequest)
{
  return { ParseKeyRange(aRequest), FlagField(aRequest, "prev_kv") };
}

Transaction
ParseTransaction(const json& aRequest)
{
  Transaction transaction;
  if (const json& compares = FieldOf(aRequest, "compare");
      compares.is_array()) {
    for (const json& compare : compares) {
      transaction.compares_.push_back(ParseCompare(compare));
    }
  }
  transaction.success_ = ParseOperations(FieldOf(aRequest, "success"));
  transaction.failure_ = ParseOperations(FieldOf(aRequest, "failure"));
  return transaction;
}

json
ToJson(const KeyValueEntry& aEntry)
{
  json entry = json::object();
  AddBytes(entry, "key", aEntry.key_);
  AddNumber(entry, "create_revision", aEntry.createRevision_);
  AddNumber(entry, "mod_revision", aEntry.modRevision_);
  AddNumber(entry, "version", aEntry.version_);
  AddBytes(entry, "value", aEntry.value_);
  AddNumber(entry, "lease", aEntry.lease_);
  return entry;
}

json
ToJson(const OperationReply& aReply)
{
  return std::visit([](const auto& aOne) { return ReplyFields(aOne); }, aReply);
}

json
ToJson(const TransactionReply& aReply, const json& aHeader)
{
  constexpr std::array<const char*, 3> kNames{ "response_range",
                                               "response_put",
                                               "response_delete_range" };
  json reply{ { "header", aHeader } };
  if (aReply.succeeded_) {
    reply["succeeded"] = true;
  }
  for (const OperationReply& one : aReply.replies_) {
    json fields = ToJson(one);
    fields["header"] = aHeader;
    reply["responses"].push_back(
      { { kNames.at(one.index()), std::move(fields) } });
  }
  return reply;
}

json
ToJson(const StoreEvent& aEvent)
{
  json event{ { "kv", ToJson(aEvent.entry_) } };
  if (aEvent.deleted_) {
    event["type"] = "DELETE";
  }
  return event;
}

} // namespace pumiceturn::standin
