#include "LibSettings/AnyFile.h"

#include "LibSettings/DeclarationsFile.h"
#include "LibSettings/HostListFile.h"
#include "LibSettings/LoadPlanFile.h"
#include "LibSettings/SettingsFile.h"
#include "LibSettings/YamlReader.h"

#include <algorithm>
#include <array>

namespace pumiceturn::settings {

namespace {

struct Candidate
{
  FileType type_;
  YamlReading reading_;
};

template<typename Message>
Candidate
ReadAs(FileType aType, std::string_view aText)
{
  Message message;
  Candidate candidate{ aType, ReadYaml(aText, message) };
  YamlReading& reading = candidate.reading_;
  if (reading.problems_.empty()) {
    if constexpr (std::is_same_v<Message, Settings>) {
      ApplyDefaults(reading.positions_, message);
    }
    reading.problems_ = FindProblems(message);
    LocateProblems(reading.positions_, reading.problems_);
  }
  return candidate;
}

} // namespace

std::string_view
NameOf(FileType aType)
{
  switch (aType) {
    case FileType::Settings:
      return "settings";
    case FileType::Declarations:
      return "declarations";
    case FileType::HostList:
      return "host list";
    case FileType::LoadPlan:
      break;
  }
  return "load plan";
}

base::Result<FileType>
CheckFile(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadFileText(aPath));
  const std::array<Candidate, 4> candidates{
    ReadAs<Settings>(FileType::Settings, text),
    ReadAs<declarations::Declarations>(FileType::Declarations, text),
    ReadAs<HostList>(FileType::HostList, text),
    ReadAs<load::LoadPlan>(FileType::LoadPlan, text),
  };
  const auto best =
    std::max_element(candidates.begin(),
                     candidates.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.reading_.positions_.size() <
                              aRight.reading_.positions_.size();
                     });
  BOOST_LEAF_CHECK(ToResult(aPath, best->reading_.problems_));
  return best->type_;
}

} // namespace pumiceturn::settings
