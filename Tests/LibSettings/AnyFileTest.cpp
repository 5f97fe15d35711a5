#include "LibSettings/AnyFile.h"

#include "LibSettings/DeclarationsFile.h"
#include "LibSettings/LineDiff.h"
#include "LibSettings/YamlReader.h"
#include "LibSettings/YamlWriter.h"

#include <catch2/catch.hpp>
#include <google/protobuf/util/message_differencer.h>

#include <filesystem>
#include <set>

namespace pumiceturn::settings {

namespace {

class BaseFolderFixture
{
protected:
  const std::filesystem::path folder_ =
    std::filesystem::path(PUMICETURN_SOURCE_FOLDER) / "Base";
};

} // namespace

TEST_CASE_METHOD(BaseFolderFixture, "CheckFile_EverySampleFile_Passes")
{
  std::set<FileType> seen;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder_)) {
    if (entry.path().extension() != ".yaml") {
      continue;
    }
    const auto outcome =
      base::Capture([&] { return CheckFile(entry.path().string()); });
    if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
      FAIL_CHECK(failure->detail_);
      continue;
    }
    seen.insert(std::get<FileType>(outcome));
  }
  CHECK(seen.contains(FileType::Settings));
  CHECK(seen.contains(FileType::Declarations));
  CHECK(seen.contains(FileType::HostList));
}

TEST_CASE_METHOD(BaseFolderFixture, "WriteYaml_SampleDeclarations_ReadBackSame")
{
  const std::string path = (folder_ / "kilimanjaro/declarations.yaml").string();
  const auto loaded = base::Capture([&] { return LoadDeclarationsFile(path); });
  REQUIRE(std::holds_alternative<declarations::Declarations>(loaded));
  const auto& original = std::get<declarations::Declarations>(loaded);
  declarations::Declarations readBack;
  CHECK(ReadYaml(WriteYaml(original), readBack).problems_.empty());
  CHECK(google::protobuf::util::MessageDifferencer::Equals(original, readBack));
}

TEST_CASE("DiffLines_OneLineChanged_ShowsItWithItsNeighbours")
{
  CHECK(DiffLines("a\nb\nc\nd\ne\nf\n", "a\nb\nc\nd\nE\nf\n") ==
        "  ...\n  c\n  d\n- e\n+ E\n  f\n");
  CHECK(DiffLines("a\n", "a\n").empty());
  CHECK(DiffLines("", "a\n") == "+ a\n");
  CHECK(DiffLines("a\nb\n", "b\n") == "- a\n  b\n");
}

} // namespace pumiceturn::settings
