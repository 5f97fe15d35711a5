#include "LibJobs/RecordCodec.h"

#include <JobLog.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <utility>

namespace pumiceturn::jobs {

namespace {

/// Bounds the traversal of a corrupt message, which may refer to the same bytes
/// many times. Far above several megabytes, which a valid record may hold.
constexpr std::uint64_t kTraversalLimitWords = 64U << 20U;

std::string
ToString(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

std::string
ToBytes(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Text::Reader
ToTextReader(const std::string& aText)
{
  return { aText.data(), aText.size() };
}

capnp::Data::Reader
ToDataReader(const std::string& aBytes)
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

void
Write(const base::JobId& aId, schema::Id::Builder aBuilder)
{
  aBuilder.setHigh(aId.high_);
  aBuilder.setLow(aId.low_);
}

base::JobId
ReadId(schema::Id::Reader aReader)
{
  return { aReader.getHigh(), aReader.getLow() };
}

void
Write(const base::RunId& aRun, schema::Run::Builder aBuilder)
{
  Write(aRun.job_, aBuilder.initJob());
  aBuilder.setItem(aRun.item_);
  aBuilder.setAttempt(aRun.attempt_);
}

base::RunId
ReadRun(schema::Run::Reader aReader)
{
  return { ReadId(aReader.getJob()), aReader.getItem(), aReader.getAttempt() };
}

void
Write(const wire::JobDescription& aJob,
      schema::JobDescription::Builder aBuilder)
{
  Write(aJob.id_, aBuilder.initId());
  aBuilder.setPartner(ToTextReader(aJob.partner_));
  aBuilder.setService(ToTextReader(aJob.service_));
  aBuilder.setKind(ToTextReader(aJob.kind_));
  aBuilder.setKey(ToTextReader(aJob.key_));
  aBuilder.setDigest(aJob.digest_);
  aBuilder.setItemCount(aJob.itemCount_);
  aBuilder.setDueUnixMs(aJob.dueUnixMs_);
  aBuilder.setRetentionS(aJob.retentionS_);
  aBuilder.setMaxTokens(aJob.maxTokens_);
  aBuilder.setMaxAttempts(aJob.maxAttempts_);
  aBuilder.setOnline(aJob.online_);
  aBuilder.setIdempotent(aJob.idempotent_);
}

wire::JobDescription
ReadDescription(schema::JobDescription::Reader aReader)
{
  wire::JobDescription job;
  job.id_ = ReadId(aReader.getId());
  job.partner_ = ToString(aReader.getPartner());
  job.service_ = ToString(aReader.getService());
  job.kind_ = ToString(aReader.getKind());
  job.key_ = ToString(aReader.getKey());
  job.digest_ = aReader.getDigest();
  job.itemCount_ = aReader.getItemCount();
  job.dueUnixMs_ = aReader.getDueUnixMs();
  job.retentionS_ = aReader.getRetentionS();
  job.maxTokens_ = aReader.getMaxTokens();
  job.maxAttempts_ = aReader.getMaxAttempts();
  job.online_ = aReader.getOnline();
  job.idempotent_ = aReader.getIdempotent();
  return job;
}

void
Write(const wire::ItemResult& aResult, schema::ItemResult::Builder aBuilder)
{
  aBuilder.setPosition(aResult.position_);
  aBuilder.setItem(aResult.item_);
  aBuilder.setName(ToTextReader(aResult.name_));
  aBuilder.setCode(static_cast<std::uint16_t>(aResult.code_));
  aBuilder.setRan(static_cast<std::uint8_t>(aResult.ran_));
  aBuilder.setText(ToDataReader(aResult.text_));
  aBuilder.setTokens(aResult.tokens_);
  aBuilder.setDetail(ToTextReader(aResult.detail_));
}

wire::ItemResult
ReadResult(schema::ItemResult::Reader aReader, PayloadMode aPayloadMode)
{
  wire::ItemResult result;
  result.position_ = aReader.getPosition();
  result.item_ = aReader.getItem();
  result.code_ = static_cast<base::ResultCode>(aReader.getCode());
  result.ran_ = static_cast<base::Ran>(aReader.getRan());
  result.tokens_ = aReader.getTokens();
  if (aPayloadMode == PayloadMode::Read) {
    result.name_ = ToString(aReader.getName());
    result.text_ = ToBytes(aReader.getText());
    result.detail_ = ToString(aReader.getDetail());
  }
  return result;
}

/// Writes a record body to the union of the Cap'n Proto record.
struct BodyWriter
{
  schema::Record::Builder record_;

  void operator()(const JobOpened& aBody)
  {
    Write(aBody.job_, record_.initJobOpened());
  }

  void operator()(const ItemsAccepted& aBody)
  {
    auto accepted = record_.initItemsAccepted();
    Write(aBody.job_, accepted.initJob());
    accepted.setFirstItem(aBody.firstItem_);
    auto items = accepted.initItems(static_cast<unsigned>(aBody.items_.size()));
    for (unsigned index = 0; index < items.size(); ++index) {
      items[index].setName(ToTextReader(aBody.items_[index].name_));
      items[index].setPayload(ToDataReader(aBody.items_[index].payload_));
    }
  }

  void operator()(const JobAccepted& aBody)
  {
    Write(aBody.job_, record_.initJobAccepted());
  }

  void operator()(const ItemsEnded& aBody)
  {
    auto ended =
      record_.initItemsEnded(static_cast<unsigned>(aBody.ended_.size()));
    for (unsigned index = 0; index < ended.size(); ++index) {
      Write(aBody.ended_[index].run_, ended[index].initRun());
      Write(aBody.ended_[index].result_, ended[index].initResult());
    }
  }

  void operator()(const ItemStarted& aBody)
  {
    auto started = record_.initItemStarted();
    Write(aBody.run_, started.initRun());
    started.setEndpoint(ToTextReader(aBody.endpoint_));
  }

  void operator()(const JobCancelled& aBody)
  {
    Write(aBody.job_, record_.initJobCancelled().initJob());
  }

  void operator()(const EpochStarted& aBody)
  {
    auto started = record_.initEpochStarted();
    started.setEpoch(aBody.epoch_);
    started.setOwner(ToTextReader(aBody.owner_));
  }
};

ItemsAccepted
ReadItemsAccepted(schema::ItemsAccepted::Reader aReader,
                  PayloadMode aPayloadMode)
{
  ItemsAccepted accepted;
  accepted.job_ = ReadId(aReader.getJob());
  accepted.firstItem_ = aReader.getFirstItem();
  accepted.items_.resize(aReader.getItems().size());
  if (aPayloadMode == PayloadMode::Skip) {
    return accepted;
  }
  std::size_t index = 0;
  for (auto item : aReader.getItems()) {
    accepted.items_[index].name_ = ToString(item.getName());
    accepted.items_[index].payload_ = ToBytes(item.getPayload());
    ++index;
  }
  return accepted;
}

ItemsEnded
ReadItemsEnded(capnp::List<schema::ItemEnded>::Reader aReader,
               PayloadMode aPayloadMode)
{
  ItemsEnded ended;
  ended.ended_.reserve(aReader.size());
  for (auto item : aReader) {
    ended.ended_.push_back(
      { ReadRun(item.getRun()), ReadResult(item.getResult(), aPayloadMode) });
  }
  return ended;
}

base::Result<RecordBody>
ReadBody(schema::Record::Reader aRecord, PayloadMode aPayloadMode)
{
  switch (aRecord.which()) {
    case schema::Record::JOB_OPENED:
      return JobOpened{ ReadDescription(aRecord.getJobOpened()) };
    case schema::Record::ITEMS_ACCEPTED:
      return ReadItemsAccepted(aRecord.getItemsAccepted(), aPayloadMode);
    case schema::Record::JOB_ACCEPTED:
      return JobAccepted{ ReadId(aRecord.getJobAccepted()) };
    case schema::Record::ITEMS_ENDED:
      return ReadItemsEnded(aRecord.getItemsEnded(), aPayloadMode);
    case schema::Record::ITEM_STARTED:
      return ItemStarted{ ReadRun(aRecord.getItemStarted().getRun()),
                          ToString(aRecord.getItemStarted().getEndpoint()) };
    case schema::Record::JOB_CANCELLED:
      return JobCancelled{ ReadId(aRecord.getJobCancelled().getJob()) };
    case schema::Record::EPOCH_STARTED:
      return EpochStarted{ aRecord.getEpochStarted().getEpoch(),
                           ToString(aRecord.getEpochStarted().getOwner()) };
  }
  return base::Fail(base::ResultCode::CorruptRecord, "unknown record type");
}

/// Calls a function with the reader of an encoded record. Cap'n Proto throws an
/// exception on a corrupt message; it is returned as CorruptRecord, so that a
/// corrupt record does not terminate the process.
template<typename Function>
auto
WithRecord(std::string_view aBytes, Function aFunction)
  -> decltype(aFunction(std::declval<schema::Record::Reader>()))
{
  const std::size_t words = aBytes.size() / sizeof(capnp::word);
  if (words == 0 || aBytes.size() % sizeof(capnp::word) != 0) {
    return base::Fail(base::ResultCode::CorruptRecord,
                      "the record is not a whole number of words");
  }
  // The reader needs word-aligned memory.
  auto aligned = kj::heapArray<capnp::word>(words);
  std::memcpy(aligned.begin(), aBytes.data(), aBytes.size());
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    capnp::FlatArrayMessageReader reader(aligned, options);
    return aFunction(reader.getRoot<schema::Record>());
  } catch (const kj::Exception& exception) {
    return base::Fail(base::ResultCode::CorruptRecord,
                      exception.getDescription().cStr());
  }
}

} // namespace

std::string
EncodeRecord(const Record& aRecord)
{
  capnp::MallocMessageBuilder message;
  auto record = message.initRoot<schema::Record>();
  record.setWallUnixMs(aRecord.wallUnixMs_);
  std::visit(BodyWriter{ record }, aRecord.body_);
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

base::Result<Record>
DecodeRecord(std::string_view aBytes, PayloadMode aPayloadMode)
{
  return WithRecord(
    aBytes,
    [aPayloadMode](schema::Record::Reader aRecord) -> base::Result<Record> {
      BOOST_LEAF_AUTO(body, ReadBody(aRecord, aPayloadMode));
      return Record{ aRecord.getWallUnixMs(), std::move(body) };
    });
}

base::Result<wire::JobItem>
ReadItem(std::string_view aBytes, std::uint32_t aIndex)
{
  return WithRecord(
    aBytes,
    [aIndex](schema::Record::Reader aRecord) -> base::Result<wire::JobItem> {
      if (!aRecord.isItemsAccepted() ||
          aIndex >= aRecord.getItemsAccepted().getItems().size()) {
        return base::Fail(base::ResultCode::CorruptRecord,
                          "the record has no item with this index");
      }
      const auto item = aRecord.getItemsAccepted().getItems()[aIndex];
      return wire::JobItem{ ToString(item.getName()),
                            ToBytes(item.getPayload()) };
    });
}

base::Result<ItemEnded>
ReadItemEnded(std::string_view aBytes, std::uint32_t aIndex)
{
  return WithRecord(
    aBytes,
    [aIndex](schema::Record::Reader aRecord) -> base::Result<ItemEnded> {
      if (!aRecord.isItemsEnded() || aIndex >= aRecord.getItemsEnded().size()) {
        return base::Fail(base::ResultCode::CorruptRecord,
                          "the record has no result with this index");
      }
      const auto ended = aRecord.getItemsEnded()[aIndex];
      return ItemEnded{ ReadRun(ended.getRun()),
                        ReadResult(ended.getResult(), PayloadMode::Read) };
    });
}

} // namespace pumiceturn::jobs
