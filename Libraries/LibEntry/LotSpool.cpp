#include "LibEntry/LotSpool.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>

namespace pumiceturn::entry {

using base::Fail;
using base::ResultCode;

namespace {

/// The budget is taken in steps, so that not each item touches it.
constexpr std::size_t kBudgetStep = std::size_t{ 1 } << 20U;

/// Seed of the second of two digests that together name a lot without a key.
constexpr std::uint64_t kSecondSeed = 0x6C6F74;

std::uint64_t
HashTerms(const wire::JobDescription& aJob, std::uint64_t aSeed)
{
  return base::HashBytes(
    fmt::format("{}/{}/{}", aJob.service_, aJob.kind_, aJob.maxTokens_), aSeed);
}

} // namespace

bool
SpoolBudget::TryTake(std::size_t aBytes)
{
  if (taken_.fetch_add(aBytes) + aBytes <= kMaxBytes) {
    return true;
  }
  taken_.fetch_sub(aBytes);
  return false;
}

void
SpoolBudget::GiveBack(std::size_t aBytes)
{
  taken_.fetch_sub(aBytes);
}

LotSpool::LotSpool(LotTerms aTerms, SpoolBudget& aBudget)
  : terms_(std::move(aTerms))
  , budget_(aBudget)
  , digest_(HashTerms(terms_.job_, 0))
  , secondDigest_(HashTerms(terms_.job_, kSecondSeed))
{
}

LotSpool::~LotSpool()
{
  budget_.GiveBack(taken_);
}

base::Result<void>
LotSpool::Add(std::string_view aName, std::string_view aPayload)
{
  const std::uint32_t item = terms_.job_.itemCount_;
  if (aPayload.size() > terms_.maxItemBytes_ || aName.size() > kMaxKeyBytes) {
    return Fail(ResultCode::ItemTooLarge,
                fmt::format("item {}: {} bytes exceed {}",
                            item,
                            aPayload.size(),
                            terms_.maxItemBytes_));
  }
  if (item >= terms_.maxItems_) {
    return Fail(ResultCode::TooManyItems,
                fmt::format("more than {} items", terms_.maxItems_));
  }
  const std::size_t size = content_.size() + aName.size() + aPayload.size() +
                           (2 * sizeof(std::uint32_t));
  if (size > kMaxLotBytes) {
    return Fail(ResultCode::TooManyItems,
                fmt::format("the lot exceeds {} bytes", kMaxLotBytes));
  }
  // A growing string doubles and is held twice while it moves; reserving in
  // steps of the budget keeps what is held near what is counted.
  while (size > taken_) {
    const std::size_t step = std::max(kBudgetStep, taken_ / 4);
    if (!budget_.TryTake(step)) {
      return Fail(ResultCode::Overloaded, "too many lots are on their way in");
    }
    taken_ += step;
    content_.reserve(taken_);
  }
  Append(aName);
  Append(aPayload);
  digest_ = base::HashBytes(aPayload, base::HashBytes(aName, digest_));
  secondDigest_ =
    base::HashBytes(aPayload, base::HashBytes(aName, secondDigest_));
  ++terms_.job_.itemCount_;
  return {};
}

base::Result<void>
LotSpool::Seal()
{
  wire::JobDescription& job = terms_.job_;
  if (job.itemCount_ == 0) {
    return Fail(ResultCode::InvalidRequest, "the lot has no items");
  }
  if (terms_.toldItems_ != 0 && terms_.toldItems_ != job.itemCount_) {
    return Fail(ResultCode::InvalidRequest,
                fmt::format("{} items came of {} told",
                            job.itemCount_,
                            terms_.toldItems_));
  }
  job.digest_ = digest_;
  if (job.key_.empty()) {
    job.key_ = fmt::format("content-{:016x}{:016x}", digest_, secondDigest_);
  }
  job.id_ = base::MakeJobId(job.partner_, job.key_);
  return {};
}

wire::SubmitFrame
LotSpool::FrameFrom(std::uint32_t aFirstItem)
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
  frame.job_ = terms_.job_;
  frame.firstItem_ = aFirstItem;
  std::size_t bytes = 0;
  while (next_.offset_ < content_.size() && frame.items_.size() < kFrameItems &&
         bytes < kFrameBytes) {
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
LotSpool::Append(std::string_view aPart)
{
  const auto length = static_cast<std::uint32_t>(aPart.size());
  std::array<char, sizeof(length)> prefix{};
  std::memcpy(prefix.data(), &length, sizeof(length));
  content_.append(prefix.data(), prefix.size());
  content_.append(aPart);
}

std::string_view
LotSpool::ReadPart(std::size_t& aOffset) const
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
