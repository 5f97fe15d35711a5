#include "LibBase/Strand.h"

#include <catch2/catch.hpp>

#include <future>
#include <vector>

namespace pumiceturn::base {

TEST_CASE("Strand_ManyThreadsInThePool_RunsTasksInTheOrderPosted")
{
  constexpr int kTasks = 2000;
  WorkerPool pool(4);
  Strand strand(pool);
  std::vector<int> seen;
  std::promise<void> done;
  for (int index = 0; index < kTasks; ++index) {
    strand.Post([&seen, index] { seen.push_back(index); });
  }
  strand.Post([&done] { done.set_value(); });
  done.get_future().wait();
  REQUIRE(seen.size() == kTasks);
  for (int index = 0; index < kTasks; ++index) {
    CHECK(seen[static_cast<std::size_t>(index)] == index);
  }
}

TEST_CASE("WorkerPool_TimersPostedOutOfOrder_RunInTimeOrder")
{
  WorkerPool pool(1);
  std::vector<int> seen;
  std::promise<void> done;
  const Instant start = MonotonicNow();
  pool.PostAt(start + 20ms, [&] {
    seen.push_back(2);
    done.set_value();
  });
  pool.PostAt(start + 10ms, [&] { seen.push_back(1); });
  done.get_future().wait();
  CHECK(seen == std::vector<int>{ 1, 2 });
}

TEST_CASE("WorkerPool_StoppedWithTasksQueued_EndsWithoutRunningLaterPosts")
{
  WorkerPool pool(2);
  pool.Stop();
  bool ran = false;
  pool.Post([&ran] { ran = true; });
  CHECK_FALSE(ran);
}

} // namespace pumiceturn::base
