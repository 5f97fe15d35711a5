#include "LibFleet/CallerAuthentication.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// Two organisations with keys, and a copy of the declarations of some age.
class CallerAuthenticationFixture
{
protected:
  CallerAuthenticationFixture()
  {
    organisations_.Install(
      std::vector<Organisation>{ { "archive", { Key("a1"), Key("a2") }, {} },
                                 { "portal", { Key("p1") }, {} } });
    age_ = { 100ms, 4500ms, 3s };
  }

  static base::TokenDigest Key(std::string_view aText)
  {
    return base::DigestToken(aText);
  }

  [[nodiscard]] Caller Check(const Credential& aCredential) const
  {
    return AuthenticateCaller(organisations_, aCredential, true, age_);
  }

  [[nodiscard]] std::string NameFor(const Credential& aCredential) const
  {
    const Caller caller = Check(aCredential);
    const auto* known = std::get_if<AuthenticatedCaller>(&caller);
    return known == nullptr ? std::string() : known->organisation_->name_;
  }

  template<typename Kind>
  [[nodiscard]] bool IsJudged(const Credential& aCredential) const
  {
    return std::holds_alternative<Kind>(Check(aCredential));
  }

  OrganisationTable organisations_;
  DeclarationsAge age_;
};

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_AnyKeyOfOne_NamesIt")
{
  CHECK(NameFor(Key("a1")) == "archive");
  CHECK(NameFor(Key("a2")) == "archive");
  CHECK(NameFor(Key("p1")) == "portal");
}

// A request ran although nobody had ever been given its key.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_NoValidKey_IsUnauthorised")
{
  CHECK(IsJudged<UnauthorisedCaller>(Key("a3")));
  CHECK(IsJudged<UnauthorisedCaller>(NoCredential{}));
  CHECK(IsJudged<UnauthorisedCaller>(MalformedCredential{}));
}

// A key that was taken away still ran requests at hosts that had not heard of
// it: nothing tells such a host that its copy is old.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_CopyIsOld_AdmitsNobody")
{
  age_.age_ = 4499ms;
  CHECK(IsJudged<AuthenticatedCaller>(Key("a1")));
  age_.age_ = 4500ms;
  CHECK(IsJudged<UnconfirmedCaller>(Key("a1")));
  age_.age_.reset();
  CHECK(IsJudged<UnconfirmedCaller>(Key("a1")));
}

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_NoRevocationBound_AgeIsFine")
{
  age_ = { 1h, std::nullopt, 3s };
  CHECK(IsJudged<AuthenticatedCaller>(Key("a1")));
}

// A caller with a new key was told for good that it has none, by a host that
// had not heard of the key.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_UnknownKeyAndOldCopy_IsNotDenied")
{
  age_.age_ = 3s;
  CHECK(IsJudged<UnconfirmedCaller>(Key("a3")));
  CHECK(IsJudged<AuthenticatedCaller>(Key("a1")));
}

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_OpenRoute_NeedsNoKey")
{
  CHECK(std::holds_alternative<AnonymousCaller>(
    AuthenticateCaller(organisations_, Key("a3"), false, age_)));
}

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_NoneDeclared_NeedsNoKey")
{
  organisations_.Install(std::nullopt);
  CHECK(IsJudged<AnonymousCaller>(NoCredential{}));
}

// Operators took the last organisation out, and anyone could call.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_EmptyList_AdmitsNobody")
{
  organisations_.Install(std::vector<Organisation>{});
  CHECK(IsJudged<UnauthorisedCaller>(NoCredential{}));
  CHECK(IsJudged<UnauthorisedCaller>(Key("a1")));
}

// Load: 32,000 organisations. Keys are found by hash, whatever their number.
TEST_CASE("OrganisationTable_32000Organisations_EachKeyIsFound")
{
  std::vector<Organisation> organisations;
  for (int index = 0; index < 32000; ++index) {
    const std::string name = std::to_string(index);
    organisations.push_back({ name, { base::DigestToken(name) }, {} });
  }
  OrganisationTable table;
  table.Install(std::move(organisations));
  std::size_t found = 0;
  for (int index = 0; index < 32000; ++index) {
    const std::string name = std::to_string(index);
    const Organisation* byKey = table.FindByKey(base::DigestToken(name));
    found += byKey != nullptr && byKey == table.FindByName(name) ? 1 : 0;
  }
  CHECK(found == 32000);
  CHECK(table.FindByKey(base::DigestToken("another")) == nullptr);
}

} // namespace pumiceturn::fleet
