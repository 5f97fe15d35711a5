#include "LibWire/FramedStream.h"

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/debug.h>
#include <kj/io.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace pumiceturn::wire {

namespace {

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;
using Header = std::array<kj::byte, sizeof(std::uint32_t)>;

constexpr std::uint32_t kPackedFlag = 1U << 31U;

/// Larger messages are not packed.
constexpr std::size_t kMaxPackedBytes = 1024;

constexpr std::size_t kBitsOfByte = 8;

Header
ToHeader(std::uint32_t aNumber)
{
  Header header{};
  for (kj::byte& part : header) {
    part = static_cast<kj::byte>(aNumber);
    aNumber >>= kBitsOfByte;
  }
  return header;
}

std::uint32_t
FromHeader(const Header& aHeader)
{
  std::uint32_t number = 0;
  for (auto part = aHeader.rbegin(); part != aHeader.rend(); ++part) {
    number = (number << kBitsOfByte) | *part;
  }
  return number;
}

void
AppendFrame(kj::VectorOutputStream& aTo, Segments aSegments)
{
  const std::size_t begin = aTo.getArray().size();
  const bool isPacked =
    capnp::computeSerializedSizeInWords(aSegments) * sizeof(capnp::word) <=
    kMaxPackedBytes;
  const Header room{};
  aTo.write(room.data(), room.size());
  if (isPacked) {
    capnp::writePackedMessage(aTo, aSegments);
  } else {
    capnp::writeMessage(aTo, aSegments);
  }
  const auto length =
    static_cast<std::uint32_t>(aTo.getArray().size() - begin - room.size());
  const Header header = ToHeader(isPacked ? length | kPackedFlag : length);
  std::copy(header.begin(), header.end(), aTo.getArray().begin() + begin);
}

kj::Promise<void>
Write(kj::AsyncIoStream& aStream, kj::Own<kj::VectorOutputStream> aFrames)
{
  const auto bytes = aFrames->getArray();
  return aStream.write(bytes.begin(), bytes.size()).attach(kj::mv(aFrames));
}

kj::Own<capnp::MessageReader>
Unpack(kj::Array<capnp::word> aBody,
       std::size_t aLength,
       capnp::ReaderOptions aOptions)
{
  auto input =
    kj::heap<kj::ArrayInputStream>(aBody.asBytes().slice(0, aLength));
  auto reader = kj::heap<capnp::PackedMessageReader>(*input, aOptions);
  return reader.attach(kj::mv(input), kj::mv(aBody));
}

kj::Own<capnp::MessageReader>
ReadFlat(kj::Array<capnp::word> aBody, capnp::ReaderOptions aOptions)
{
  auto reader = kj::heap<capnp::FlatArrayMessageReader>(aBody, aOptions);
  return reader.attach(kj::mv(aBody));
}

} // namespace

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
FramedStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd>,
                             capnp::ReaderOptions aOptions,
                             kj::ArrayPtr<capnp::word>)
{
  auto header = kj::heap<Header>();
  auto reading =
    stream_.tryRead(header->data(), header->size(), header->size());
  return reading.then(
    [this, aOptions, header = kj::mv(header)](
      std::size_t aGot) -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
      if (aGot == 0) {
        return kj::Maybe<capnp::MessageReaderAndFds>(nullptr);
      }
      if (aGot < header->size()) {
        return KJ_EXCEPTION(DISCONNECTED, "the stream ends within a header");
      }
      return ReadBody(FromHeader(*header), aOptions);
    });
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
FramedStream::ReadBody(std::uint32_t aHeader, capnp::ReaderOptions aOptions)
{
  const bool isPacked = (aHeader & kPackedFlag) != 0;
  const std::size_t length = aHeader & ~kPackedFlag;
  // A stray client's first bytes are taken for a length. It must neither have
  // memory set aside for it beyond the limit, nor be waited for without end.
  const std::size_t limit =
    isPacked ? kMaxPackedBytes * 2
             : aOptions.traversalLimitInWords * sizeof(capnp::word);
  KJ_REQUIRE(length > 0 && length <= limit, "a message of no valid length");
  KJ_REQUIRE(isPacked || length % sizeof(capnp::word) == 0,
             "a message that is no whole number of words");
  auto body = kj::heapArray<capnp::word>((length + sizeof(capnp::word) - 1) /
                                         sizeof(capnp::word));
  auto reading = stream_.read(body.begin(), length);
  return reading.then(
    [body = kj::mv(body), isPacked, length, aOptions]() mutable
    -> kj::Maybe<capnp::MessageReaderAndFds> {
      auto reader = isPacked ? Unpack(kj::mv(body), length, aOptions)
                             : ReadFlat(kj::mv(body), aOptions);
      return capnp::MessageReaderAndFds{ kj::mv(reader), nullptr };
    });
}

kj::Promise<void>
FramedStream::writeMessage(
  kj::ArrayPtr<const int>,
  kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> aSegments)
{
  auto frames = kj::heap<kj::VectorOutputStream>();
  AppendFrame(*frames, aSegments);
  return Write(stream_, kj::mv(frames));
}

kj::Promise<void>
FramedStream::writeMessages(
  kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> aMessages)
{
  auto frames = kj::heap<kj::VectorOutputStream>();
  for (const Segments segments : aMessages) {
    AppendFrame(*frames, segments);
  }
  return Write(stream_, kj::mv(frames));
}

kj::Promise<void>
FramedStream::end()
{
  stream_.shutdownWrite();
  return kj::READY_NOW;
}

} // namespace pumiceturn::wire
