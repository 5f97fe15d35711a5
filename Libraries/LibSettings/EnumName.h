#pragma once

#include <google/protobuf/descriptor.h>

#include <string>

namespace pumiceturn::settings {

/// @return an enum value as YAML has it: `PRIORITY_ONLINE` is `online`,
/// `IDEMPOTENCY_NON_IDEMPOTENT` is `non-idempotent`.
std::string
NameInYaml(const google::protobuf::EnumValueDescriptor& aValue);

/// Finds a value by its name in YAML, with '-' or '_' between words.
/// @return nullptr for an unknown name; the value 0 has none.
const google::protobuf::EnumValueDescriptor*
FindEnumValue(const google::protobuf::EnumDescriptor& aType, std::string aName);

/// @return the names of all values, separated by commas.
std::string
ListEnumValues(const google::protobuf::EnumDescriptor& aType);

} // namespace pumiceturn::settings
