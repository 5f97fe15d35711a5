#include "platform/RequestCodec.h"

#include <catch2/catch.hpp>

namespace pumiceturn::adapter {

class ResponseInfoFixture
{
protected:
  std::optional<fleet::EndpointLoad> ReadLoad(const std::string& aField) const
  {
    httpstream::ResponseHead head;
    head.result(200);
    head.set("Server-Load", aField);
    return codec_.ReadResponseInfo(head).load_;
  }

  RequestCodec codec_;
};

TEST_CASE_METHOD(ResponseInfoFixture, "ResponseInfo_Load_IsReadWithMoreFigures")
{
  CHECK(ReadLoad("3,1,8") == fleet::EndpointLoad{ 3, 1 });
  CHECK(ReadLoad("3,1,8,140") == fleet::EndpointLoad{ 3, 1, 140 });
  CHECK(ReadLoad("3,1,8,140,7") == fleet::EndpointLoad{ 3, 1, 140 });
}

// Guards against a load that is lost, or a speed that is made up, if the
// slowness can't be read.
TEST_CASE_METHOD(ResponseInfoFixture, "ResponseInfo_MalformedSlowness_IsNone")
{
  for (const char* field : { "3,1,8,",
                             "3,1,8,,140",
                             "3,1,8,a",
                             "3,1,8,140x",
                             "3,1,8, 140",
                             "3,1,8,-140",
                             "3,1,8,1.4",
                             "3,1,8,0",
                             "3,1,8,99999999999" }) {
    INFO(field);
    CHECK(ReadLoad(field) == fleet::EndpointLoad{ 3, 1 });
  }
}

TEST_CASE_METHOD(ResponseInfoFixture, "ResponseInfo_MalformedLoad_IsIgnored")
{
  for (const char* field : { "",
                             "3",
                             "3,",
                             "3,1",
                             ",1,8",
                             "3,,8",
                             "a,1,8",
                             "a,1,8,140",
                             "3,,8,140",
                             "3,-1,8",
                             "99999999999,1,8" }) {
    CHECK_FALSE(ReadLoad(field));
  }
}

} // namespace pumiceturn::adapter
