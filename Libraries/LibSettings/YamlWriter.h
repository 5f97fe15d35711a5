#pragma once

#include <google/protobuf/message.h>

#include <string>

namespace pumiceturn::settings {

/// @return the message as YAML that ReadYaml() reads back to the same message.
/// Fields without a value are left out.
std::string
WriteYaml(const google::protobuf::Message& aMessage);

} // namespace pumiceturn::settings
