#include "LibSettings/YamlReader.h"

#include "LibSettings/EnumName.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <yaml-cpp/yaml.h>

#include <cassert>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <system_error>

namespace pumiceturn::settings {

namespace {

using base::ResultCode;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

/// yaml-cpp's tag of a scalar without quotes.
constexpr std::string_view kPlainTag = "?";

Position
PositionOf(const YAML::Mark& aMark)
{
  return aMark.is_null() ? Position{ 1, 1 }
                         : Position{ aMark.line + 1, aMark.column + 1 };
}

/// Walks a YAML tree beside the message's descriptor.
class Reader
{
public:
  explicit Reader(YamlReading& aReading)
    : reading_(aReading)
  {
  }

  void ReadMessage(const YAML::Node& aNode,
                   const std::string& aPath,
                   Message& aMessage);

private:
  void ReadEntry(const YAML::Node& aKey,
                 const YAML::Node& aValue,
                 const std::string& aPath,
                 std::set<std::string>& aSeen,
                 Message& aMessage);
  void ReadField(const YAML::Node& aNode,
                 const std::string& aPath,
                 const FieldDescriptor& aField,
                 Message& aMessage);
  void ReadSequence(const YAML::Node& aNode,
                    const std::string& aPath,
                    const FieldDescriptor& aField,
                    Message& aMessage);
  void ReadValue(const YAML::Node& aNode,
                 const std::string& aPath,
                 const FieldDescriptor& aField,
                 Message& aMessage);
  void ReadNumberOrBool(const YAML::Node& aNode,
                        const std::string& aPath,
                        const FieldDescriptor& aField,
                        Message& aMessage);
  void ReadEnum(const YAML::Node& aNode,
                const std::string& aPath,
                const FieldDescriptor& aField,
                Message& aMessage);
  void ReadBool(const YAML::Node& aNode,
                const std::string& aPath,
                const FieldDescriptor& aField,
                Message& aMessage);
  template<typename Number>
  std::optional<Number> ReadNumber(const YAML::Node& aNode,
                                   const std::string& aPath,
                                   std::string_view aTypeName);
  void Report(const YAML::Node& aNode,
              ResultCode aCode,
              const std::string& aPath,
              std::string aDetail);

  YamlReading& reading_;
};

void
Reader::Report(const YAML::Node& aNode,
               ResultCode aCode,
               const std::string& aPath,
               std::string aDetail)
{
  reading_.problems_.push_back(
    { aCode, aPath, std::move(aDetail), PositionOf(aNode.Mark()) });
}

void
Reader::ReadMessage(const YAML::Node& aNode,
                    const std::string& aPath,
                    Message& aMessage)
{
  if (!aNode.IsMap()) {
    Report(aNode, ResultCode::WrongType, aPath, "expects keys and values");
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : aNode) {
    ReadEntry(entry.first, entry.second, aPath, seen, aMessage);
  }
}

void
Reader::ReadEntry(const YAML::Node& aKey,
                  const YAML::Node& aValue,
                  const std::string& aPath,
                  std::set<std::string>& aSeen,
                  Message& aMessage)
{
  if (!aKey.IsScalar()) {
    Report(aKey, ResultCode::WrongType, aPath, "a key must be a word");
    return;
  }
  const std::string& key = aKey.Scalar();
  const std::string path = aPath.empty() ? key : aPath + "." + key;
  if (!aSeen.insert(key).second) {
    Report(aKey, ResultCode::DuplicateName, path, "the key is given twice");
    return;
  }
  const FieldDescriptor* field = aMessage.GetDescriptor()->FindFieldByName(key);
  if (field == nullptr) {
    Report(aKey, ResultCode::UnknownKey, path, "no such key");
    return;
  }
  reading_.positions_[path] = PositionOf(aKey.Mark());
  ReadField(aValue, path, *field, aMessage);
}

void
Reader::ReadField(const YAML::Node& aNode,
                  const std::string& aPath,
                  const FieldDescriptor& aField,
                  Message& aMessage)
{
  if (aField.is_repeated()) {
    ReadSequence(aNode, aPath, aField, aMessage);
    return;
  }
  ReadValue(aNode, aPath, aField, aMessage);
}

void
Reader::ReadSequence(const YAML::Node& aNode,
                     const std::string& aPath,
                     const FieldDescriptor& aField,
                     Message& aMessage)
{
  if (!aNode.IsSequence()) {
    Report(aNode, ResultCode::WrongType, aPath, "expects a list");
    return;
  }
  for (std::size_t index = 0; index < aNode.size(); ++index) {
    const YAML::Node element = aNode[index];
    const std::string path = fmt::format("{}[{}]", aPath, index);
    reading_.positions_[path] = PositionOf(element.Mark());
    ReadValue(element, path, aField, aMessage);
  }
}

template<typename Number>
std::optional<Number>
Reader::ReadNumber(const YAML::Node& aNode,
                   const std::string& aPath,
                   std::string_view aTypeName)
{
  const std::string& text = aNode.Scalar();
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error == std::errc::result_out_of_range) {
    Report(aNode, ResultCode::OutOfRange, aPath, text + " does not fit");
    return std::nullopt;
  }
  if (error != std::errc{} || stop != end || aNode.Tag() != kPlainTag) {
    Report(aNode,
           ResultCode::WrongType,
           aPath,
           fmt::format("expects {}, not '{}'", aTypeName, text));
    return std::nullopt;
  }
  return number;
}

void
Reader::ReadEnum(const YAML::Node& aNode,
                 const std::string& aPath,
                 const FieldDescriptor& aField,
                 Message& aMessage)
{
  const EnumValueDescriptor* value =
    FindEnumValue(*aField.enum_type(), aNode.Scalar());
  if (value == nullptr) {
    Report(aNode,
           ResultCode::WrongType,
           aPath,
           fmt::format("expects one of {}, not '{}'",
                       ListEnumValues(*aField.enum_type()),
                       aNode.Scalar()));
    return;
  }
  const Reflection& reflection = *aMessage.GetReflection();
  if (aField.is_repeated()) {
    reflection.AddEnum(&aMessage, &aField, value);
  } else {
    reflection.SetEnum(&aMessage, &aField, value);
  }
}

void
Reader::ReadBool(const YAML::Node& aNode,
                 const std::string& aPath,
                 const FieldDescriptor& aField,
                 Message& aMessage)
{
  const std::string& text = aNode.Scalar();
  if (aNode.Tag() != kPlainTag || (text != "true" && text != "false")) {
    Report(aNode, ResultCode::WrongType, aPath, "expects true or false");
    return;
  }
  aMessage.GetReflection()->SetBool(&aMessage, &aField, text == "true");
}

void
Reader::ReadValue(const YAML::Node& aNode,
                  const std::string& aPath,
                  const FieldDescriptor& aField,
                  Message& aMessage)
{
  const Reflection& reflection = *aMessage.GetReflection();
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    ReadMessage(aNode,
                aPath,
                aField.is_repeated()
                  ? *reflection.AddMessage(&aMessage, &aField)
                  : *reflection.MutableMessage(&aMessage, &aField));
    return;
  }
  if (!aNode.IsScalar()) {
    Report(aNode, ResultCode::WrongType, aPath, "expects a single value");
    return;
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    ReadEnum(aNode, aPath, aField, aMessage);
    return;
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    if (aField.is_repeated()) {
      reflection.AddString(&aMessage, &aField, aNode.Scalar());
    } else {
      reflection.SetString(&aMessage, &aField, aNode.Scalar());
    }
    return;
  }
  ReadNumberOrBool(aNode, aPath, aField, aMessage);
}

