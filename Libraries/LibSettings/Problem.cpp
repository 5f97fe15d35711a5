#include "LibSettings/Problem.h"

#include <fmt/format.h>

namespace pumiceturn::settings {

namespace {

/// @return the path without its last step, `a.b[1]` then `a.b` then `a`.
std::string_view
ParentOf(std::string_view aField)
{
  const std::size_t cut = aField.find_last_of(".[");
  return cut == std::string_view::npos ? std::string_view{}
                                       : aField.substr(0, cut);
}

Position
PositionOf(const PositionTable& aPositions, std::string_view aField)
{
  for (std::string_view field = aField;; field = ParentOf(field)) {
    const auto found = aPositions.find(field);
    if (found != aPositions.end()) {
      return found->second;
    }
    if (field.empty()) {
      return {};
    }
  }
}

std::string
Describe(std::string_view aName, const Problem& aProblem)
{
  std::string line;
  if (!aName.empty()) {
    line = fmt::format("{}:{}:{}: ",
                       aName,
                       aProblem.position_.line_,
                       aProblem.position_.column_);
  }
  line += fmt::format(
    "{} {}: ", static_cast<int>(aProblem.code_), base::NameOf(aProblem.code_));
  if (!aProblem.field_.empty()) {
    line += aProblem.field_ + ": ";
  }
  return line + aProblem.detail_;
}

} // namespace

void
LocateProblems(const PositionTable& aPositions, std::vector<Problem>& aProblems)
{
  for (Problem& problem : aProblems) {
    if (problem.position_.line_ == 0) {
      problem.position_ = PositionOf(aPositions, problem.field_);
    }
  }
}

base::Result<void>
ToResult(std::string_view aName, const std::vector<Problem>& aProblems)
{
  if (aProblems.empty()) {
    return {};
  }
  std::string detail;
  for (const Problem& problem : aProblems) {
    if (!detail.empty()) {
      detail += '\n';
    }
    detail += Describe(aName, problem);
  }
  return base::Fail(aProblems.front().code_, std::move(detail));
}

} // namespace pumiceturn::settings
