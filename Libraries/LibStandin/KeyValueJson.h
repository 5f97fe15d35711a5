#pragma once

#include "LibStandin/KeyValueStore.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// The key-value service's messages in the JSON of its published gateway:
/// bytes in base64, 64-bit numbers as text, zero and empty fields left out.
/// Requests may name fields in snake or camel case. Parse functions throw
/// nlohmann::json::exception or std::invalid_argument.
namespace pumiceturn::standin {

/// @return a field under either of its names, or null.
const nlohmann::json&
FieldOf(const nlohmann::json& aObject, const char* aSnakeName);

/// @return a number given as text or as a number; 0 if missing.
std::uint64_t
NumberField(const nlohmann::json& aObject, const char* aSnakeName);

/// @return the bytes of a base64 field; empty if missing.
std::string
BytesField(const nlohmann::json& aObject, const char* aSnakeName);

bool
FlagField(const nlohmann::json& aObject, const char* aSnakeName);

RangeOperation
ParseRange(const nlohmann::json& aRequest);
PutOperation
ParsePut(const nlohmann::json& aRequest);
DeleteOperation
ParseDelete(const nlohmann::json& aRequest);
Transaction
ParseTransaction(const nlohmann::json& aRequest);

nlohmann::json
ToJson(const KeyValueEntry& aEntry);

/// @return the reply's own fields, without the header.
nlohmann::json
ToJson(const OperationReply& aReply);

/// @param aHeader Put into the reply and into each operation's.
nlohmann::json
ToJson(const TransactionReply& aReply, const nlohmann::json& aHeader);

nlohmann::json
ToJson(const StoreEvent& aEvent);

} // namespace pumiceturn::standin
