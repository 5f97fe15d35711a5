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
  [[nodiscard]] bool HasResult(const Credential& aCredential) const
  {
    return std::holds_alternative<Kind>(Check(aCredential));
  }

  OrganisationTable organisations_;
  DeclarationsAge age_;
};

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_AnyKeyOfOrganisation_IsAuthenticated")
{
  CHECK(NameFor(Key("a1")) == "archive");
  CHECK(NameFor(Key("a2")) == "archive");
  CHECK(NameFor(Key("p1")) == "portal");
}

// Guards against admitting a request with a key that was never issued.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_NoValidKey_IsUnauthorised")
{
  CHECK(HasResult<UnauthenticatedCaller>(Key("a3")));
  CHECK(HasResult<UnauthenticatedCaller>(NoCredential{}));
  CHECK(HasResult<UnauthenticatedCaller>(MalformedCredential{}));
}

// Guards against admitting a revoked key at a host whose copy is outdated.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_CopyIsOutdated_AdmitsNobody")
{
  age_.age_ = 4499ms;
  CHECK(HasResult<AuthenticatedCaller>(Key("a1")));
  age_.age_ = 4500ms;
  CHECK(HasResult<UnconfirmedCaller>(Key("a1")));
  age_.age_.reset();
  CHECK(HasResult<UnconfirmedCaller>(Key("a1")));
}

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_NoMaxAgeToAdmit_AdmitsAtAnyAge")
{
  age_ = { 1h, std::nullopt, 3s };
  CHECK(HasResult<AuthenticatedCaller>(Key("a1")));
}

// Guards against rejecting a new key at a host whose copy is outdated.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_UnknownKeyAndOutdatedCopy_IsUnconfirmed")
{
  age_.age_ = 3s;
  CHECK(HasResult<UnconfirmedCaller>(Key("a3")));
  CHECK(HasResult<AuthenticatedCaller>(Key("a1")));
}

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_RouteAllowsAnonymous_NeedsNoKey")
{
  CHECK(std::holds_alternative<AnonymousCaller>(
    AuthenticateCaller(organisations_, Key("a3"), false, age_)));
}

TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_NoOrganisationsDeclared_NeedsNoKey")
{
  organisations_.Install(std::nullopt);
  CHECK(HasResult<AnonymousCaller>(NoCredential{}));
}

// Guards against admitting everybody after the last organisation was removed.
TEST_CASE_METHOD(CallerAuthenticationFixture,
                 "CallerAuthentication_EmptyList_AdmitsNobody")
{
  organisations_.Install(std::vector<Organisation>{});
  CHECK(HasResult<UnauthenticatedCaller>(NoCredential{}));
  CHECK(HasResult<UnauthenticatedCaller>(Key("a1")));
}

// Load: 32,000 organisations.
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
