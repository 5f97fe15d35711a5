#include "LibBatch/BatchJobKeys.h"

#include "LibBase/Numbers.h"

#include <fmt/format.h>

namespace pumiceturn::batch {

std::string
LedgerName(const std::string& aRoute, const std::string& aOrganisation)
{
  return aOrganisation.empty() ? aRoute
                               : fmt::format("{}/{}", aRoute, aOrganisation);
}

std::string
BatchJobKeySpace::DataPrefix(std::string_view aJob) const
{
  return fmt::format("{}{}/", dataPrefix_, aJob);
}

std::string
BatchJobKeySpace::MakeKey(const BatchJobKey& aKey) const
{
  switch (aKey.kind_) {
    case KeyKind::State:
      return statePrefix_ + aKey.job_;
    case KeyKind::Progress:
      return DataPrefix(aKey.job_) + "progress";
    case KeyKind::Failures:
      return DataPrefix(aKey.job_) + "failures";
    case KeyKind::Content:
      return fmt::format(
        "{}content/{:06}", DataPrefix(aKey.job_), aKey.number_);
    case KeyKind::Results:
      break;
  }
  return fmt::format("{}result/{:06}", DataPrefix(aKey.job_), aKey.number_);
}

std::optional<BatchJobKey>
BatchJobKeySpace::ParseKey(std::string_view aText) const
{
  BatchJobKey key;
  if (aText.starts_with(statePrefix_)) {
    key.job_ = std::string(aText.substr(statePrefix_.size()));
    return key;
  }
  if (!aText.starts_with(dataPrefix_)) {
    return std::nullopt;
  }
  aText.remove_prefix(dataPrefix_.size());
  const std::size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  key.job_ = std::string(aText.substr(0, slash));
  const std::string_view rest = aText.substr(slash + 1);
  if (rest == "progress") {
    key.kind_ = KeyKind::Progress;
    return key;
  }
  if (rest == "failures") {
    key.kind_ = KeyKind::Failures;
    return key;
  }
  const std::size_t second = rest.find('/');
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view name = rest.substr(0, second);
  const auto number = base::ParseNumber<std::uint32_t>(rest.substr(second + 1));
  if (!number || (name != "content" && name != "result")) {
    return std::nullopt;
  }
  key.kind_ = name == "content" ? KeyKind::Content : KeyKind::Results;
  key.number_ = *number;
  return key;
}

} // namespace pumiceturn::batch
