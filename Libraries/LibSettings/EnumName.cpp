#include "LibSettings/EnumName.h"

#include <cctype>
#include <string_view>

namespace pumiceturn::settings {

using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;

namespace {
constexpr std::string_view kUnspecified = "UNSPECIFIED";
}

std::string
NameInYaml(const EnumValueDescriptor& aValue)
{
  // Each enum's value 0 is its prefix and UNSPECIFIED.
  const std::string& zero = aValue.type()->value(0)->name();
  const std::size_t prefix = zero.size() - kUnspecified.size();
  std::string name = aValue.name().substr(prefix);
  for (char& letter : name) {
    letter =
      letter == '_'
        ? '-'
        : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

const EnumValueDescriptor*
FindEnumValue(const EnumDescriptor& aType, std::string aText)
{
  for (char& letter : aText) {
    letter = letter == '_' ? '-' : letter;
  }
  for (int index = 1; index < aType.value_count(); ++index) {
    if (NameInYaml(*aType.value(index)) == aText) {
      return aType.value(index);
    }
  }
  return nullptr;
}

std::string
ListEnumValues(const EnumDescriptor& aType)
{
  std::string list;
  for (int index = 1; index < aType.value_count(); ++index) {
    list += (index == 1 ? "" : ", ") + NameInYaml(*aType.value(index));
  }
  return list;
}

} // namespace pumiceturn::settings
