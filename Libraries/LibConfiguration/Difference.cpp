#include "LibConfiguration/Difference.h"

#include <fmt/format.h>
#include <google/protobuf/text_format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string_view>

namespace pumiceturn::configuration {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using google::protobuf::TextFormat;
using google::protobuf::util::MessageDifferencer;

std::string
ValueText(const Message& aMessage, const FieldDescriptor& aField, int aIndex)
{
  std::string text;
  TextFormat::PrintFieldValueToString(aMessage, &aField, aIndex, &text);
  return text;
}

std::string
FieldText(const Message& aMessage, const FieldDescriptor& aField)
{
  constexpr int kSingular = -1;
  if (!aField.is_repeated()) {
    return ValueText(aMessage, aField, kSingular);
  }
  std::string list;
  const int size = aMessage.GetReflection()->FieldSize(aMessage, &aField);
  for (int i = 0; i < size; ++i) {
    list += (i == 0 ? "" : ", ") + ValueText(aMessage, aField, i);
  }
  return "[" + list + "]";
}

/// What an entry of a list is called in the lines.
struct ListNames
{
  const char* field_;
  const char* label_;
};

constexpr ListNames kListNames[] = {
  { "services", "service" },
  { "partners", "partner" },
  { "kinds", "kind" },
  { "endpoints", "endpoint" },
};

std::string
LabelOf(const FieldDescriptor& aField)
{
  for (const ListNames& names : kListNames) {
    if (aField.name() == names.field_) {
      return names.label_;
    }
  }
  return aField.name();
}

using NamedEntries = std::map<std::string, const Message*>;

NamedEntries
EntriesByName(const Message& aMessage, const FieldDescriptor& aField)
{
  const FieldDescriptor* name = aField.message_type()->FindFieldByName("name");
  NamedEntries entries;
  const Reflection& reflection = *aMessage.GetReflection();
  for (int i = 0; i < reflection.FieldSize(aMessage, &aField); ++i) {
    const Message& entry = reflection.GetRepeatedMessage(aMessage, &aField, i);
    entries.emplace(entry.GetReflection()->GetString(entry, name), &entry);
  }
  return entries;
}

/// Collects the lines of one comparison.
class DifferenceWriter
{
public:
  void Compare(const Message& aOld,
               const Message& aNew,
               const std::string& aWhere)
  {
    const auto& descriptor = *aOld.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) {
      const FieldDescriptor& field = *descriptor.field(i);
      if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        CompareLists(aOld, aNew, field, aWhere);
      } else {
        CompareValues(aOld, aNew, field, aWhere);
      }
    }
  }

  void AddLine(std::string_view aSign, std::string_view aText)
  {
    fmt::format_to(std::back_inserter(text_), "{} {}\n", aSign, aText);
  }

  [[nodiscard]] const std::string& Text() const { return text_; }

private:
  void CompareValues(const Message& aOld,
                     const Message& aNew,
                     const FieldDescriptor& aField,
                     const std::string& aWhere)
  {
    const std::string before = FieldText(aOld, aField);
    const std::string after = FieldText(aNew, aField);
    if (before != after) {
      AddLine(
        "~",
        fmt::format("{}: {}: {} -> {}", aWhere, aField.name(), before, after));
    }
  }

  void CompareLists(const Message& aOld,
                    const Message& aNew,
                    const FieldDescriptor& aField,
                    const std::string& aWhere)
  {
    const NamedEntries before = EntriesByName(aOld, aField);
    const NamedEntries after = EntriesByName(aNew, aField);
    const std::string label = LabelOf(aField);
    const std::string of = aWhere.empty() ? "" : " of " + aWhere;
    for (const auto& [name, entry] : before) {
      if (!after.contains(name)) {
        AddLine("-", fmt::format("{} {}{}", label, name, of));
      }
    }
    for (const auto& [name, entry] : after) {
      const auto old = before.find(name);
      const std::string title = fmt::format("{} {}{}", label, name, of);
      if (old == before.end()) {
        AddLine("+", title);
      } else if (!MessageDifferencer::Equals(*old->second, *entry)) {
        Compare(*old->second, *entry, title);
      }
    }
  }

  std::string text_;
};

void
CompareDrained(const declarations::Configuration& aOld,
               const declarations::Configuration& aNew,
               DifferenceWriter& aWriter)
{
  const std::set<std::string> before(aOld.drained_hosts().begin(),
                                     aOld.drained_hosts().end());
  const std::set<std::string> after(aNew.drained_hosts().begin(),
                                    aNew.drained_hosts().end());
  for (const std::string& host : before) {
    if (!after.contains(host)) {
      aWriter.AddLine("-", "drained host " + host);
    }
  }
  for (const std::string& host : after) {
    if (!before.contains(host)) {
      aWriter.AddLine("+", "drained host " + host);
    }
  }
}

} // namespace

std::string
DescribeDifference(const declarations::Declarations& aOld,
                   const declarations::Declarations& aNew)
{
  DifferenceWriter writer;
  writer.Compare(aOld, aNew, {});
  return writer.Text();
}

std::string
DescribeDifference(const declarations::Configuration& aOld,
                   const declarations::Configuration& aNew)
{
  DifferenceWriter writer;
  writer.Compare(aOld.declarations(), aNew.declarations(), {});
  CompareDrained(aOld, aNew, writer);
  return writer.Text();
}

} // namespace pumiceturn::configuration
