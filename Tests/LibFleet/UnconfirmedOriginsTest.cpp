#include "LibFleet/UnconfirmedOrigins.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

class UnconfirmedOriginsFixture
{
protected:
  void Add(const std::string& aId)
  {
    origins_.Add({ aId, { "service", "v1" }, 10s }, now_);
  }

  std::vector<std::string> TakeOverdue()
  {
    std::vector<std::string> ids;
    for (const auto& row : origins_.TakeOverdue(now_)) {
      ids.push_back(row.id_);
    }
    return ids;
  }

  UnconfirmedOrigins origins_;
  base::Instant now_{ 1h };
};

TEST_CASE_METHOD(UnconfirmedOriginsFixture,
                 "UnconfirmedOrigins_HolderConfirms_RecordIsNotOverdue")
{
  Add("a");
  Add("b");
  origins_.Confirm("a");
  CHECK_FALSE(origins_.AreHoldersSilent());
  now_ += UnconfirmedOrigins::kConfirmTime;
  CHECK(TakeOverdue() == std::vector<std::string>{ "b" });
}

TEST_CASE_METHOD(UnconfirmedOriginsFixture,
                 "UnconfirmedOrigins_HolderHasTimeLeft_RecordIsNotOverdue")
{
  Add("a");
  now_ += UnconfirmedOrigins::kConfirmTime - 1ms;
  CHECK(TakeOverdue().empty());
  now_ += 1ms;
  CHECK(TakeOverdue().size() == 1);
  CHECK(TakeOverdue().empty());
}

// Guards against losing the records that were made just before this host is
// lost, too, while a wait for holders that don't answer would be in vain.
TEST_CASE_METHOD(UnconfirmedOriginsFixture,
                 "UnconfirmedOrigins_HoldersAreSilent_RecordIsOverdueAtOnce")
{
  Add("a");
  now_ += UnconfirmedOrigins::kConfirmTime;
  Add("b");
  CHECK(TakeOverdue().size() == 2);
  Add("c");
  CHECK(TakeOverdue() == std::vector<std::string>{ "c" });
  CHECK(origins_.AreHoldersSilent());
  origins_.Confirm("a");
  Add("d");
  CHECK(TakeOverdue().empty());
}

// Guards against memory that grows while no holder is there.
TEST_CASE_METHOD(UnconfirmedOriginsFixture,
                 "UnconfirmedOrigins_NoHolder_CountIsLimited")
{
  for (std::size_t id = 0; id < UnconfirmedOrigins::kMaxRows + 10; ++id) {
    Add(std::to_string(id));
  }
  now_ += UnconfirmedOrigins::kConfirmTime;
  CHECK(TakeOverdue().size() == UnconfirmedOrigins::kMaxRows);
}

} // namespace pumiceturn::fleet
