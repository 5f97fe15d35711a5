#pragma once

#include "LibBase/Result.h"

#include <Declarations.pb.h>
#include <Stored.pb.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::configuration {

/// Partners are spread over this many parts. More make a change's part smaller
/// and the head, which lists them all, larger; docs/design/configuration.md has
/// the measurement.
constexpr std::uint32_t kPartnerBuckets = 256;

/// Contents of parts by their digest.
using PartTable = std::map<std::uint64_t, std::shared_ptr<const std::string>>;

/// Which parts of a configuration a process needs.
struct Scope
{
  std::string service_; ///< Empty: everything. Else this service alone, and no
                        ///< partners.
};

/// Declarations as immutable parts.
struct Split
{
  /// Services by name, then buckets in order. Equal for equal declarations,
  /// whatever their order.
  std::vector<stored::PartReference> references_;
  PartTable contents_;
};

std::uint64_t
DigestOf(std::string_view aContent);

/// @param aBuckets Number of hash buckets of partners; empty ones are left out.
Split
SplitDeclarations(const declarations::Declarations& aDeclarations,
                  std::uint32_t aBuckets = kPartnerBuckets);

/// @return digests of the parts that a scope needs.
std::vector<std::uint64_t>
DigestsInScope(const stored::ConfigurationHead& aHead, const Scope& aScope);

/// @return digests of the parts that a scope needs and the table lacks.
std::vector<std::uint64_t>
MissingParts(const stored::ConfigurationHead& aHead,
             const Scope& aScope,
             const PartTable& aParts);

/// Puts a head's parts together: services by name, partners in no order that
/// means anything, as sorting them is half of the work on every host.
/// @return NotFound where a part is missing, CorruptRecord where one cannot be
/// read.
base::Result<declarations::Configuration>
AssembleConfiguration(const stored::ConfigurationHead& aHead,
                      const Scope& aScope,
                      const PartTable& aParts);

/// Sorts partners by name, for people to read.
void
SortPartners(declarations::Declarations& aDeclarations);

} // namespace pumiceturn::configuration
