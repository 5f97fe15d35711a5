#include "LibEntry/JobSpool.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>

namespace pumiceturn::entry {

using base::Fail;
using base::ResultCode;

namespace {

/// Memory is reserved in steps, so that not every item updates the shared
/// budget.
constexpr std::size_t kReservationStep = std::size_t{ 1 } << 20U;

/// Seed of the second digest. Both digests together form the key of a job
/// without one. Arbitrary but not 0; keys are derived from it, so it must not
/// change.
constexpr std::uint64_t kSecondSeed = 0x6C6F74;

std::uint64_t
HashHeader(const wire::JobDescription& aJob, std::uint64_t aSeed)
{
  return base::HashBytes(
    fmt::format("{}/{}/{}", aJob.service_, aJob.kind_, aJob.maxTokens_), aSeed);
}

} // namespace

bool
SpoolBudget::TryReserve(std::size_t aBytes)
{
  if (reserved_.fetch_add(aBytes) + aBytes <= kMaxBytes) {
    return true;
  }
  reserved_.fetch_sub(aBytes);
  return false;
}

void
SpoolBudget::Release(std::size_t aBytes)
{
  reserved_.fetch_sub(aBytes);
}

JobSpool::JobSpool(CheckedJobHeader aHeader, SpoolBudget& aBudget)
  : header_(std::move(aHeader))
  , budget_(aBudget)
  , digest_(HashHeader(header_.job_, 0))
  , secondDigest_(HashHeader(header_.job_, kSecondSeed))
{
}

JobSpool::~JobSpool()
{
  budget_.Release(reserved_);
}

base::Result<void>
JobSpool::Add(std::string_view aName, std::string_view aPayload)
{
  const std::uint32_t item = header_.job_.itemCount_;
  if (aPayload.size() > header_.maxItemBytes_ || aName.size() > kMaxKeyBytes) {
    return Fail(ResultCode::ItemTooLarge,
                fmt::format("item {}: the name is too long, or the {} bytes of "
                            "content exceed the limit of {}",
                            item,
                            aPayload.size(),
                            header_.maxItemBytes_));
  }
  if (item >= header_.maxItems_) {
    return Fail(
      ResultCode::TooManyItems,
      fmt::format("the job has more than {} items", header_.maxItems_));
  }
  const std::size_t size = content_.size() + aName.size() + aPayload.size() +
                           (2 * sizeof(std::uint32_t));
  if (size > kMaxJobBytes) {
    return Fail(ResultCode::TooManyItems,
                fmt::format("the job exceeds {} bytes", kMaxJobBytes));
  }
  // A string that grows on its own doubles its capacity. Reserving explicitly
  // keeps the memory in use close to the reserved amount.
  while (size > reserved_) {
    const std::size_t step = std::max(kReservationStep, reserved_ / 4);
    if (!budget_.TryReserve(step)) {
      return Fail(ResultCode::Overloaded, "too many jobs are being submitted");
    }
    reserved_ += step;
    content_.reserve(reserved_);
  }
  Append(aName);
  Append(aPayload);
  digest_ = base::HashBytes(aPayload, base::HashBytes(aName, digest_));
  secondDigest_ =
    base::HashBytes(aPayload, base::HashBytes(aName, secondDigest_));
  ++header_.job_.itemCount_;
  return {};
}

base::Result<void>
JobSpool::Complete()
{
  wire::JobDescription& job = header_.job_;
  if (job.itemCount_ == 0) {
    return Fail(ResultCode::InvalidRequest, "the job has no items");
  }
  if (header_.declaredItems_ != 0 && header_.declaredItems_ != job.itemCount_) {
    return Fail(ResultCode::InvalidRequest,
                fmt::format("received {} items, but the header declares {}",
                            job.itemCount_,
                            header_.declaredItems_));
  }
  job.digest_ = digest_;
  if (job.key_.empty()) {
    job.key_ = fmt::format("content-{:016x}{:016x}", digest_, secondDigest_);
  }
  job.id_ = base::MakeJobId(job.partner_, job.key_);
  return {};
}

wire::SubmitFrame
JobSpool::MakeFrame(std::uint32_t aFirstItem)
{
  if (aFirstItem < next_.item_) {
    next_ = {};
  }
  while (next_.item_ < aFirstItem) {
    ReadPart(next_.offset_);
    ReadPart(next_.offset_);
    ++next_.item_;
  }
  wire::SubmitFrame frame;
  frame.job_ = header_.job_;
  frame.firstItem_ = aFirstItem;
  std::size_t bytes = 0;
  while (next_.offset_ < content_.size() &&
         frame.items_.size() < kMaxFrameItems && bytes < kTargetFrameBytes) {
    const std::string_view name = ReadPart(next_.offset_);
    const std::string_view payload = ReadPart(next_.offset_);
    bytes += name.size() + payload.size();
    frame.items_.push_back({ std::string(name), std::string(payload) });
    ++next_.item_;
  }
  frame.last_ = next_.offset_ == content_.size();
  return frame;
}

void
JobSpool::Append(std::string_view aPart)
{
  const auto length = static_cast<std::uint32_t>(aPart.size());
  std::array<char, sizeof(length)> prefix{};
  std::memcpy(prefix.data(), &length, sizeof(length));
  content_.append(prefix.data(), prefix.size());
  content_.append(aPart);
}

std::string_view
JobSpool::ReadPart(std::size_t& aOffset) const
{
  std::uint32_t length = 0;
  assert(aOffset + sizeof(length) <= content_.size());
  std::memcpy(&length, content_.data() + aOffset, sizeof(length));
  const std::string_view part(content_.data() + aOffset + sizeof(length),
                              length);
  aOffset += sizeof(length) + length;
  return part;
}

} // namespace pumiceturn::entry
