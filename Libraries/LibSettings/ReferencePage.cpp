#include "LibSettings/ReferencePage.h"

#include "LibSettings/Reference.h"
#include "LibSettings/YamlReader.h"

namespace pumiceturn::settings {

namespace {

constexpr const char* kHead =
  "# Settings reference\n\n"
  "Made from the comments of the schema by `pumicectl reference >\n"
  "docs/SETTINGS.md`; a test fails when it is out of date. Keys are written "
  "in\n"
  "YAML as they stand here, values of an enum in lower case. A key that is "
  "left\n"
  "out has its default; `pumicectl validate FILE` tells what a file lacks.\n\n";

struct Section
{
  const char* title_;
  const char* file_;
};

constexpr Section kSections[] = {
  { "Settings of a process, and the host list", "Settings.proto" },
  { "Declarations", "Declarations.proto" },
  { "Load plans", "LoadPlan.proto" },
};

} // namespace

base::Result<std::string>
WriteReferencePage(const std::string& aFolder)
{
  std::string page = kHead;
  bool isFirst = true;
  for (const Section& section : kSections) {
    BOOST_LEAF_AUTO(schema, ReadFileText(aFolder + "/" + section.file_));
    page += (isFirst ? "" : "\n") + WriteReference(section.title_, schema);
    isFirst = false;
  }
  return page;
}

} // namespace pumiceturn::settings
