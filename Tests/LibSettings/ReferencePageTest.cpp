#include "LibSettings/ReferencePage.h"

#include "LibSettings/Reference.h"
#include "LibSettings/YamlReader.h"

#include <catch2/catch.hpp>

namespace pumiceturn::settings {

TEST_CASE("WriteReference_MessageAndEnum_GiveTables")
{
  CHECK(WriteReference("Things",
                       "// What things are.\n"
                       "syntax = \"proto3\";\n"
                       "\n"
                       "// How big.\n"
                       "enum Size {\n"
                       "  SIZE_UNSPECIFIED = 0;\n"
                       "  SIZE_VERY_BIG = 1;  // Huge.\n"
                       "}\n"
                       "\n"
                       "message Thing {\n"
                       "  repeated string names = 1;  // All of\n"
                       "                              // them.\n"
                       "}\n") == "## Things\n\nWhat things are.\n"
                                 "\n### Size\n\nHow big.\n\n"
                                 "| value | meaning |\n|---|---|\n"
                                 "| `very-big` | Huge. |\n"
                                 "\n### Thing\n\n"
                                 "| key | type | meaning |\n|---|---|---|\n"
                                 "| `names` | list of string | All of them. "
                                 "|\n");
}

TEST_CASE("SettingsPage_Schema_IsWhatItWasMadeFrom")
{
  const std::string root(PUMICETURN_SOURCE_FOLDER);
  const auto made =
    base::Capture([&] { return WriteReferencePage(root + "/Schema"); });
  const auto page =
    base::Capture([&] { return ReadFileText(root + "/docs/SETTINGS.md"); });
  REQUIRE(std::holds_alternative<std::string>(made));
  REQUIRE(std::holds_alternative<std::string>(page));
  INFO("renew it by `pumicectl reference > docs/SETTINGS.md`");
  // Not the pages themselves: a difference of one line would print both whole.
  CHECK((std::get<std::string>(made) == std::get<std::string>(page)));
}

} // namespace pumiceturn::settings
