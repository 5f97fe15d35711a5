#include "LibFleet/OriginInquiry.h"

#include <catch2/catch.hpp>

#include <initializer_list>
#include <string>

namespace pumiceturn::fleet {

class OriginInquiryFixture
{
protected:
  /// @return the versions, each of the same service.
  static OriginSet OriginsOf(std::initializer_list<std::string> aVersions)
  {
    OriginSet origins;
    for (const std::string& version : aVersions) {
      origins.insert({ "service", version });
    }
    return origins;
  }
  static OriginEvidence Unknown(std::initializer_list<std::string> aVersions)
  {
    return { UnknownOrigin{}, OriginsOf(aVersions) };
  }
  static OriginEvidence Known(const std::string& aVersion)
  {
    return { KnownOrigin{ { "service", aVersion }, base::Duration::zero() },
             OriginsOf({ "v1", "v2" }) };
  }
  static std::string VersionIn(const std::optional<OriginDecision>& aDecision)
  {
    REQUIRE(aDecision);
    const auto* found = std::get_if<OriginFound>(&*aDecision);
    return found != nullptr ? found->origin_.version_ : std::string();
  }
  static OriginUnknown CauseIn(const std::optional<OriginDecision>& aDecision)
  {
    REQUIRE(aDecision);
    return std::get<OriginUnknown>(*aDecision);
  }
};

TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_OwnRecord_IsDecidedWithoutAnswers")
{
  const OriginInquiry inquiry(Known("v2"), false, 5);
  CHECK(VersionIn(inquiry.Decide()) == "v2");
}

TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_OneHostHasTheRecord_StreamGoesOnThere")
{
  OriginInquiry inquiry(Unknown({ "v1", "v2" }), true, 5);
  CHECK_FALSE(inquiry.Decide());
  inquiry.Add(Unknown({ "v1", "v2" }));
  CHECK_FALSE(inquiry.Decide());
  inquiry.Add(Known("v1"));
  CHECK(VersionIn(inquiry.Decide()) == "v1");
}

// Guards against joining a stream to a guess.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_SeveralVersionsAndNoRecord_IsUnknown")
{
  OriginInquiry inquiry(Unknown({ "v1", "v2" }), true, 1);
  CHECK(std::get<OriginUnknown>(inquiry.DecideNow()) ==
        OriginUnknown::NoRecord);
  inquiry.Add(Unknown({ "v1", "v2" }));
  CHECK(CauseIn(inquiry.Decide()) == OriginUnknown::NoRecord);
}

// Guards against joining a stream to another service whose software has the
// same version.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_TwoServicesHaveTheVersion_IsUnknown")
{
  const OriginSet origins{ { "service", "v1" }, { "second", "v1" } };
  OriginInquiry inquiry({ UnknownOrigin{}, origins }, true, 0);
  inquiry.AwaitStore();
  CHECK(inquiry.NeedsRecord());
  CHECK(CauseIn(inquiry.Decide()) == OriginUnknown::NoRecord);
}

// Guards against a host that missed a release and takes its old version for the
// only one.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_AnotherHostKnowsMoreVersions_IsUnknown")
{
  OriginInquiry inquiry(Unknown({ "v1" }), true, 1);
  inquiry.Add(Unknown({ "v1", "v2" }));
  CHECK(CauseIn(inquiry.Decide()) == OriginUnknown::NoRecord);
}

TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_OneVersionInRecentView_StreamGoesOn")
{
  const OriginInquiry inquiry(Unknown({ "v1" }), true, 0);
  CHECK(VersionIn(inquiry.Decide()) == "v1");
}

// Guards against refusing a stream whose record only the store has.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_StoreHasTheRecord_StreamGoesOnThere")
{
  OriginInquiry inquiry(Unknown({ "v1", "v2" }), true, 1);
  inquiry.AwaitStoredRecord();
  inquiry.Add(Unknown({ "v1", "v2" }));
  CHECK_FALSE(inquiry.Decide());
  CHECK(inquiry.NeedsStoredRecord());
  inquiry.AddStoredRecord(Known("v1").record_);
  CHECK(VersionIn(inquiry.Decide()) == "v1");
}

TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_StoreHasNoRecord_IsUnknown")
{
  OriginInquiry inquiry(Unknown({ "v1", "v2" }), true, 0);
  inquiry.AwaitStoredRecord();
  CHECK_FALSE(inquiry.Decide());
  inquiry.AddStoredRecord(UnknownOrigin{});
  CHECK(CauseIn(inquiry.Decide()) == OriginUnknown::NoRecord);
}

// Guards against a host that is cut off and trusts what it knew before.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_OneVersionInOldView_NeedsConfirmation")
{
  OriginInquiry inquiry(Unknown({ "v1" }), false, 2);
  CHECK(std::get<OriginUnknown>(inquiry.DecideNow()) == OriginUnknown::OldView);
  inquiry.Add(Unknown({}));
  CHECK_FALSE(inquiry.Decide());
  inquiry.Add(Unknown({ "v1" }));
  CHECK(VersionIn(inquiry.Decide()) == "v1");
}

TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_HostThatJustStarted_AsksTheOthers")
{
  OriginInquiry inquiry(Unknown({}), true, 2);
  CHECK(std::get<OriginUnknown>(inquiry.DecideNow()) ==
        OriginUnknown::NoEndpoints);
  inquiry.Add(Unknown({ "v1" }));
  // The other one may have the record, or know another version.
  CHECK_FALSE(inquiry.Decide());
  inquiry.Add(Unknown({ "v1" }));
  CHECK(VersionIn(inquiry.Decide()) == "v1");
}

// Guards against joining a stream because the first host that answers knows no
// more than this one, though a later one has the record.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_LaterAnswerHasTheRecord_StreamGoesOnThere")
{
  OriginInquiry inquiry(Unknown({ "v1" }), true, 3);
  inquiry.Add(Unknown({ "v1" }));
  CHECK_FALSE(inquiry.Decide());
  inquiry.Add(Known("v2"));
  CHECK(VersionIn(inquiry.Decide()) == "v2");
}

// Guards against joining a stream while the views of all hosts that answer are
// older than a version.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_StoreNamesMoreVersions_IsUnknown")
{
  OriginInquiry inquiry(Unknown({ "v1" }), true, 1);
  inquiry.AwaitStore();
  inquiry.Add(Unknown({ "v1" }));
  CHECK(inquiry.NeedsStore());
  CHECK_FALSE(inquiry.Decide());
  inquiry.AddStoreOrigins(OriginsOf({ "v1", "v2" }));
  CHECK(CauseIn(inquiry.Decide()) == OriginUnknown::NoRecord);
}

TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_StoreNamesTheSameVersion_StreamGoesOn")
{
  OriginInquiry inquiry(Unknown({}), false, 2);
  inquiry.AwaitStore();
  CHECK_FALSE(inquiry.NeedsStore());
  inquiry.SetMissing(0);
  CHECK(inquiry.NeedsStore());
  inquiry.AddStoreOrigins(OriginsOf({ "v1" }));
  CHECK(VersionIn(inquiry.Decide()) == "v1");
}

// Guards against joining a stream because a host with an old view names the
// same version, while the holders of the stream's record can't be heard.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_HolderIsUnheardAndStoreSilent_IsUnknown")
{
  const bool isViewRecent = GENERATE(false, true);
  OriginInquiry inquiry(Unknown({ "v1" }), isViewRecent, 2);
  inquiry.AwaitStore();
  inquiry.Add(Unknown({ "v1" }));
  CHECK_FALSE(inquiry.Decide());
  CHECK(std::get<OriginUnknown>(inquiry.DecideNow()) == OriginUnknown::OldView);
}

// Guards against refusing streams for as long as the store is away.
TEST_CASE_METHOD(OriginInquiryFixture,
                 "OriginInquiry_StoreDoesNotAnswer_HostsDecide")
{
  OriginInquiry inquiry(Unknown({ "v1" }), false, 1);
  inquiry.AwaitStore();
  inquiry.Add(Unknown({ "v1" }));
  CHECK_FALSE(inquiry.Decide());
  CHECK(VersionIn(inquiry.DecideNow()) == "v1");
}

} // namespace pumiceturn::fleet
