#include "LibConfiguration/Parts.h"

#include "LibBase/Ids.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pumiceturn::configuration {

namespace {

using base::Fail;
using base::Result;
using base::ResultCode;

template<typename Named>
void
SortByName(google::protobuf::RepeatedPtrField<Named>& aEntries)
{
  std::sort(aEntries.pointer_begin(),
            aEntries.pointer_end(),
            [](const Named* aLeft, const Named* aRight) {
              return aLeft->name() < aRight->name();
            });
}

void
AddPart(const declarations::Declarations& aContent,
        const std::string& aService,
        Split& aSplit)
{
  auto bytes =
    std::make_shared<const std::string>(aContent.SerializeAsString());
  stored::PartReference reference;
  reference.set_digest(DigestOf(*bytes));
  reference.set_service(aService);
  aSplit.contents_.emplace(reference.digest(), std::move(bytes));
  aSplit.references_.push_back(std::move(reference));
}

bool
IsInScope(const stored::PartReference& aPart, const Scope& aScope)
{
  return aScope.service_.empty() || aPart.service() == aScope.service_;
}

Result<void>
MergePart(std::uint64_t aDigest,
          const PartTable& aParts,
          declarations::Declarations& aInto)
{
  const auto found = aParts.find(aDigest);
  if (found == aParts.end()) {
    return Fail(ResultCode::NotFound, fmt::format("part {:016x}", aDigest));
  }
  if (!aInto.MergeFromString(*found->second)) {
    return Fail(ResultCode::CorruptRecord,
                fmt::format("part {:016x}", aDigest));
  }
  return {};
}

} // namespace

std::uint64_t
DigestOf(std::string_view aContent)
{
  return base::HashBytes(aContent);
}

Split
SplitDeclarations(const declarations::Declarations& aDeclarations,
                  std::uint32_t aBuckets)
{
  declarations::Declarations sorted = aDeclarations;
  SortByName(*sorted.mutable_services());
  SortByName(*sorted.mutable_partners());
  Split split;
  for (auto& service : *sorted.mutable_services()) {
    declarations::Declarations part;
    part.add_services()->Swap(&service);
    AddPart(part, part.services(0).name(), split);
  }
  std::vector<declarations::Declarations> buckets(aBuckets);
  for (auto& partner : *sorted.mutable_partners()) {
    const auto bucket = base::HashBytes(partner.name()) % aBuckets;
    buckets[bucket].add_partners()->Swap(&partner);
  }
  for (const declarations::Declarations& bucket : buckets) {
    if (bucket.partners_size() > 0) {
      AddPart(bucket, {}, split);
    }
  }
  return split;
}

std::vector<std::uint64_t>
DigestsInScope(const stored::ConfigurationHead& aHead, const Scope& aScope)
{
  std::vector<std::uint64_t> digests;
  for (const stored::PartReference& part : aHead.parts()) {
    if (IsInScope(part, aScope)) {
      digests.push_back(part.digest());
    }
  }
  return digests;
}

std::vector<std::uint64_t>
MissingParts(const stored::ConfigurationHead& aHead,
             const Scope& aScope,
             const PartTable& aParts)
{
  std::vector<std::uint64_t> missing = DigestsInScope(aHead, aScope);
  std::erase_if(
    missing, [&](std::uint64_t aDigest) { return aParts.contains(aDigest); });
  return missing;
}

Result<declarations::Configuration>
AssembleConfiguration(const stored::ConfigurationHead& aHead,
                      const Scope& aScope,
                      const PartTable& aParts)
{
  declarations::Configuration configuration;
  configuration.set_version(aHead.version());
  configuration.set_write_id(aHead.write_id());
  configuration.set_author(aHead.author());
  configuration.set_comment(aHead.comment());
  configuration.set_applied_unix_ms(aHead.applied_unix_ms());
  *configuration.mutable_drained_hosts() = aHead.drained_hosts();
  declarations::Declarations& all = *configuration.mutable_declarations();
  for (const std::uint64_t digest : DigestsInScope(aHead, aScope)) {
    BOOST_LEAF_CHECK(MergePart(digest, aParts, all));
  }
  return configuration;
}

void
SortPartners(declarations::Declarations& aDeclarations)
{
  SortByName(*aDeclarations.mutable_partners());
}

} // namespace pumiceturn::configuration
