#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>
#include <tuple>
#include <vector>

namespace pumiceturn {

namespace {

namespace filesystem = std::filesystem;

std::string
ReadFile(const filesystem::path& aPath)
{
  std::ifstream stream(aPath);
  return { std::istreambuf_iterator<char>(stream), {} };
}

/// One event as a header or the page has it.
struct ListedEvent
{
  int number_ = 0;
  std::string name_;
  std::string level_;
  std::string meaning_;

  bool operator==(const ListedEvent&) const = default;
  bool operator<(const ListedEvent& aOther) const
  {
    return std::tie(number_, name_, level_, meaning_) <
           std::tie(
             aOther.number_, aOther.name_, aOther.level_, aOther.meaning_);
  }
};

std::ostream&
operator<<(std::ostream& aStream, const ListedEvent& aEvent)
{
  return aStream << aEvent.number_ << " " << aEvent.name_ << " "
                 << aEvent.level_ << " " << aEvent.meaning_;
}

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

/// @return the text of string literals that stand side by side.
std::string
JoinLiterals(const std::string& aLiterals)
{
  static const std::regex kBetween(R"("\s*")");
  const std::string joined = std::regex_replace(aLiterals, kBetween, "");
  return joined.substr(1, joined.rfind('"') - 1);
}

class EventCatalogueFixture
{
protected:
  EventCatalogueFixture()
  {
    const filesystem::path root(PUMICETURN_SOURCE_FOLDER);
    for (const auto& folder :
         filesystem::directory_iterator(root / "Libraries")) {
      ReadHeader(folder.path() / "Events.h");
    }
    ReadPage(root / "docs/EVENTS.md");
    std::sort(inHeaders_.begin(), inHeaders_.end());
  }

  void ReadHeader(const filesystem::path& aPath)
  {
    const std::string text = ReadFile(aPath);
    static const std::regex kEvent(
      R"re(Event\s+k\w+\s*\{\s*(\d+),\s*"(\w+)",\s*(?:base::)?LogLevel::(\w+),\s*((?:"[^"]*"\s*)+)\};)re");
    static const std::regex kDefinition(R"(\bEvent\s+k\w+)");
    const auto begin = std::sregex_iterator(text.begin(), text.end(), kEvent);
    for (auto found = begin; found != std::sregex_iterator(); ++found) {
      inHeaders_.push_back({ std::stoi((*found)[1]),
                             (*found)[2],
                             ToLower((*found)[3]),
                             JoinLiterals((*found)[4]) });
    }
    definitions_ +=
      std::distance(std::sregex_iterator(text.begin(), text.end(), kDefinition),
                    std::sregex_iterator());
  }

  void ReadPage(const filesystem::path& aPath)
  {
    const std::string text = ReadFile(aPath);
    static const std::regex kRow(
      R"(\| (\d+) \| `(\w+)` \| (\w+) \| ([^\n]*) \|)");
    const auto begin = std::sregex_iterator(text.begin(), text.end(), kRow);
    for (auto found = begin; found != std::sregex_iterator(); ++found) {
      onPage_.push_back(
        { std::stoi((*found)[1]), (*found)[2], (*found)[3], (*found)[4] });
    }
  }

  std::vector<ListedEvent> inHeaders_;
  std::vector<ListedEvent> onPage_;
  std::ptrdiff_t definitions_ = 0;
};

} // namespace

TEST_CASE_METHOD(EventCatalogueFixture, "EventHeaders_EveryEvent_IsUnderstood")
{
  CHECK(definitions_ > 0);
  CHECK(static_cast<std::ptrdiff_t>(inHeaders_.size()) == definitions_);
}

TEST_CASE_METHOD(EventCatalogueFixture, "EventHeaders_Numbers_AreUnique")
{
  std::map<int, std::string> nameByNumber;
  for (const ListedEvent& event : inHeaders_) {
    const auto [found, isNew] =
      nameByNumber.emplace(event.number_, event.name_);
    CAPTURE(event, found->second);
    CHECK(isNew);
  }
}

TEST_CASE_METHOD(EventCatalogueFixture, "EventPage_Rows_AreThoseOfTheHeaders")
{
  CHECK(std::is_sorted(onPage_.begin(), onPage_.end()));
  std::sort(onPage_.begin(), onPage_.end());
  std::vector<ListedEvent> missing;
  std::set_difference(inHeaders_.begin(),
                      inHeaders_.end(),
                      onPage_.begin(),
                      onPage_.end(),
                      std::back_inserter(missing));
  std::vector<ListedEvent> unknown;
  std::set_difference(onPage_.begin(),
                      onPage_.end(),
                      inHeaders_.begin(),
                      inHeaders_.end(),
                      std::back_inserter(unknown));
  CHECK(missing == std::vector<ListedEvent>{});
  CHECK(unknown == std::vector<ListedEvent>{});
}

} // namespace pumiceturn
