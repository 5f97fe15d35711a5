#include "LibJobLog/SegmentStore.h"

#include "LibJobLog/Events.h"
#include "LibJobLog/SegmentScan.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

namespace pumiceturn::joblog {

namespace {

using base::ResultCode;

constexpr std::uint64_t kReadWindowBytes = 64U << 10U;
constexpr std::uint64_t kRoomCheckBytes = 16U << 20U;
/// Without writes for so long, the synced end is marked, and room is checked.
constexpr std::chrono::seconds kIdleInterval{ 1 };
constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::string_view kSegmentSuffix = ".log";

struct Segment
{
  base::FilePointer file_;
  SegmentHeader header_;
  std::uint64_t bytes_ = 0;
  std::uint64_t liveEntries_ = 0;
};

/// One call's records, as they wait for the sync thread.
struct Request
{
  std::uint32_t partition_ = 0;
  RecordKind kind_ = RecordKind::Entry;
  std::vector<wire::LogEntry> entries_; ///< Of kind Entry.
  std::vector<std::uint64_t> checksums_;
  CopyState state_; ///< Of the other kinds.
  std::uint64_t bytes_ = 0;
  SegmentStore::Done done_;
  ResultCode code_ = ResultCode::Ok;
};

std::string
SegmentPath(const std::string& aFolder, std::uint32_t aNumber)
{
  return fmt::format(
    "{}/{}{:08}{}", aFolder, kSegmentPrefix, aNumber, kSegmentSuffix);
}

/// @return the number in a segment file's name, or 0 for another file.
std::uint32_t
SegmentNumber(const std::string& aName)
{
  if (!aName.starts_with(kSegmentPrefix) || !aName.ends_with(kSegmentSuffix)) {
    return 0;
  }
  const std::string digits =
    aName.substr(kSegmentPrefix.size(),
                 aName.size() - kSegmentPrefix.size() - kSegmentSuffix.size());
  constexpr std::size_t kMaxDigits = 9;
  const bool allDigits =
    std::all_of(digits.begin(), digits.end(), [](char aChar) {
      return aChar >= '0' && aChar <= '9';
    });
  if (digits.empty() || digits.size() > kMaxDigits || !allDigits) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::stoul(digits));
}

base::Result<std::vector<std::uint32_t>>
ListSegments(const std::string& aFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  std::vector<std::uint32_t> numbers;
  for (std::filesystem::directory_iterator entry(aFolder, error), end;
       !error && entry != end;
       entry.increment(error)) {
    const std::uint32_t number =
      SegmentNumber(entry->path().filename().string());
    if (number != 0) {
      numbers.push_back(number);
    }
  }
  if (error) {
    return base::Fail(ResultCode::InputOutput,
                      fmt::format("{}: {}", aFolder, error.message()));
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

RecordHeader
StateHeader(std::uint32_t aPartition,
            RecordKind aKind,
            const CopyState& aState,
            std::string_view aPayload)
{
  return RecordHeader{ aKind,
                       aPartition,
                       static_cast<std::uint32_t>(aPayload.size()),
                       aState.sealedEpoch_,
                       aState.firstSequence_,
                       PayloadChecksum(aPayload) };
}

void
AppendStateRecord(std::string& aBuffer,
                  std::uint32_t aPartition,
                  RecordKind aKind,
                  const CopyState& aState,
                  std::uint64_t aSalt)
{
  const std::string payload = EncodeCopyState(aState);
  AppendRecord(
    aBuffer, StateHeader(aPartition, aKind, aState, payload), payload, aSalt);
}

void
AppendGroupRecord(std::string& aBuffer, std::uint64_t aSalt)
{
  RecordHeader header;
  header.kind_ = RecordKind::Group;
  header.payloadChecksum_ = PayloadChecksum({});
  AppendRecord(aBuffer, header, {}, aSalt);
}

/// Reads records of one segment at rising offsets with few system calls.
class WindowReader
{
public:
  WindowReader(base::FilePointer aFile, std::uint64_t aSalt)
    : file_(std::move(aFile))
    , salt_(aSalt)
  {
  }

  [[nodiscard]] const base::File* Source() const { return file_.get(); }

  /// @return CorruptRecord where the bytes fail a checksum.
  base::Result<std::pair<RecordHeader, std::string>> ReadRecord(
    std::uint64_t aOffset)
  {
    BOOST_LEAF_AUTO(headerBytes, Take(aOffset, kRecordHeaderBytes));
    const auto header = DecodeRecordHeader(headerBytes, salt_);
    if (!header) {
      return base::Fail(ResultCode::CorruptRecord, "record header");
    }
    BOOST_LEAF_AUTO(payload,
                    Take(aOffset + kRecordHeaderBytes, header->length_));
    if (payload.size() != header->length_ ||
        PayloadChecksum(payload) != header->payloadChecksum_) {
      return base::Fail(ResultCode::CorruptRecord, "record payload");
    }
    return std::pair{ *header, std::string(payload) };
  }

private:
  /// @return fewer bytes only at the file's end.
  base::Result<std::string_view> Take(std::uint64_t aOffset,
                                      std::uint64_t aLength)
  {
    const bool held =
      aOffset >= begin_ && aOffset + aLength <= begin_ + window_.size();
    if (!held) {
      BOOST_LEAF_ASSIGN(
        window_,
        base::ReadBytes(*file_, aOffset, std::max(aLength, kReadWindowBytes)));
      begin_ = aOffset;
    }
    return std::string_view(window_).substr(aOffset - begin_, aLength);
  }

  base::FilePointer file_;
  std::uint64_t salt_;
  std::uint64_t begin_ = 0;
  std::string window_;
};

} // namespace

struct SegmentStore::State
{
  Options options_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Request> queue_;
  bool stopping_ = false;
  std::map<std::uint32_t, Segment> segments_;
  std::unordered_map<std::uint32_t, CopyIndex> copies_;

  // Of Load(), then of the sync thread alone.
  bool headerLost_ = false;
  bool endMarked_ = true;
  std::uint64_t bytesSinceRoomCheck_ = 0;

  std::atomic<bool> failed_{ false };
  std::atomic<bool> hasRoom_{ true };
  std::atomic<std::uint64_t> syncs_{ 0 };
  std::thread syncThread_;

  base::Result<void> Load();
  base::Result<void> LoadSegment(std::uint32_t aNumber, SegmentPlace aPlace);
  base::Result<void> ScanFile(Segment& aSegment, SegmentPlace aPlace);
  void ApplyRecord(std::uint32_t aSegment,
                   const RecordHeader& aHeader,
                   std::uint64_t aOffset,
                   std::string_view aPayload);
  void ApplyDamage(std::uint32_t aSegment, const Damage& aDamage);
  void ReportDamagedCopies();

  CopyIndex::Dropped Dropper();
  base::Result<void> BeginSegment();
  void Enqueue(Request aRequest);

  void RunSyncThread();
  std::vector<Request> TakeGroup();
  void CheckOrder(std::vector<Request>& aGroup) const;
  std::string EncodeGroup(const std::vector<Request>& aGroup) const;
  void WriteGroup(std::vector<Request>& aGroup);
  base::Result<void> WriteBytes(const std::string& aBytes);
  base::Result<void> RollIfFull(std::size_t aBytes);
  std::vector<std::vector<LogPosition>> Publish(
    const std::vector<Request>& aGroup,
    std::uint64_t aOffset);
  void Apply(const Request& aRequest,
             std::uint64_t& aOffset,
             std::vector<LogPosition>& aPositions);
  void DeleteUnneededSegments();
  void MarkEnd();
  void CheckRoom();
};

// --- Reading at start ---

base::Result<void>
SegmentStore::State::Load()
{
  BOOST_LEAF_AUTO(numbers, ListSegments(options_.folder_));
  for (const std::uint32_t number : numbers) {
    BOOST_LEAF_CHECK(LoadSegment(
      number,
      number == numbers.back() ? SegmentPlace::Newest : SegmentPlace::Earlier));
  }
  ReportDamagedCopies();
  // Always a new segment: its first group has every copy's state, which the
  // last one lacks if the host stopped right after it began it.
  BOOST_LEAF_CHECK(BeginSegment());
  base::Log(kStoreOpened,
            { { "folder", options_.folder_ },
              { "segments", segments_.size() },
              { "partitions", copies_.size() } });
  return {};
}

base::Result<void>
SegmentStore::State::LoadSegment(std::uint32_t aNumber, SegmentPlace aPlace)
{
  const std::string path = SegmentPath(options_.folder_, aNumber);
  BOOST_LEAF_AUTO(file, base::OpenFile(path));
  BOOST_LEAF_AUTO(bytes, base::FileBytes(*file));
  BOOST_LEAF_AUTO(head, base::ReadBytes(*file, 0, kSegmentHeaderBytes));
  const auto header = DecodeSegmentHeader(head);
  if (header && header->number_ == aNumber) {
    Segment& segment = segments_[aNumber];
    segment = Segment{ std::move(file), *header, bytes, 0 };
    return ScanFile(segment, aPlace);
  }
  if (aPlace == SegmentPlace::Newest && bytes <= kSegmentHeaderBytes) {
    // The host stopped while it began this segment: no group is in it, since
    // the header is synced before the first group.
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
    return {};
  }
  // Without its header no record of the segment can be told from chance bytes.
  ApplyDamage(aNumber, Damage{});
  return {};
}

base::Result<void>
SegmentStore::State::ScanFile(Segment& aSegment, SegmentPlace aPlace)
{
  const std::uint32_t number = aSegment.header_.number_;
  BOOST_LEAF_AUTO(bytes, base::ReadBytes(*aSegment.file_, 0, aSegment.bytes_));
  const SegmentVisitor visitor{
    [&](const RecordHeader& aHeader,
        std::uint64_t aOffset,
        std::string_view aPayload) {
      ApplyRecord(number, aHeader, aOffset, aPayload);
    },
    [&](const Damage& aDamage) { ApplyDamage(number, aDamage); }
  };
  const std::uint64_t end =
    ScanSegment(bytes, aSegment.header_.salt_, aPlace, visitor);
  if (end == bytes.size()) {
    return {};
  }
  base::Log(kTornTailCut,
            { { "segment", number },
              { "offset", end },
              { "bytes", bytes.size() - end } });
  BOOST_LEAF_CHECK(base::TruncateFile(*aSegment.file_, end));
  BOOST_LEAF_CHECK(options_.disk_.sync_(*aSegment.file_));
  aSegment.bytes_ = end;
  return {};
}

void
SegmentStore::State::ApplyRecord(std::uint32_t aSegment,
                                 const RecordHeader& aHeader,
                                 std::uint64_t aOffset,
                                 std::string_view aPayload)
{
  if (aHeader.kind_ == RecordKind::Group) {
    return;
  }
  auto [found, isNew] = copies_.try_emplace(aHeader.partition_);
  CopyIndex& copy = found->second;
  if (isNew && headerLost_) {
    // Its earlier records, a seal among them, may be the lost ones.
    copy.MarkDamaged();
  }
  if (aHeader.kind_ == RecordKind::Entry) {
    ++segments_[aSegment].liveEntries_;
    copy.AddEntry(
      aHeader,
      CopyIndex::Place{ aSegment, static_cast<std::uint32_t>(aOffset) },
      Dropper());
    return;
  }
  const auto state = DecodeCopyState(aHeader, aPayload);
  if (!state) {
    copy.MarkDamaged();
    return;
  }
  if (aHeader.kind_ == RecordKind::Reset) {
    copy.Reset(*state, Dropper());
  } else {
    copy.ApplyState(*state, Dropper());
  }
}

void
SegmentStore::State::ApplyDamage(std::uint32_t aSegment, const Damage& aDamage)
{
  base::Log(kRecordDamaged,
            { { "segment", aSegment },
              { "offset", aDamage.offset_ },
              { "partition",
                aDamage.kind_ == DamageKind::Payload
                  ? fmt::to_string(aDamage.header_.partition_)
                  : "any" } });
  if (aDamage.kind_ == DamageKind::Payload) {
    CopyIndex& copy = copies_[aDamage.header_.partition_];
    if (aDamage.header_.kind_ == RecordKind::Entry) {
      // Kept in the index, so that a read says CorruptRecord and not less.
      ++segments_[aSegment].liveEntries_;
      copy.AddEntry(aDamage.header_,
                    CopyIndex::Place{
                      aSegment, static_cast<std::uint32_t>(aDamage.offset_) },
                    Dropper());
    }
    copy.MarkDamaged();
    return;
  }
  headerLost_ = true;
  for (auto& [partition, copy] : copies_) {
    copy.MarkDamaged();
  }
}

void
SegmentStore::State::ReportDamagedCopies()
{
  // The mark outlives the damaged segment, which may be deleted one day.
  for (auto& [partition, copy] : copies_) {
    const CopySummary& summary = copy.Summary();
    if (!summary.damaged_ || summary.state_.incomplete_) {
      continue;
    }
    Request request;
    request.partition_ = partition;
    request.kind_ = RecordKind::State;
    request.state_ = summary.state_;
    request.state_.incomplete_ = true;
    request.bytes_ = RecordBytes(EncodeCopyState(request.state_).size());
    request.done_ = [](ResultCode, std::span<const LogPosition>) {};
    queue_.push_back(std::move(request));
  }
}

CopyIndex::Dropped
SegmentStore::State::Dropper()
{
  return [this](std::uint32_t aSegment) {
    Segment& segment = segments_[aSegment];
    assert(segment.liveEntries_ > 0);
    --segment.liveEntries_;
  };
}

// --- Writing ---

/// Creates the next file, with the state of every copy as its first group, so
/// that earlier segments can be deleted without losing one. The header is
/// durable before the group is written: a bad header in a longer file is damage
/// then, and never a half-made segment.
base::Result<void>
SegmentStore::State::BeginSegment()
{
  std::random_device random;
  SegmentHeader header;
  std::string states;
  {
    const std::lock_guard lock(mutex_);
    header.number_ = segments_.empty() ? 1 : segments_.rbegin()->first + 1;
    header.salt_ = (std::uint64_t{ random() } << 32U) | random();
    AppendGroupRecord(states, header.salt_);
    for (const auto& [partition, copy] : copies_) {
      AppendStateRecord(states,
                        partition,
                        RecordKind::State,
                        copy.Summary().state_,
                        header.salt_);
    }
  }
  BOOST_LEAF_AUTO(
    file, base::OpenFile(SegmentPath(options_.folder_, header.number_)));
  BOOST_LEAF_CHECK(base::TruncateFile(*file, 0));
  BOOST_LEAF_CHECK(
    options_.disk_.write_(*file, EncodeSegmentHeader(header), 0));
  BOOST_LEAF_CHECK(options_.disk_.sync_(*file));
  BOOST_LEAF_CHECK(base::SyncFolder(options_.folder_));
  BOOST_LEAF_CHECK(options_.disk_.write_(*file, states, kSegmentHeaderBytes));
  BOOST_LEAF_CHECK(options_.disk_.sync_(*file));
  const std::lock_guard lock(mutex_);
  segments_[header.number_] =
    Segment{ std::move(file), header, kSegmentHeaderBytes + states.size(), 0 };
  return {};
}

void
SegmentStore::State::Enqueue(Request aRequest)
{
  {
    const std::lock_guard lock(mutex_);
    if (!stopping_) {
      queue_.push_back(std::move(aRequest));
      wake_.notify_one();
      return;
    }
  }
  aRequest.done_(ResultCode::Draining, {});
}

void
SegmentStore::State::RunSyncThread()
{
  for (;;) {
    std::vector<Request> group = TakeGroup();
    if (group.empty()) {
      MarkEnd();
      CheckRoom();
      const std::lock_guard lock(mutex_);
      if (stopping_ && queue_.empty()) {
        return;
      }
      continue;
    }
    WriteGroup(group);
  }
}

/// @return nothing after an idle interval or Stop().
std::vector<Request>
SegmentStore::State::TakeGroup()
{
  std::vector<Request> group;
  std::unique_lock lock(mutex_);
  wake_.wait_for(
    lock, kIdleInterval, [this] { return stopping_ || !queue_.empty(); });
  std::uint64_t bytes = 0;
  while (!queue_.empty()) {
    bytes += queue_.front().bytes_;
    if (!group.empty() && bytes > kMaxGroupBytes) {
      break;
    }
    group.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return group;
}

/// Refuses entries that would leave a gap behind a request that failed: when
/// the disk was full for a moment, later entries may already be queued.
void
SegmentStore::State::CheckOrder(std::vector<Request>& aGroup) const
{
  std::unordered_map<std::uint32_t, std::uint64_t> lastSequences;
  const std::lock_guard lock(mutex_);
  for (Request& request : aGroup) {
    auto [last, isNew] = lastSequences.try_emplace(request.partition_, 0);
    if (const auto copy = copies_.find(request.partition_);
        isNew && copy != copies_.end()) {
      last->second = copy->second.Summary().lastSequence_;
    }
    switch (request.kind_) {
      case RecordKind::Entry:
        if (request.entries_.front().sequence_ > last->second + 1) {
          request.code_ = ResultCode::LogGap;
          break;
        }
        last->second = request.entries_.back().sequence_;
        break;
      case RecordKind::State:
        last->second =
          std::max(last->second, request.state_.firstSequence_ - 1);
        break;
      case RecordKind::Reset:
      case RecordKind::Group:
        last->second = request.state_.firstSequence_ - 1;
        break;
    }
  }
}

std::string
SegmentStore::State::EncodeGroup(const std::vector<Request>& aGroup) const
{
  const std::uint64_t salt = segments_.rbegin()->second.header_.salt_;
  std::string bytes;
  std::uint64_t expected = kRecordHeaderBytes;
  for (const Request& request : aGroup) {
    expected += request.bytes_;
  }
  bytes.reserve(expected);
  AppendGroupRecord(bytes, salt);
  for (const Request& request : aGroup) {
    if (request.code_ != ResultCode::Ok) {
      continue;
    }
    if (request.kind_ != RecordKind::Entry) {
      AppendStateRecord(
        bytes, request.partition_, request.kind_, request.state_, salt);
      continue;
    }
    for (std::size_t index = 0; index < request.entries_.size(); ++index) {
      const wire::LogEntry& entry = request.entries_[index];
      const RecordHeader header{ RecordKind::Entry,
                                 request.partition_,
                                 static_cast<std::uint32_t>(
                                   entry.payload_.size()),
                                 entry.epoch_,
                                 entry.sequence_,
                                 request.checksums_[index] };
      AppendRecord(bytes, header, entry.payload_, salt);
    }
  }
  return bytes;
}

void
SegmentStore::State::WriteGroup(std::vector<Request>& aGroup)
{
  CheckOrder(aGroup);
  std::uint64_t offset = 0;
  std::size_t written = 0;
  const auto outcome = base::Capture([&]() -> base::Result<void> {
    if (failed_) {
      return base::Fail(ResultCode::InputOutput, "an earlier write failed");
    }
    std::uint64_t expected = kRecordHeaderBytes;
    for (const Request& request : aGroup) {
      expected += request.bytes_;
    }
    BOOST_LEAF_CHECK(RollIfFull(expected));
    const std::string bytes = EncodeGroup(aGroup);
    offset = segments_.rbegin()->second.bytes_;
    written = bytes.size();
    return WriteBytes(bytes);
  });
  std::vector<std::vector<LogPosition>> positions(aGroup.size());
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    for (Request& request : aGroup) {
      request.code_ = failure->code_;
    }
  } else {
    positions = Publish(aGroup, offset);
    bytesSinceRoomCheck_ += written;
    endMarked_ = false;
  }
  if (bytesSinceRoomCheck_ >= kRoomCheckBytes) {
    CheckRoom();
  }
  DeleteUnneededSegments();
  for (std::size_t index = 0; index < aGroup.size(); ++index) {
    aGroup[index].done_(aGroup[index].code_, positions[index]);
  }
}

/// Writes behind the newest segment's end and syncs.
///
/// After a failed sync the kernel may have dropped the pages and call the next
/// sync a success, so the store is not written again by this process. A write
/// that found no room is taken back, since nothing of it was promised.
base::Result<void>
SegmentStore::State::WriteBytes(const std::string& aBytes)
{
  Segment& segment = segments_.rbegin()->second;
  const auto write = base::Capture([&] {
    return options_.disk_.write_(*segment.file_, aBytes, segment.bytes_);
  });
  const auto* failure = std::get_if<base::Failure>(&write);
  if (failure == nullptr) {
    const auto sync =
      base::Capture([&] { return options_.disk_.sync_(*segment.file_); });
    failure = std::get_if<base::Failure>(&sync);
    if (failure == nullptr) {
      syncs_.fetch_add(1, std::memory_order_relaxed);
      const std::lock_guard lock(mutex_);
      segment.bytes_ += aBytes.size();
      return {};
    }
    failed_ = true;
    base::Log(kStoreFailed, { { "cause", failure->detail_ } });
    return base::Fail(ResultCode::InputOutput, failure->detail_);
  }
  const auto cut = base::Capture(
    [&] { return base::TruncateFile(*segment.file_, segment.bytes_); });
  if (failure->code_ != ResultCode::DiskFull ||
      std::holds_alternative<base::Failure>(cut)) {
    failed_ = true;
    base::Log(kStoreFailed, { { "cause", failure->detail_ } });
  }
  return base::Fail(failure->code_, failure->detail_);
}

base::Result<void>
SegmentStore::State::RollIfFull(std::size_t aBytes)
{
  const Segment& segment = segments_.rbegin()->second;
  if (segment.bytes_ <= kSegmentHeaderBytes ||
      segment.bytes_ + aBytes <= options_.segmentBytes_) {
    return {};
  }
  // The header of a segment says that all before it is durable and whole; so
  // does this mark for one who looks at the earlier file alone.
  MarkEnd();
  return BeginSegment();
}

std::vector<std::vector<LogPosition>>
SegmentStore::State::Publish(const std::vector<Request>& aGroup,
                             std::uint64_t aOffset)
{
  std::vector<std::vector<LogPosition>> positions(aGroup.size());
  std::uint64_t offset = aOffset + kRecordHeaderBytes;
  const std::lock_guard lock(mutex_);
  for (std::size_t index = 0; index < aGroup.size(); ++index) {
    if (aGroup[index].code_ == ResultCode::Ok) {
      Apply(aGroup[index], offset, positions[index]);
    }
  }
  return positions;
}

void
SegmentStore::State::Apply(const Request& aRequest,
                           std::uint64_t& aOffset,
                           std::vector<LogPosition>& aPositions)
{
  CopyIndex& copy = copies_[aRequest.partition_];
  if (aRequest.kind_ != RecordKind::Entry) {
    aOffset += aRequest.bytes_;
    if (aRequest.kind_ == RecordKind::Reset) {
      copy.Reset(aRequest.state_, Dropper());
    } else {
      copy.ApplyState(aRequest.state_, Dropper());
    }
    return;
  }
  const auto number = segments_.rbegin()->first;
  aPositions.reserve(aRequest.entries_.size());
  for (const wire::LogEntry& entry : aRequest.entries_) {
    RecordHeader header;
    header.epoch_ = entry.epoch_;
    header.sequence_ = entry.sequence_;
    ++segments_[number].liveEntries_;
    copy.AddEntry(
      header,
      CopyIndex::Place{ number, static_cast<std::uint32_t>(aOffset) },
      Dropper());
    aPositions.push_back(LogPosition{
      number, static_cast<std::uint32_t>(entry.payload_.size()), aOffset });
    aOffset += RecordBytes(entry.payload_.size());
  }
}

void
SegmentStore::State::DeleteUnneededSegments()
{
  for (;;) {
    std::uint32_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      const auto oldest = segments_.begin();
      if (segments_.size() < 2 || oldest->second.liveEntries_ > 0) {
        return;
      }
      number = oldest->first;
      segments_.erase(oldest);
    }
    std::error_code ignored;
    std::filesystem::remove(SegmentPath(options_.folder_, number), ignored);
    base::Log(kSegmentDeleted, { { "segment", number } });
  }
}

/// Writes an empty group behind the last one, so that a later flipped bit in
/// that one is not taken for a torn tail.
void
SegmentStore::State::MarkEnd()
{
  if (endMarked_ || failed_) {
    return;
  }
  std::string bytes;
  AppendGroupRecord(bytes, segments_.rbegin()->second.header_.salt_);
  const auto outcome = base::Capture([&] { return WriteBytes(bytes); });
  endMarked_ = std::holds_alternative<std::monostate>(outcome);
}

void
SegmentStore::State::CheckRoom()
{
  bytesSinceRoomCheck_ = 0;
  const std::uint64_t free = options_.disk_.freeBytes_(options_.folder_);
  const bool hasRoom = free >= options_.reserveBytes_;
  if (hasRoom_.exchange(hasRoom) == hasRoom) {
    return;
  }
  base::Log(
    hasRoom ? kDiskHasRoom : kDiskFull,
    { { "free_bytes", free }, { "reserve_bytes", options_.reserveBytes_ } });
}

// --- The store ---

SegmentStore::SegmentStore(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

SegmentStore::~SegmentStore()
{
  Stop();
}

base::Result<std::unique_ptr<SegmentStore>>
SegmentStore::Open(Options aOptions)
{
  auto state = std::make_unique<State>();
  state->options_ = std::move(aOptions);
  state->options_.segmentBytes_ =
    std::min(state->options_.segmentBytes_, kMaxSegmentBytes);
  BOOST_LEAF_CHECK(state->Load());
  state->CheckRoom();
  State* raw = state.get();
  state->syncThread_ = std::thread([raw] { raw->RunSyncThread(); });
  return std::unique_ptr<SegmentStore>(new SegmentStore(std::move(state)));
}

void
SegmentStore::AppendEntries(std::uint32_t aPartition,
                            std::vector<wire::LogEntry> aEntries,
                            Done aDone)
{
  assert(!aEntries.empty());
  Request request;
  request.partition_ = aPartition;
  request.entries_ = std::move(aEntries);
  request.done_ = std::move(aDone);
  // Here, on the caller's thread, since the sync thread is the one that limits.
  request.checksums_.reserve(request.entries_.size());
  for (const wire::LogEntry& entry : request.entries_) {
    request.checksums_.push_back(PayloadChecksum(entry.payload_));
    request.bytes_ += RecordBytes(entry.payload_.size());
  }
  state_->Enqueue(std::move(request));
}

namespace {

Request
MakeStateRequest(std::uint32_t aPartition,
                 RecordKind aKind,
                 const CopyState& aState,
                 SegmentStore::Done aDone)
{
  Request request;
  request.partition_ = aPartition;
  request.kind_ = aKind;
  request.state_ = aState;
  request.bytes_ = RecordBytes(EncodeCopyState(aState).size());
  request.done_ = std::move(aDone);
  return request;
}

} // namespace

void
SegmentStore::SaveState(std::uint32_t aPartition,
                        const CopyState& aState,
                        Done aDone)
{
  state_->Enqueue(
    MakeStateRequest(aPartition, RecordKind::State, aState, std::move(aDone)));
}

void
SegmentStore::Reset(std::uint32_t aPartition,
                    const CopyState& aState,
                    Done aDone)
{
  state_->Enqueue(
    MakeStateRequest(aPartition, RecordKind::Reset, aState, std::move(aDone)));
}

base::Result<std::string>
SegmentStore::Read(LogPosition aPosition) const
{
  base::FilePointer file;
  std::uint64_t salt = 0;
  {
    const std::lock_guard lock(state_->mutex_);
    const auto segment = state_->segments_.find(aPosition.segment_);
    if (segment == state_->segments_.end()) {
      return base::Fail(ResultCode::NotFound, "segment was deleted");
    }
    file = segment->second.file_;
    salt = segment->second.header_.salt_;
  }
  BOOST_LEAF_AUTO(bytes,
                  base::ReadBytes(*file,
                                  aPosition.offset_,
                                  kRecordHeaderBytes + aPosition.length_));
  const auto header = DecodeRecordHeader(bytes, salt);
  if (!header || header->length_ != aPosition.length_) {
    return base::Fail(ResultCode::CorruptRecord, "record header");
  }
  bytes.erase(0, kRecordHeaderBytes);
  if (PayloadChecksum(bytes) != header->payloadChecksum_) {
    return base::Fail(ResultCode::CorruptRecord, "record payload");
  }
  return bytes;
}

base::Result<std::vector<StoredEntry>>
SegmentStore::ReadEntries(std::uint32_t aPartition,
                          std::uint64_t aFromSequence,
                          std::uint64_t aMaxBytes) const
{
  std::vector<StoredEntry> entries;
  std::uint64_t bytes = 0;
  std::unique_ptr<WindowReader> reader;
  for (std::uint64_t sequence = aFromSequence; bytes < aMaxBytes; ++sequence) {
    CopyIndex::Place place;
    Segment segment;
    {
      const std::lock_guard lock(state_->mutex_);
      const auto copy = state_->copies_.find(aPartition);
      if (copy == state_->copies_.end()) {
        break;
      }
      const CopySummary& summary = copy->second.Summary();
      if (sequence < summary.state_.firstSequence_ ||
          sequence > summary.lastSequence_) {
        break;
      }
      place = copy->second.PlaceOf(sequence);
      segment = state_->segments_.at(place.segment_);
    }
    if (!reader || reader->Source() != segment.file_.get()) {
      reader =
        std::make_unique<WindowReader>(segment.file_, segment.header_.salt_);
    }
    BOOST_LEAF_AUTO(record, reader->ReadRecord(place.offset_));
    auto& [header, payload] = record;
    if (header.sequence_ != sequence || header.partition_ != aPartition) {
      return base::Fail(ResultCode::CorruptRecord, "record of another entry");
    }
    bytes += payload.size() + kRecordHeaderBytes;
    entries.push_back(StoredEntry{
      wire::LogEntry{ header.sequence_, header.epoch_, std::move(payload) },
      LogPosition{ place.segment_, header.length_, place.offset_ } });
  }
  return entries;
}

CopySummary
SegmentStore::SummaryOf(std::uint32_t aPartition) const
{
  const std::lock_guard lock(state_->mutex_);
  const auto copy = state_->copies_.find(aPartition);
  return copy == state_->copies_.end() ? CopySummary{} : copy->second.Summary();
}

std::vector<std::uint32_t>
SegmentStore::Partitions() const
{
  const std::lock_guard lock(state_->mutex_);
  std::vector<std::uint32_t> partitions;
  for (const auto& [partition, copy] : state_->copies_) {
    partitions.push_back(partition);
  }
  std::sort(partitions.begin(), partitions.end());
  return partitions;
}

void
SegmentStore::MarkDamaged(std::uint32_t aPartition)
{
  const std::lock_guard lock(state_->mutex_);
  state_->copies_[aPartition].MarkDamaged();
}

bool
SegmentStore::HasFailed() const
{
  return state_->failed_;
}

bool
SegmentStore::HasRoom() const
{
  return state_->hasRoom_;
}

void
SegmentStore::RefreshRoom()
{
  const std::uint64_t free =
    state_->options_.disk_.freeBytes_(state_->options_.folder_);
  state_->hasRoom_ = free >= state_->options_.reserveBytes_;
}

std::uint64_t
SegmentStore::Bytes() const
{
  const std::lock_guard lock(state_->mutex_);
  std::uint64_t bytes = 0;
  for (const auto& [number, segment] : state_->segments_) {
    bytes += segment.bytes_;
  }
  return bytes;
}

std::uint64_t
SegmentStore::SyncCount() const
{
  return state_->syncs_.load(std::memory_order_relaxed);
}

void
SegmentStore::Stop()
{
  {
    const std::lock_guard lock(state_->mutex_);
    if (state_->stopping_) {
      return;
    }
    state_->stopping_ = true;
  }
  state_->wake_.notify_all();
  state_->syncThread_.join();
}

} // namespace pumiceturn::joblog
