#include "LibPartition/PartitionFollower.h"

#include "LibPartition/Events.h"
#include "LibPartition/PartitionCodec.h"

#include <fmt/format.h>

#include <atomic>
#include <random>

namespace pumiceturn::partition {

using base::ResultCode;

struct PartitionFollower::State : std::enable_shared_from_this<State>
{
  State(Options aOptions,
        KeyValueAccess aAccess,
        PartitionTable& aTable,
        base::WorkerPool& aPool,
        Changed aChanged)
    : options_(std::move(aOptions))
    , access_(std::move(aAccess))
    , table_(aTable)
    , pool_(aPool)
    , changed_(std::move(aChanged))
  {
  }

  base::Result<void> LearnCount();
  base::Result<std::uint64_t> Refresh();
  void Take(const platform::KeyValue& aEntry);
  void ReadAndWatch();
  void PostRead(base::Duration aDelay);

  const Options options_;
  const KeyValueAccess access_;
  PartitionTable& table_;
  base::WorkerPool& pool_;
  const Changed changed_;
  std::atomic<bool> hasRead_{ false };

  std::atomic<bool> stopped_{ false };
  std::atomic<bool> watching_{ false };
};

/// Agrees on the fleet's count: the first keeper's proposal is taken. A lost
/// answer needs no care, since the next read shows what was agreed.
base::Result<void>
PartitionFollower::State::LearnCount()
{
  if (table_.Count() != 0) {
    return {};
  }
  const std::string key = LayoutKey(options_.keyPrefix_);
  BOOST_LEAF_AUTO(entry, access_.get_(key));
  if (!entry && options_.proposedCount_ != 0) {
    const std::string value = EncodeLayout(Layout{
      options_.proposedCount_, fmt::format("{}", std::random_device{}()) });
    // Whatever becomes of the proposal, the read below says what was agreed.
    static_cast<void>(base::Capture([&] {
      return access_.compareAndSwap_({ { key, value, 0 } });
    }));
    BOOST_LEAF_ASSIGN(entry, access_.get_(key));
  }
  if (!entry) {
    return base::Fail(ResultCode::NotFound, "no partition count is agreed yet");
  }
  BOOST_LEAF_AUTO(layout, ParseLayout(entry->value_));
  base::Log(kLayoutAgreed, { { "partitions", layout.partitions_ } });
  table_.SetCount(layout.partitions_);
  return {};
}

base::Result<std::uint64_t>
PartitionFollower::State::Refresh()
{
  BOOST_LEAF_CHECK(LearnCount());
  BOOST_LEAF_AUTO(reply, access_.range_(PartitionPrefix(options_.keyPrefix_)));
  for (const platform::KeyValue& entry : reply.entries_) {
    Take(entry);
  }
  hasRead_ = true;
  base::Log(
    kTableRead,
    { { "records", reply.entries_.size() }, { "revision", reply.revision_ } });
  return reply.revision_;
}

void
PartitionFollower::State::Take(const platform::KeyValue& aEntry)
{
  if (stopped_) {
    return;
  }
  const auto outcome = base::Capture(
    [&] { return ParsePartitionRecord(options_.keyPrefix_, aEntry); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    base::Log(kRecordMalformed,
              { { "key", aEntry.key_ }, { "cause", failure->detail_ } });
    return;
  }
  const auto& record = std::get<PartitionRecord>(outcome);
  table_.Update(record);
  if (changed_) {
    changed_(record);
  }
}

void
PartitionFollower::State::ReadAndWatch()
{
  if (stopped_) {
    return;
  }
  const auto outcome = base::Capture([this] { return Refresh(); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    base::Log(kTableUnreadable,
              { { "code", base::NameOf(failure->code_) },
                { "cause", failure->detail_ } });
    PostRead(options_.retryInterval_);
    return;
  }
  if (watching_.exchange(true)) {
    return;
  }
  const std::weak_ptr<State> weak = weak_from_this();
  access_.watch_(
    PartitionPrefix(options_.keyPrefix_),
    std::get<std::uint64_t>(outcome),
    [weak](const platform::WatchEvent& aEvent) {
      const auto self = weak.lock();
      if (self && !aEvent.deleted_) {
        self->Take(aEvent.entry_);
      }
    },
    [weak] {
      if (const auto self = weak.lock()) {
        self->PostRead(base::Duration{ 0 });
      }
    });
}

void
PartitionFollower::State::PostRead(base::Duration aDelay)
{
  pool_.PostAt(base::MonotonicNow() + aDelay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ReadAndWatch();
    }
  });
}

PartitionFollower::PartitionFollower(Options aOptions,
                                     KeyValueAccess aAccess,
                                     PartitionTable& aTable,
                                     base::WorkerPool& aPool,
                                     Changed aChanged)
  : state_(std::make_shared<State>(std::move(aOptions),
                                   std::move(aAccess),
                                   aTable,
                                   aPool,
                                   std::move(aChanged)))
{
}

PartitionFollower::~PartitionFollower()
{
  Stop();
}

void
PartitionFollower::Start()
{
  state_->PostRead(base::Duration{ 0 });
}

base::Result<std::uint64_t>
PartitionFollower::Refresh()
{
  return state_->Refresh();
}

bool
PartitionFollower::HasRead() const
{
  return state_->hasRead_;
}

void
PartitionFollower::Stop()
{
  state_->stopped_ = true;
}

} // namespace pumiceturn::partition
