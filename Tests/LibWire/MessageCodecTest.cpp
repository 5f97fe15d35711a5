#include "LibWire/MessageCodec.h"
#include "LibBase/Result.h"

#include <capnp/any.h>
#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <catch2/catch.hpp>

#include <random>

namespace pumiceturn::wire {

namespace {

constexpr unsigned int kListLength = 2;

/// Gives each field of a message another value than its default, by the
/// schema, so that a field added there without its codec fails the test.
class Filler
{
public:
  void FillStruct(capnp::DynamicStruct::Builder aTo)
  {
    for (auto field : aTo.getSchema().getNonUnionFields()) {
      FillField(aTo, field);
    }
  }

  void FillField(capnp::DynamicStruct::Builder aTo,
                 capnp::StructSchema::Field aField)
  {
    const capnp::Type type = aField.getType();
    if (type.isStruct()) {
      FillStruct(aTo.init(aField).as<capnp::DynamicStruct>());
    } else if (type.isList()) {
      FillList(aTo.init(aField, kListLength).as<capnp::DynamicList>());
    } else {
      aTo.set(aField, Value(type));
    }
  }

private:
  void FillList(capnp::DynamicList::Builder aTo)
  {
    for (unsigned int i = 0; i < aTo.size(); ++i) {
      if (aTo.getSchema().getElementType().isStruct()) {
        FillStruct(aTo[i].as<capnp::DynamicStruct>());
      } else {
        aTo.set(i, Value(aTo.getSchema().getElementType()));
      }
    }
  }

  capnp::DynamicValue::Reader Value(capnp::Type aType)
  {
    ++last_;
    if (aType.isBool()) {
      return true;
    }
    if (aType.isUInt8()) {
      return 1U; // An enumeration's number.
    }
    if (aType.isText()) {
      text_ = kj::str("text ", last_);
      return capnp::Text::Reader(text_);
    }
    if (aType.isData()) {
      text_ = kj::str("bytes ", last_);
      return capnp::Data::Reader(text_.asBytes());
    }
    return last_;
  }

  unsigned int last_ = 0;
  kj::String text_;
};

schema::Envelope::Builder
MakeFullEnvelope(capnp::MessageBuilder& aMessage, unsigned int aType)
{
  auto envelope = aMessage.initRoot<schema::Envelope>();
  const auto fields = capnp::Schema::from<schema::Envelope>().getUnionFields();
  Filler().FillField(envelope, fields[aType]);
  return envelope;
}

base::Outcome<Message>
DecodeOutcome(schema::Envelope::Reader aFrom)
{
  return base::Capture([&] { return Decode(aFrom); });
}

unsigned int
TypeCount()
{
  return capnp::Schema::from<schema::Envelope>().getUnionFields().size();
}

} // namespace

TEST_CASE("Codec_AnyMessageWithAllFieldsSet_KeepsEachField")
{
  REQUIRE(TypeCount() == std::variant_size_v<Message>);
  for (unsigned int type = 0; type < TypeCount(); ++type) {
    capnp::MallocMessageBuilder original;
    const auto envelope = MakeFullEnvelope(original, type);
    const auto outcome = DecodeOutcome(envelope.asReader());
    CAPTURE(type);
    REQUIRE(std::holds_alternative<Message>(outcome));
    const auto& message = std::get<Message>(outcome);
    REQUIRE(message.index() == type);

    capnp::MallocMessageBuilder again;
    Encode(again.initRoot<schema::Envelope>(), message);
    CHECK(again.getRoot<capnp::AnyStruct>().asReader() ==
          original.getRoot<capnp::AnyStruct>().asReader());
  }
}

TEST_CASE("Codec_RunEnded_FieldsKeepTheirNames")
{
  RunEnded ended;
  ended.run_ = { { 1, 2 }, 3, 4 };
  ended.lastSequence_ = 5;
  ended.code_ = ResultCode::EndpointLost;
  ended.ran_ = Ran::Unknown;
  ended.text_ = std::string("a\0b", 3);
  ended.tokens_ = 6;
  ended.retryAfterMs_ = 7;
  ended.detail_ = "detail";
  capnp::MallocMessageBuilder builder;
  const auto envelope = builder.initRoot<schema::Envelope>();
  Encode(envelope, ended);

  const auto written = envelope.asReader().getRunEnded();
  CHECK(written.getRun().getJob().getLow() == 2);
  CHECK(written.getRun().getAttempt() == 4);
  CHECK(written.getCode() == 304);
  CHECK(written.getRetryAfterMs() == 7);
  const auto outcome = DecodeOutcome(envelope.asReader());
  CHECK(std::get<Message>(outcome) == Message{ ended });
}

TEST_CASE("Codec_NumberOutsideOfEnumeration_IsMalformed")
{
  capnp::MallocMessageBuilder builder;
  auto envelope = builder.initRoot<schema::Envelope>();
  envelope.initRunEnded().setRan(4);
  const auto outcome = DecodeOutcome(envelope.asReader());
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ == ResultCode::MalformedMessage);
}

// A peer's memory or a network card flips bits in messages of every type. A
// process that reads them must go on: each is read as some message or refused.
TEST_CASE("Codec_FlippedBits_AreReadOrRefusedWithoutHarm")
{
  constexpr unsigned int kRounds = 400;
  std::mt19937 random{ 7 }; // NOLINT(cert-msc51-cpp)
  unsigned int refused = 0;
  for (unsigned int round = 0; round < kRounds; ++round) {
    capnp::MallocMessageBuilder builder;
    MakeFullEnvelope(builder, round % TypeCount());
    kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    kj::ArrayPtr<kj::byte> bytes = words.asBytes();
    for (unsigned int flip = 0; flip < 8; ++flip) {
      // Behind the segment table, which the RPC layer has checked.
      const std::size_t at = 8 + random() % (bytes.size() - 8);
      bytes[at] ^= static_cast<kj::byte>(1U << (random() % 8U));
    }
    kj::Maybe<kj::Exception> exception = kj::runCatchingExceptions([&] {
      capnp::FlatArrayMessageReader reader(words);
      const auto envelope = reader.getRoot<schema::Envelope>();
      const auto outcome = DecodeOutcome(envelope);
      if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
        CHECK(failure->code_ == ResultCode::MalformedMessage);
        ++refused;
      }
    });
  }
  CHECK(refused > 0);
}

TEST_CASE("ApproximateSize_AnyMessage_IsNearItsBytesOnTheWire")
{
  constexpr std::size_t kTolerance = 512;
  for (unsigned int type = 0; type < TypeCount(); ++type) {
    capnp::MallocMessageBuilder builder;
    const auto envelope = MakeFullEnvelope(builder, type);
    const std::size_t onWire =
      capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
    const auto outcome = DecodeOutcome(envelope.asReader());
    const std::size_t size = ApproximateSize(std::get<Message>(outcome));
    CAPTURE(type, onWire, size);
    CHECK(size + kTolerance > onWire);
    CHECK(size < onWire + kTolerance);
  }
}

} // namespace pumiceturn::wire
