#include "LibSettings/YamlWriter.h"

#include "LibSettings/EnumName.h"

#include <google/protobuf/descriptor.h>
#include <yaml-cpp/yaml.h>

#include <cassert>
#include <vector>

namespace pumiceturn::settings {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

void
WriteMessage(const Message& aMessage, YAML::Emitter& aEmitter);

/// @param aIndex Position in a list; ignored for a single value.
void
WriteText(const Message& aMessage,
          const FieldDescriptor& aField,
          int aIndex,
          YAML::Emitter& aEmitter)
{
  const auto* reflection = aMessage.GetReflection();
  std::string scratch;
  const std::string& text =
    aField.is_repeated()
      ? reflection->GetRepeatedStringReference(
          aMessage, &aField, aIndex, &scratch)
      : reflection->GetStringReference(aMessage, &aField, &scratch);
  aEmitter << text;
}

void
WriteEnum(const Message& aMessage,
          const FieldDescriptor& aField,
          int aIndex,
          YAML::Emitter& aEmitter)
{
  const auto* reflection = aMessage.GetReflection();
  aEmitter << NameInYaml(
    aField.is_repeated()
      ? *reflection->GetRepeatedEnum(aMessage, &aField, aIndex)
      : *reflection->GetEnum(aMessage, &aField));
}

void
WriteValue(const Message& aMessage,
           const FieldDescriptor& aField,
           int aIndex,
           YAML::Emitter& aEmitter)
{
  const auto* reflection = aMessage.GetReflection();
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      WriteMessage(aField.is_repeated()
                     ? reflection->GetRepeatedMessage(aMessage, &aField, aIndex)
                     : reflection->GetMessage(aMessage, &aField),
                   aEmitter);
      return;
    case FieldDescriptor::CPPTYPE_STRING:
      WriteText(aMessage, aField, aIndex, aEmitter);
      return;
    case FieldDescriptor::CPPTYPE_ENUM:
      WriteEnum(aMessage, aField, aIndex, aEmitter);
      return;
    case FieldDescriptor::CPPTYPE_BOOL:
      aEmitter << reflection->GetBool(aMessage, &aField);
      return;
    case FieldDescriptor::CPPTYPE_UINT32:
      aEmitter << reflection->GetUInt32(aMessage, &aField);
      return;
    case FieldDescriptor::CPPTYPE_UINT64:
      aEmitter << reflection->GetUInt64(aMessage, &aField);
      return;
    case FieldDescriptor::CPPTYPE_INT64:
      aEmitter << reflection->GetInt64(aMessage, &aField);
      return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      aEmitter << (aField.is_repeated()
                     ? reflection->GetRepeatedDouble(aMessage, &aField, aIndex)
                     : reflection->GetDouble(aMessage, &aField));
      return;
    default:
      // FIXME: Other scalar types, once the schema has a field of one.
      assert(false && "type without a writer");
  }
}

void
WriteField(const Message& aMessage,
           const FieldDescriptor& aField,
           YAML::Emitter& aEmitter)
{
  aEmitter << YAML::Key << aField.name() << YAML::Value;
  if (!aField.is_repeated()) {
    WriteValue(aMessage, aField, 0, aEmitter);
    return;
  }
  const bool isShort = aField.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE;
  if (isShort) {
    aEmitter << YAML::Flow;
  }
  aEmitter << YAML::BeginSeq;
  const int size = aMessage.GetReflection()->FieldSize(aMessage, &aField);
  for (int index = 0; index < size; ++index) {
    WriteValue(aMessage, aField, index, aEmitter);
  }
  aEmitter << YAML::EndSeq;
}

void
WriteMessage(const Message& aMessage, YAML::Emitter& aEmitter)
{
  std::vector<const FieldDescriptor*> fields;
  aMessage.GetReflection()->ListFields(aMessage, &fields);
  aEmitter << YAML::BeginMap;
  for (const FieldDescriptor* field : fields) {
    WriteField(aMessage, *field, aEmitter);
  }
  aEmitter << YAML::EndMap;
}

} // namespace

std::string
WriteYaml(const Message& aMessage)
{
  YAML::Emitter emitter;
  WriteMessage(aMessage, emitter);
  return std::string(emitter.c_str(), emitter.size()) + "\n";
}

} // namespace pumiceturn::settings
