#include "LibSettings/NumberRule.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <cassert>

namespace pumiceturn::settings {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

const FieldDescriptor*
FindField(const Message& aMessage, std::string_view aName)
{
  const FieldDescriptor* field =
    aMessage.GetDescriptor()->FindFieldByName(std::string(aName));
  assert(field != nullptr && "a rule names a field that the schema has");
  return field;
}

double
GetNumber(const Message& aMessage, std::string_view aPath)
{
  const std::size_t dot = aPath.find('.');
  const FieldDescriptor* field = FindField(aMessage, aPath.substr(0, dot));
  const auto* reflection = aMessage.GetReflection();
  if (dot != std::string_view::npos) {
    return GetNumber(reflection->GetMessage(aMessage, field),
                     aPath.substr(dot + 1));
  }
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflection->GetUInt32(aMessage, field);
    case FieldDescriptor::CPPTYPE_UINT64:
      return static_cast<double>(reflection->GetUInt64(aMessage, field));
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return reflection->GetDouble(aMessage, field);
    default:
      assert(false && "a rule names a number");
      return 0;
  }
}

void
SetNumber(Message& aMessage, std::string_view aPath, double aValue)
{
  const std::size_t dot = aPath.find('.');
  const FieldDescriptor* field = FindField(aMessage, aPath.substr(0, dot));
  const auto* reflection = aMessage.GetReflection();
  if (dot != std::string_view::npos) {
    SetNumber(*reflection->MutableMessage(&aMessage, field),
              aPath.substr(dot + 1),
              aValue);
    return;
  }
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      reflection->SetUInt32(
        &aMessage, field, static_cast<std::uint32_t>(aValue));
      return;
    case FieldDescriptor::CPPTYPE_UINT64:
      reflection->SetUInt64(
        &aMessage, field, static_cast<std::uint64_t>(aValue));
      return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      reflection->SetDouble(&aMessage, field, aValue);
      return;
    default:
      assert(false && "a rule names a number");
  }
}

} // namespace

void
SetDefaults(std::span<const NumberRule> aRules,
            const PositionTable& aGiven,
            Message& aMessage)
{
  for (const NumberRule& rule : aRules) {
    if (!aGiven.contains(rule.field_) &&
        GetNumber(aMessage, rule.field_) == 0) {
      SetNumber(aMessage, rule.field_, rule.default_);
    }
  }
}

void
CheckNumbers(std::span<const NumberRule> aRules,
             const Message& aMessage,
             std::vector<Problem>& aProblems)
{
  for (const NumberRule& rule : aRules) {
    const double value = GetNumber(aMessage, rule.field_);
    // Not-a-number fails every comparison, so the test asks for what is right.
    if (value >= rule.least_ && value <= rule.most_) {
      continue;
    }
    aProblems.push_back(
      { base::ResultCode::OutOfRange,
        std::string(rule.field_),
        fmt::format("{} is not from {} to {}", value, rule.least_, rule.most_),
        {} });
  }
}

} // namespace pumiceturn::settings
