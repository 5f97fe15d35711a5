#include "LibGateway/OutputBudget.h"

#include <catch2/catch.hpp>

namespace pumiceturn::gateway {

class OutputBudgetFixture
{
protected:
  static constexpr std::size_t kBytes = 4194304;

  void AddStreams(int aCount)
  {
    for (int stream = 0; stream < aCount; ++stream) {
      budget_.AddStream();
    }
  }

  OutputBudget budget_{ kBytes };
};

TEST_CASE_METHOD(OutputBudgetFixture, "OutputBudget_FewStreams_HaveTheMaximum")
{
  CHECK(budget_.MaxUnsentPerStream() == OutputBudget::kMaxPerStream);
  AddStreams(4);
  CHECK(budget_.MaxUnsentPerStream() == OutputBudget::kMaxPerStream);
}

// Guards against running out of memory because many callers read an event a
// second each.
TEST_CASE_METHOD(OutputBudgetFixture,
                 "OutputBudget_200SlowReaders_ShareTheBudget")
{
  AddStreams(200);
  CHECK(200 * budget_.MaxUnsentPerStream() <= kBytes);
  AddStreams(100000);
  CHECK(budget_.MaxUnsentPerStream() == OutputBudget::kMinPerStream);
}

TEST_CASE_METHOD(OutputBudgetFixture, "OutputBudget_AllUnread_IsExhausted")
{
  CHECK_FALSE(budget_.IsExhausted(kBytes - 1));
  CHECK(budget_.IsExhausted(kBytes));
}

} // namespace pumiceturn::gateway
