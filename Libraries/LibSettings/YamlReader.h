#pragma once

#include "LibBase/Result.h"
#include "LibSettings/Problem.h"

#include <google/protobuf/message.h>

#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::settings {

/// What a reading of YAML found.
struct YamlReading
{
  PositionTable positions_;
  std::vector<Problem> problems_;
};

/// Fills a protobuf message from one YAML document. Keys are the field names of
/// the schema. An enum value is written as its lower-case name without the
/// type's prefix, with '-' or '_' between words: `priority: online`.
/// @param aText    The document.
/// @param aMessage Receives the values; what it held before is cleared.
/// @return every unknown key (100), wrong type (101), number that does not fit
/// (102), duplicate key (103) or syntax error (105), each with its position.
YamlReading
ReadYaml(std::string_view aText, google::protobuf::Message& aMessage);

/// @return the file's content, or UnreadableFile with the system's reason.
base::Result<std::string>
ReadFileText(const std::string& aPath);

/// ReadYaml() as a Result; all problems are in the failure's detail.
/// @param aName Name of the text in messages, usually a file name.
base::Result<void>
ParseYamlText(std::string_view aText,
              std::string_view aName,
              google::protobuf::Message& aMessage);

/// ReadYaml() of a file as a Result; all problems are in the failure's detail.
base::Result<void>
ParseYamlFile(const std::string& aPath, google::protobuf::Message& aMessage);

} // namespace pumiceturn::settings
