#include "LibSettings/DeclarationsFile.h"

#include <catch2/catch.hpp>

namespace pumiceturn::settings {

namespace {

using base::ResultCode;

class DeclarationsFixture
{
protected:
  DeclarationsFixture()
  {
    declarations::Service& service = *declarations_.add_services();
    service.set_name("origin-llm");
    service.set_type(declarations::SERVICE_TYPE_MODEL);
    service.set_model("origin");
    declarations::RequestKind& kind = *service.add_kinds();
    kind.set_name("look-up");
    kind.set_priority(declarations::PRIORITY_ONLINE);
    kind.set_idempotency(declarations::IDEMPOTENCY_IDEMPOTENT);
    kind.set_deadline_ms(1000);
    kind.set_max_attempts(3);
    kind.set_retention_s(60);
    kind.set_max_tokens(64);
    kind.set_max_item_bytes(1024);
    AddEndpoint(service, "e1", "127.0.0.1:7111");
    declarations::Partner& partner = *declarations_.add_partners();
    partner.set_name("slaegtsspor");
    partner.set_token_sha256(std::string(64, 'a'));
    partner.add_services("origin-llm");
  }

  static void AddEndpoint(declarations::Service& aService,
                          const char* aName,
                          const char* aAddress)
  {
    declarations::Endpoint& endpoint = *aService.add_endpoints();
    endpoint.set_name(aName);
    endpoint.set_failure_domain("dk-east-a");
    endpoint.set_agent_address(aAddress);
    endpoint.set_fencing(declarations::FENCING_CHECK_ENFORCED);
    endpoint.set_max_running(4);
  }

  declarations::RequestKind& Kind()
  {
    return *declarations_.mutable_services(0)->mutable_kinds(0);
  }

  void CheckOnly(ResultCode aCode, std::string_view aField)
  {
    const std::vector<Problem> problems = FindProblems(declarations_);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].code_ == aCode);
    CHECK(problems[0].field_ == aField);
  }

  declarations::Declarations declarations_;
};

} // namespace

TEST_CASE_METHOD(DeclarationsFixture, "CheckDeclarations_WholeSet_Passes")
{
  CHECK(FindProblems(declarations_).empty());
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_EndpointNameInTwoServices_IsDuplicate")
{
  declarations::Service second = declarations_.services(0);
  second.set_name("other");
  second.mutable_endpoints(0)->set_agent_address("127.0.0.1:7112");
  *declarations_.add_services() = second;
  CheckOnly(ResultCode::DuplicateName, "services[1].endpoints[0].name");
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_PartnerOfUnknownService_Dangles")
{
  declarations_.mutable_partners(0)->set_services(0, "origin");
  CheckOnly(ResultCode::DanglingReference, "partners[0].services[0]");
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_TokenInsteadOfDigest_IsRefused")
{
  declarations_.mutable_partners(0)->set_token_sha256("secret");
  CheckOnly(ResultCode::OutOfRange, "partners[0].token_sha256");
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_OneTokenForTwoPartners_IsDuplicate")
{
  declarations::Partner second = declarations_.partners(0);
  second.set_name("other");
  *declarations_.add_partners() = second;
  CheckOnly(ResultCode::DuplicateName, "partners[1].token_sha256");
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_PriorityLeftOut_IsMissing")
{
  Kind().set_priority(declarations::PRIORITY_UNSPECIFIED);
  CheckOnly(ResultCode::MissingField, "services[0].kinds[0].priority");
}

// A partner is billed twice: a kind is declared non-idempotent, but with three
// attempts, and a retry runs it again.
TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_NonIdempotentWithRetries_IsRefused")
{
  Kind().set_idempotency(declarations::IDEMPOTENCY_NON_IDEMPOTENT);
  CheckOnly(ResultCode::OutOfRange, "services[0].kinds[0].max_attempts");
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_DefaultDueBeyondLimit_IsRefused")
{
  Kind().set_priority(declarations::PRIORITY_BATCH);
  Kind().set_max_due_s(60);
  Kind().set_default_due_s(61);
  Kind().set_max_items(10);
  CheckOnly(ResultCode::OutOfRange, "services[0].kinds[0].default_due_s");
}

TEST_CASE_METHOD(DeclarationsFixture, "CheckDeclarations_BadName_IsRefused")
{
  declarations_.mutable_services(0)->mutable_endpoints(0)->set_name("E 1");
  CheckOnly(ResultCode::OutOfRange, "services[0].endpoints[0].name");
}

TEST_CASE_METHOD(DeclarationsFixture,
                 "CheckDeclarations_TwoAgentsAtOneAddress_AreRefused")
{
  AddEndpoint(*declarations_.mutable_services(0), "e2", "127.0.0.1:7111");
  CheckOnly(ResultCode::DuplicateName,
            "services[0].endpoints[1].agent_address");
}

} // namespace pumiceturn::settings
