#include "LibGateway/StreamOriginLog.h"

#include "LibGateway/Events.h"

#include <memory>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Time between two writes. Streams that began within it are lost with the
/// host's memory.
constexpr std::chrono::milliseconds kWriteInterval{ 200 };

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
}

bool
StreamOriginLog::IsKeepingUp(base::Instant aNow) const
{
  const bool isHanging = isWriting_ && aNow - writtenAt_ > kMaxWriteTime;
  return hasBeenRead_ && !isFailing_ && !isHanging;
}

void
StreamOriginLog::Add(StoredOrigin aRow)
{
  if (pending_.size() < kMaxPending) {
    pending_.push_back(std::move(aRow));
  } else {
    ++leftOut_;
  }
}

void
StreamOriginLog::Tick(base::Instant aNow)
{
  if (!hasBeenRead_ || isWriting_ || pending_.empty() ||
      aNow - writtenAt_ < kWriteInterval) {
    return;
  }
  isWriting_ = true;
  writtenAt_ = aNow;
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
  if (aError.has_value() == isFailing_) {
    return;
  }
  isFailing_ = aError.has_value();
  if (aError) {
    base::Log(kStreamRecordsNotWritten, { { "error", aError->detail_ } });
  } else {
    base::Log(kStreamRecordsWrittenAgain,
              { { "left_out", std::exchange(leftOut_, 0) } });
  }
}

} // namespace pumiceturn::gateway
