#include "LibSettings/DeclarationsFile.h"

#include "LibSettings/Address.h"
#include "LibSettings/YamlReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace pumiceturn::settings {

namespace {

using base::ResultCode;
using declarations::Declarations;
using declarations::Endpoint;
using declarations::Partner;
using declarations::RequestKind;
using declarations::Service;

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kDigestLength = 64;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxAttempts = 100;
constexpr std::uint64_t kMaxDueS = 31ULL * 86'400;
constexpr std::uint64_t kMaxRetentionS = 366ULL * 86'400;
constexpr std::uint64_t kMaxTokens = 1'000'000;
constexpr std::uint64_t kMaxItemBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t kMaxItems = 1'000'000;
constexpr std::uint64_t kMaxRunning = 4096;
constexpr std::uint64_t kMaxBatchShare = 1'000'000;

/// @return whether the text may be a name: lower-case letters, digits, '-' and
/// '.', not first or last a sign.
bool
IsName(const std::string& aText)
{
  const auto isWordLetter = [](char aLetter) {
    return (aLetter >= 'a' && aLetter <= 'z') ||
           (aLetter >= '0' && aLetter <= '9');
  };
  const auto isNameLetter = [&](char aLetter) {
    return isWordLetter(aLetter) || aLetter == '-' || aLetter == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         isWordLetter(aText.front()) && isWordLetter(aText.back()) &&
         std::all_of(aText.begin(), aText.end(), isNameLetter);
}

bool
IsDigest(const std::string& aText)
{
  return aText.size() == kDigestLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

class Checker
{
public:
  std::vector<Problem> Check(const Declarations& aDeclarations);

private:
  void CheckService(const Service& aService, const std::string& aPath);
  void CheckKind(const RequestKind& aKind,
                 declarations::ServiceType aType,
                 const std::string& aPath);
  void CheckBatchKind(const RequestKind& aKind, const std::string& aPath);
  void CheckEndpoint(const Endpoint& aEndpoint, const std::string& aPath);
  void CheckPartner(const Partner& aPartner, const std::string& aPath);
  void CheckName(const std::string& aName,
                 const std::string& aPath,
                 std::set<std::string>& aNames);
  void CheckUnique(const std::string& aValue,
                   const std::string& aPath,
                   std::set<std::string>& aValues);
  void CheckRange(std::uint64_t aValue,
                  std::uint64_t aLeast,
                  std::uint64_t aMost,
                  const std::string& aPath);
  void Require(bool aIsGiven, const std::string& aPath);
  void Report(ResultCode aCode, const std::string& aPath, std::string aDetail);

  std::vector<Problem> problems_;
  std::set<std::string> services_;
  std::set<std::string> endpoints_;
  std::set<std::string> agentAddresses_;
  std::set<std::string> partners_;
  std::set<std::string> digests_;
};

void
Checker::Report(ResultCode aCode, const std::string& aPath, std::string aDetail)
{
  problems_.push_back({ aCode, aPath, std::move(aDetail), {} });
}

void
Checker::Require(bool aIsGiven, const std::string& aPath)
{
  if (!aIsGiven) {
    Report(ResultCode::MissingField, aPath, "needs a value");
  }
}

void
Checker::CheckUnique(const std::string& aValue,
                     const std::string& aPath,
                     std::set<std::string>& aValues)
{
  if (!aValues.insert(aValue).second) {
    Report(ResultCode::DuplicateName, aPath, "'" + aValue + "' is given twice");
  }
}

void
Checker::CheckName(const std::string& aName,
                   const std::string& aPath,
                   std::set<std::string>& aNames)
{
  if (aName.empty()) {
    Require(false, aPath);
    return;
  }
  if (!IsName(aName)) {
    Report(ResultCode::OutOfRange,
           aPath,
           fmt::format("'{}' is no name: up to {} of a-z, 0-9, '-' and '.', "
                       "first and last a letter or digit",
                       aName,
                       kMaxNameLength));
    return;
  }
  CheckUnique(aName, aPath, aNames);
}

void
Checker::CheckRange(std::uint64_t aValue,
                    std::uint64_t aLeast,
                    std::uint64_t aMost,
                    const std::string& aPath)
{
  if (aValue < aLeast || aValue > aMost) {
    Report(ResultCode::OutOfRange,
           aPath,
           fmt::format("{} is not from {} to {}", aValue, aLeast, aMost));
  }
}

void
Checker::CheckBatchKind(const RequestKind& aKind, const std::string& aPath)
{
  CheckRange(aKind.max_due_s(), 1, kMaxDueS, aPath + ".max_due_s");
  CheckRange(
    aKind.default_due_s(), 1, aKind.max_due_s(), aPath + ".default_due_s");
  CheckRange(aKind.max_items(), 1, kMaxItems, aPath + ".max_items");
}

void
Checker::CheckKind(const RequestKind& aKind,
                   declarations::ServiceType aType,
                   const std::string& aPath)
{
  const bool isModel = aType == declarations::SERVICE_TYPE_MODEL;
  const bool isBatch = aKind.priority() == declarations::PRIORITY_BATCH;
  const bool isIdempotent =
    aKind.idempotency() != declarations::IDEMPOTENCY_NON_IDEMPOTENT;
  Require(aKind.priority() != declarations::PRIORITY_UNSPECIFIED,
          aPath + ".priority");
  Require(aKind.idempotency() != declarations::IDEMPOTENCY_UNSPECIFIED,
          aPath + ".idempotency");
  // A second run of a non-idempotent request would take effect twice.
  CheckRange(aKind.max_attempts(),
             1,
             isIdempotent ? kMaxAttempts : 1,
             aPath + ".max_attempts");
  CheckRange(aKind.retention_s(), 1, kMaxRetentionS, aPath + ".retention_s");
  CheckRange(
    aKind.max_item_bytes(), 1, kMaxItemBytes, aPath + ".max_item_bytes");
  if (isModel) {
    CheckRange(aKind.max_tokens(), 1, kMaxTokens, aPath + ".max_tokens");
  }
  if (isBatch) {
    CheckBatchKind(aKind, aPath);
  } else {
    CheckRange(aKind.deadline_ms(), 1, kMaxDeadlineMs, aPath + ".deadline_ms");
  }
}

void
Checker::CheckEndpoint(const Endpoint& aEndpoint, const std::string& aPath)
{
  CheckName(aEndpoint.name(), aPath + ".name", endpoints_);
  Require(!aEndpoint.failure_domain().empty(), aPath + ".failure_domain");
  Require(aEndpoint.fencing() != declarations::FENCING_CHECK_UNSPECIFIED,
          aPath + ".fencing");
  CheckRange(aEndpoint.max_running(), 1, kMaxRunning, aPath + ".max_running");
  const std::string addressPath = aPath + ".agent_address";
  if (!ParseAddress(aEndpoint.agent_address())) {
    Report(ResultCode::OutOfRange,
           addressPath,
           "expects IP:port, not '" + aEndpoint.agent_address() + "'");
    return;
  }
  CheckUnique(aEndpoint.agent_address(), addressPath, agentAddresses_);
}

void
Checker::CheckService(const Service& aService, const std::string& aPath)
{
  CheckName(aService.name(), aPath + ".name", services_);
  Require(aService.type() != declarations::SERVICE_TYPE_UNSPECIFIED,
          aPath + ".type");
  if (aService.type() == declarations::SERVICE_TYPE_MODEL) {
    Require(!aService.model().empty(), aPath + ".model");
  }
  Require(aService.kinds_size() > 0, aPath + ".kinds");
  std::set<std::string> kinds;
  for (int index = 0; index < aService.kinds_size(); ++index) {
    const std::string path = fmt::format("{}.kinds[{}]", aPath, index);
    CheckName(aService.kinds(index).name(), path + ".name", kinds);
    CheckKind(aService.kinds(index), aService.type(), path);
  }
  for (int index = 0; index < aService.endpoints_size(); ++index) {
    CheckEndpoint(aService.endpoints(index),
                  fmt::format("{}.endpoints[{}]", aPath, index));
  }
  std::set<std::string> adapters;
  for (int index = 0; index < aService.adapters_size(); ++index) {
    CheckUnique(aService.adapters(index),
                fmt::format("{}.adapters[{}]", aPath, index),
                adapters);
  }
}

void
Checker::CheckPartner(const Partner& aPartner, const std::string& aPath)
{
  CheckName(aPartner.name(), aPath + ".name", partners_);
  const std::string digestPath = aPath + ".token_sha256";
  if (IsDigest(aPartner.token_sha256())) {
    // With one token for two partners, nobody could say whose job it is.
    CheckUnique(aPartner.token_sha256(), digestPath, digests_);
  } else {
    Report(
      ResultCode::OutOfRange,
      digestPath,
      fmt::format("expects {} lower-case hexadecimal digits", kDigestLength));
  }
  CheckRange(aPartner.batch_share(), 0, kMaxBatchShare, aPath + ".batch_share");
  std::set<std::string> used;
  for (int index = 0; index < aPartner.services_size(); ++index) {
    const std::string& service = aPartner.services(index);
    const std::string path = fmt::format("{}.services[{}]", aPath, index);
    if (!services_.contains(service)) {
      Report(ResultCode::DanglingReference,
             path,
             "no service '" + service + "' is declared");
    }
    CheckUnique(service, path, used);
  }
}

std::vector<Problem>
Checker::Check(const Declarations& aDeclarations)
{
  for (int index = 0; index < aDeclarations.services_size(); ++index) {
    CheckService(aDeclarations.services(index),
                 fmt::format("services[{}]", index));
  }
  for (int index = 0; index < aDeclarations.partners_size(); ++index) {
    CheckPartner(aDeclarations.partners(index),
                 fmt::format("partners[{}]", index));
  }
  return std::move(problems_);
}

} // namespace

std::vector<Problem>
FindProblems(const Declarations& aDeclarations)
{
  return Checker().Check(aDeclarations);
}

base::Result<void>
CheckDeclarations(const Declarations& aDeclarations)
{
  return ToResult("", FindProblems(aDeclarations));
}

base::Result<Declarations>
LoadDeclarationsFile(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadFileText(aPath));
  Declarations declarations;
  YamlReading reading = ReadYaml(text, declarations);
  if (reading.problems_.empty()) {
    reading.problems_ = FindProblems(declarations);
    LocateProblems(reading.positions_, reading.problems_);
  }
  BOOST_LEAF_CHECK(ToResult(aPath, reading.problems_));
  return declarations;
}

} // namespace pumiceturn::settings
