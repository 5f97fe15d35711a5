#include "LibConfiguration/ConfigurationReplica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pumiceturn::configuration {

namespace {
/// Of the parts in one answer; who asked asks again for the rest.
constexpr std::size_t kMostReplyBytes = 1U << 20U;
}

ConfigurationReplica::ConfigurationReplica(Scope aScope,
                                           SpreadDecision::Options aOptions,
                                           base::Instant aNow,
                                           double aRandom)
  : scope_(std::move(aScope))
  , spread_(aOptions, aNow, aRandom)
{
}

ConfigurationReplica::HeadNews
ConfigurationReplica::TakeHead(std::string_view aBytes)
{
  stored::ConfigurationHead head;
  if (!head.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return HeadNews::Unreadable;
  }
  // Never a lower version: an older head may come late, or from a service that
  // was restored from a backup.
  const std::uint64_t known =
    std::max(held_.version(), pending_ ? pending_->version() : 0);
  if (head.version() <= known) {
    return head.version() < held_.version() ? HeadNews::Lower : HeadNews::Known;
  }
  pending_ = std::move(head);
  Reconsider();
  return HeadNews::Higher;
}

bool
ConfigurationReplica::TakeParts(
  const std::vector<wire::ConfigurationPart>& aParts)
{
  if (!pending_) {
    return false;
  }
  const auto missing = MissingParts(*pending_, scope_, parts_);
  const std::set<std::uint64_t> wanted(missing.begin(), missing.end());
  bool useful = false;
  for (const wire::ConfigurationPart& part : aParts) {
    const std::uint64_t digest = DigestOf(part.content_);
    if (wanted.contains(digest)) {
      parts_[digest] = std::make_shared<const std::string>(part.content_);
      useful = true;
    }
  }
  if (useful) {
    Reconsider();
  }
  return useful;
}

SpreadDecision::Reply
ConfigurationReplica::TakeContent(const wire::ConfigurationContent& aContent)
{
  if (aContent.code_ != base::ResultCode::Ok) {
    return SpreadDecision::Reply::Useless;
  }
  const bool newHead = TakeHead(aContent.head_) == HeadNews::Higher;
  const bool newParts = TakeParts(aContent.parts_);
  if (newHead || newParts) {
    return SpreadDecision::Reply::Useful;
  }
  const bool isWanted = pending_ && aContent.version_ >= pending_->version();
  return isWanted ? SpreadDecision::Reply::LacksParts
                  : SpreadDecision::Reply::Useless;
}

std::optional<declarations::Configuration>
ConfigurationReplica::TakeInstallable()
{
  return std::exchange(installable_, std::nullopt);
}

wire::ConfigurationContent
ConfigurationReplica::Serve(const wire::FetchConfiguration& aRequest) const
{
  wire::ConfigurationContent content;
  content.call_ = aRequest.call_;
  content.version_ = held_.version();
  if (held_.version() == 0 || held_.version() < aRequest.version_) {
    content.code_ = base::ResultCode::VersionUnknown;
    return content;
  }
  // Who asks for parts of this version has its head.
  const bool hasHead =
    !aRequest.wantedParts_.empty() && aRequest.version_ == held_.version();
  if (!hasHead) {
    content.head_ = held_.SerializeAsString();
  }
  std::size_t bytes = 0;
  for (const std::uint64_t digest : aRequest.wantedParts_) {
    const auto found = parts_.find(digest);
    if (found == parts_.end()) {
      continue;
    }
    bytes += found->second->size();
    if (bytes > kMostReplyBytes && !content.parts_.empty()) {
      break;
    }
    content.parts_.push_back({ digest, *found->second });
  }
  return content;
}

void
ConfigurationReplica::Reconsider()
{
  auto missing = MissingParts(*pending_, scope_, parts_);
  if (!missing.empty()) {
    spread_.OnHead(pending_->version(), std::move(missing));
    return;
  }
  auto outcome = base::Capture(
    [&] { return AssembleConfiguration(*pending_, scope_, parts_); });
  auto* configuration = std::get_if<declarations::Configuration>(&outcome);
  if (configuration == nullptr) {
    // The parts are as they were written, so fetching them again cannot help;
    // the version in force stays until a later one can be read.
    pending_.reset();
    return;
  }
  installable_ = std::move(*configuration);
  held_ = *std::exchange(pending_, std::nullopt);
  DropUnlistedParts();
  spread_.OnInstalled(held_.version());
}

void
ConfigurationReplica::DropUnlistedParts()
{
  const auto digests = DigestsInScope(held_, scope_);
  const std::set<std::uint64_t> listed(digests.begin(), digests.end());
  std::erase_if(
    parts_, [&](const auto& aPart) { return !listed.contains(aPart.first); });
}

} // namespace pumiceturn::configuration