void
Reader::ReadNumberOrBool(const YAML::Node& aNode,
                         const std::string& aPath,
                         const FieldDescriptor& aField,
                         Message& aMessage)
{
  const Reflection& reflection = *aMessage.GetReflection();
  // FIXME: Lists of whole numbers, once the schema has one.
  assert(!aField.is_repeated() ||
         aField.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE);
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      ReadBool(aNode, aPath, aField, aMessage);
      return;
    case FieldDescriptor::CPPTYPE_UINT32:
      if (auto value =
            ReadNumber<std::uint32_t>(aNode, aPath, "a whole number")) {
        reflection.SetUInt32(&aMessage, &aField, *value);
      }
      return;
    case FieldDescriptor::CPPTYPE_UINT64:
      if (auto value =
            ReadNumber<std::uint64_t>(aNode, aPath, "a whole number")) {
        reflection.SetUInt64(&aMessage, &aField, *value);
      }
      return;
    case FieldDescriptor::CPPTYPE_INT64:
      if (auto value =
            ReadNumber<std::int64_t>(aNode, aPath, "a whole number")) {
        reflection.SetInt64(&aMessage, &aField, *value);
      }
      return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      if (auto value = ReadNumber<double>(aNode, aPath, "a number")) {
        if (aField.is_repeated()) {
          reflection.AddDouble(&aMessage, &aField, *value);
        } else {
          reflection.SetDouble(&aMessage, &aField, *value);
        }
      }
      return;
    default:
      Report(aNode, ResultCode::Internal, aPath, "type without a reader");
      return;
  }
}

} // namespace

YamlReading
ReadYaml(std::string_view aText, Message& aMessage)
{
  YamlReading reading;
  aMessage.Clear();
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(aText));
    if (documents.size() != 1 || documents.front().IsNull()) {
      reading.problems_.push_back({ ResultCode::MalformedYaml,
                                    "",
                                    "expects one document with content",
                                    { 1, 1 } });
      return reading;
    }
    reading.positions_[""] = PositionOf(documents.front().Mark());
    Reader(reading).ReadMessage(documents.front(), "", aMessage);
  } catch (const YAML::Exception& exception) {
    reading.problems_.push_back({ ResultCode::MalformedYaml,
                                  "",
                                  exception.msg,
                                  PositionOf(exception.mark) });
  }
  return reading;
}

base::Result<std::string>
ReadFileText(const std::string& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::ostringstream text;
  // A folder opens, but gives nothing to read.
  if (!stream || !(text << stream.rdbuf())) {
    const int error = errno;
    return base::Fail(
      ResultCode::UnreadableFile,
      fmt::format("{}: {}", aPath, std::generic_category().message(error)));
  }
  return text.str();
}

base::Result<void>
ParseYamlText(std::string_view aText, std::string_view aName, Message& aMessage)
{
  return ToResult(aName, ReadYaml(aText, aMessage).problems_);
}

base::Result<void>
ParseYamlFile(const std::string& aPath, Message& aMessage)
{
  BOOST_LEAF_AUTO(text, ReadFileText(aPath));
  return ParseYamlText(text, aPath, aMessage);
}

} // namespace pumiceturn::settings
