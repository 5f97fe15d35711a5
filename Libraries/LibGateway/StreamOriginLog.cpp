#include "LibGateway/StreamOriginLog.h"

#include "LibGateway/Events.h"

#include <memory>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Time between two syncs. Streams that began within it are lost in a power
/// failure.
constexpr std::chrono::milliseconds kSyncInterval{ 200 };

/// A disk whose write takes longer hangs.
constexpr std::chrono::milliseconds kMaxWriteTime{ 500 };

/// Most rows that wait for a write; the disk may hang for seconds.
constexpr std::size_t kMaxPending = 16384;

} // namespace

StreamOriginLog::StreamOriginLog(boost::asio::io_context& aContext,
                                 const std::filesystem::path& aFolder,
                                 ReadHandler aOnRead)
  : onRead_(std::move(aOnRead))
  , files_(aFolder)
  , disk_(aContext)
{
}

void
StreamOriginLog::Start()
{
  auto outcome = std::make_shared<StreamOriginFiles::ReadOutcome>();
  disk_.Post([this, outcome] { *outcome = files_.ReadAll(base::WallNow()); },
             lifetime_.Guard([this, outcome] { OnRead(*outcome); }));
}

void
StreamOriginLog::OnRead(StreamOriginFiles::ReadOutcome& aOutcome)
{
  hasBeenRead_ = true;
  base::Log(kStreamRecordsRead,
            { { "rows", aOutcome.rows_.size() },
              { "error",
                aOutcome.error_ ? aOutcome.error_->detail_ : std::string() } });
  onRead_(std::move(aOutcome.rows_));
  WritePending();
}

bool
StreamOriginLog::IsKeepingUp(base::Instant aNow) const
{
  const bool isHanging = isWriting_ && aNow - writtenAt_ > kMaxWriteTime;
  return hasBeenRead_ && !areWritesFailing_ && !areSyncsFailing_ && !isHanging;
}

void
StreamOriginLog::Add(StoredOrigin aRow)
{
  if (pending_.size() < kMaxPending) {
    pending_.push_back(std::move(aRow));
  } else {
    ++leftOut_;
  }
  WritePending();
}

void
StreamOriginLog::WritePending()
{
  if (!hasBeenRead_ || isWriting_ || pending_.empty()) {
    return;
  }
  isWriting_ = true;
  writtenAt_ = base::MonotonicNow();
  auto error = std::make_shared<std::optional<base::Failure>>();
  disk_.Post(
    [this, error, rows = std::exchange(pending_, {})] {
      *error = files_.Append(rows, base::WallNow());
    },
    lifetime_.Guard([this, error] { OnWritten(*error); }));
}

void
StreamOriginLog::OnWritten(const std::optional<base::Failure>& aError)
{
  isWriting_ = false;
  hasUnsynced_ = true;
  RecordOutcome(areWritesFailing_, aError);
  WritePending();
}

void
StreamOriginLog::Tick(base::Instant aNow)
{
  if (!hasUnsynced_ || isSyncing_ || aNow - syncedAt_ < kSyncInterval) {
    return;
  }
  hasUnsynced_ = false;
  isSyncing_ = true;
  syncedAt_ = aNow;
  auto error = std::make_shared<std::optional<base::Failure>>();
  disk_.Post([this, error] { *error = files_.Sync(); },
             lifetime_.Guard([this, error] {
               isSyncing_ = false;
               RecordOutcome(areSyncsFailing_, *error);
             }));
}

void
StreamOriginLog::RecordOutcome(bool& aHasFailed,
                               const std::optional<base::Failure>& aError)
{
  const bool wasFailing = areWritesFailing_ || areSyncsFailing_;
  aHasFailed = aError.has_value();
  const bool isFailing = areWritesFailing_ || areSyncsFailing_;
  if (isFailing && !wasFailing) {
    base::Log(kStreamRecordsNotWritten, { { "error", aError->detail_ } });
  } else if (!isFailing && wasFailing) {
    base::Log(kStreamRecordsWrittenAgain,
              { { "left_out", std::exchange(leftOut_, 0) } });
  }
}

} // namespace pumiceturn::gateway
