#include "LibGateway/StreamOrigins.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

// The part of StreamOrigins that exchanges records with other hosts, and keeps
// them for longer than processes last.

namespace pumiceturn::gateway {

namespace {

/// Maximum number of records in one datagram.
constexpr std::size_t kMaxRows = 128;

/// Maximum number of datagrams a second with records of streams whose service
/// has one version. About 4 KB/s.
constexpr double kAheadPerSecond = 40.0;

/// How long a host waits for the records on its disk before it answers without.
constexpr std::chrono::milliseconds kMaxReadTime{ 500 };

/// Maximum number of queries that wait for the records on disk.
constexpr std::size_t kMaxDelayed = 4096;

/// @return what a host knows, for the log: its record, or the services and
///         versions.
std::string
Describe(const fleet::OriginEvidence& aEvidence)
{
  if (const auto* known = std::get_if<fleet::KnownOrigin>(&aEvidence.record_)) {
    return "record:" + DescribeOrigins(fleet::OriginSet{ known->origin_ });
  }
  if (std::holds_alternative<fleet::AmbiguousOrigin>(aEvidence.record_)) {
    return "ambiguous";
  }
  return DescribeOrigins(aEvidence.origins_);
}

/// @return when a record expires, as it is kept outside of this process.
base::WallTime
ExpiryOf(const fleet::StreamOriginTable::Row& aRow, base::WallTime aNow)
{
  return aNow +
         std::chrono::duration_cast<std::chrono::milliseconds>(aRow.lifetime_);
}

} // namespace

void
StreamOrigins::PublishAhead(const fleet::StreamOriginTable::Row& aRow,
                            base::Instant aNow)
{
  const double passed =
    std::chrono::duration<double>(aNow - aheadBudgetAt_).count();
  aheadBudgetAt_ = aNow;
  aheadBudget_ =
    std::min(aheadBudget_ + passed * kAheadPerSecond, kAheadPerSecond);
  if (aheadBudget_ < 1.0) {
    return;
  }
  for (const std::string& holder : HoldersOf(aRow.id_, fleet::kAheadHolders)) {
    if (aheadBudget_ >= 1.0) {
      aheadBudget_ -= 1.0;
      Send(holder, OriginRows{ { aRow } });
    }
  }
}

void
StreamOrigins::Publish(std::span<const fleet::StreamOriginTable::Row> aRows)
{
  const base::Instant now = base::MonotonicNow();
  std::map<std::string, OriginRows> byHolder;
  for (const fleet::StreamOriginTable::Row& row : aRows) {
    unconfirmed_.Add(row, now);
    for (const std::string& holder : HoldersOf(row.id_)) {
      OriginRows& message = byHolder[holder];
      message.wantsConfirmation_ = true;
      message.rows_.push_back(row);
      if (message.rows_.size() == kMaxRows) {
        Send(holder, message);
        message.rows_.clear();
      }
    }
  }
  for (const auto& [holder, message] : byHolder) {
    if (!message.rows_.empty()) {
      Send(holder, message);
    }
  }
  if (unconfirmed_.AreHoldersSilent()) {
    StoreUnconfirmed(now);
  }
}

void
StreamOrigins::Send(const std::string& aPeer, const OriginMessage& aMessage)
{
  peers_.SendOriginMessage(aPeer, EncodeOriginMessage(aMessage));
}

void
StreamOrigins::HandleMessage(const std::string& aPeer,
                             const nlohmann::json& aContent)
{
  std::visit([&](const auto& aMessage) { Handle(aPeer, aMessage); },
             DecodeOriginMessage(aContent));
}

void
StreamOrigins::Handle(const std::string& aPeer, const OriginRows& aMessage)
{
  OriginConfirmation confirmation;
  const base::Instant now = base::MonotonicNow();
  const base::Duration maxLifetime = streamLifetime_.LongestAt(now);
  const base::WallTime wallNow = base::WallNow();
  for (fleet::StreamOriginTable::Row row : aMessage.rows_) {
    row.lifetime_ = std::min(row.lifetime_, maxLifetime);
    const bool isRecorded =
      table_.Record(row, fleet::StreamOriginTable::Source::Peer, now);
    if (log_ && isRecorded) {
      log_->Add({ row.id_, row.origin_, ExpiryOf(row, wallNow) });
      confirmation.ids_.push_back(row.id_);
    }
  }
  if (aMessage.wantsConfirmation_ && log_ && log_->IsKeepingUp(now)) {
    Send(aPeer, confirmation);
  }
}

void
StreamOrigins::StoreUnconfirmed(base::Instant aNow)
{
  const base::WallTime wallNow = base::WallNow();
  for (const auto& row : unconfirmed_.TakeOverdue(aNow)) {
    recordStore_.Add({ row.id_, row.origin_, ExpiryOf(row, wallNow) }, wallNow);
  }
  recordStore_.Tick(aNow, wallNow, hosts_.size());
}

void
StreamOrigins::Handle(const std::string& /*aPeer*/,
                      const OriginConfirmation& aMessage)
{
  for (const std::string& id : aMessage.ids_) {
    unconfirmed_.Confirm(id);
  }
}

void
StreamOrigins::KeepOnDisk(boost::asio::io_context& aContext,
                          const std::filesystem::path& aFolder)
{
  log_.emplace(
    aContext, aFolder, [this](const auto& aRows) { OnRecordsRead(aRows); });
  log_->Start();
}

void
StreamOrigins::AddStored(std::span<const StoredOrigin> aRows)
{
  const base::Instant now = base::MonotonicNow();
  const base::WallTime wallNow = base::WallNow();
  // The wall clock may have been set back.
  const base::Duration maxLifetime = streamLifetime_.LongestAt(now);
  for (const StoredOrigin& row : aRows) {
    if (row.expiresAt_ <= wallNow) {
      continue;
    }
    const base::Duration lifetime =
      std::min<base::Duration>(row.expiresAt_ - wallNow, maxLifetime);
    table_.Record({ row.id_, row.origin_, lifetime },
                  fleet::StreamOriginTable::Source::Peer,
                  now);
  }
}

void
StreamOrigins::OnRecordsRead(std::span<const StoredOrigin> aRows)
{
  AddStored(aRows);
  AnswerDelayed();
}

bool
StreamOrigins::MustDelayAnswers(base::Instant aNow) const
{
  return log_ && !log_->HasBeenRead() && aNow - startedAt_ < kMaxReadTime;
}

void
StreamOrigins::AnswerDelayed()
{
  for (const auto& [peer, query] : std::exchange(delayedQueries_, {})) {
    Handle(peer, query);
  }
}

void
StreamOrigins::Handle(const std::string& aPeer, const OriginQuery& aMessage)
{
  if (MustDelayAnswers(base::MonotonicNow())) {
    if (delayedQueries_.size() < kMaxDelayed) {
      delayedQueries_.emplace_back(aPeer, aMessage);
    }
    return;
  }
  Send(aPeer,
       OriginAnswer{
         aMessage.query_,
         EvidenceOf(aMessage.id_, aMessage.services_, base::MonotonicNow()) });
}

void
StreamOrigins::Handle(const std::string& aPeer, const OriginAnswer& aMessage)
{
  const auto found = pending_.find(aMessage.query_);
  if (found == pending_.end() || found->second.missing_.erase(aPeer) == 0) {
    return;
  }
  found->second.answered_.insert(aPeer);
  found->second.inquiry_.Add(aMessage.evidence_);
  found->second.result_.answers_ +=
    fmt::format("{}={},", aPeer, Describe(aMessage.evidence_));
  Advance(aMessage.query_);
}

} // namespace pumiceturn::gateway
