#include "LibBase/Ids.h"
#include "platform/RequestCodec.h"

#include <catch2/catch.hpp>

namespace pumiceturn::adapter {

class PromptFieldFixture
{
protected:
  std::vector<std::uint64_t> ReadParts(const std::string& aField) const
  {
    httpstream::Request request;
    request.set("Prompt-Prefix", aField);
    return codec_.ReadCallerFields(request).sharedParts_;
  }

  RequestCodec codec_;
};

TEST_CASE_METHOD(PromptFieldFixture, "PromptField_Parts_AreReadButTheLast")
{
  CHECK(ReadParts("5c1e:800,91bd:410,e440:250") ==
        std::vector{ base::HashBytes("5c1e"), base::HashBytes("91bd") });
  CHECK(ReadParts("5c1e:800, 91bd:410,e440:250") ==
        ReadParts("5c1e:1,91bd:2,f:3"));
  CHECK(ReadParts("5c1e:800").empty());
  CHECK(ReadParts("").empty());
}

// Guards against an empty entry that requests without a common part would have
// in common.
TEST_CASE_METHOD(PromptFieldFixture, "PromptField_MalformedEntries_AreNoParts")
{
  CHECK(ReadParts(",,").empty());
  CHECK(ReadParts(":5,a:1,b:2") == std::vector{ base::HashBytes("a") });
}

} // namespace pumiceturn::adapter
