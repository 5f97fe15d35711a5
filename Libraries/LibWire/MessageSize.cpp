#include "LibWire/MessageCodec.h"

#include <variant>

namespace pumiceturn::wire {

namespace {

/// Pointers, padding and the envelope itself; measured on small messages.
constexpr std::size_t kEnvelopeBytes = 48;

/// What each element of a list takes beside its text.
constexpr std::size_t kElementBytes = 48;

/// For messages of numbers alone.
template<typename Fixed>
std::size_t
VariableBytes(const Fixed&)
{
  return 0;
}

std::size_t
VariableBytes(const ItemResult& aMessage);
std::size_t
VariableBytes(const JobItem& aMessage);
std::size_t
VariableBytes(const LogEntry& aMessage);
std::size_t
VariableBytes(const ConfigurationPart& aMessage);

template<typename Element>
std::size_t
VariableBytesOf(const std::vector<Element>& aElements)
{
  std::size_t bytes = aElements.size() * kElementBytes;
  for (const Element& element : aElements) {
    bytes += VariableBytes(element);
  }
  return bytes;
}

std::size_t
VariableBytes(const Heartbeat& aMessage)
{
  return VariableBytesOf(aMessage.suspects_) +
         aMessage.prefixesAdded_.size() * sizeof(std::uint64_t) +
         aMessage.prefixesDropped_.size() * sizeof(std::uint64_t);
}

std::size_t
VariableBytes(const StartRun& aMessage)
{
  return aMessage.service_.size() + aMessage.kind_.size() +
         aMessage.payload_.size();
}

std::size_t
VariableBytes(const Chunk& aMessage)
{
  return aMessage.text_.size();
}

std::size_t
VariableBytes(const RunEnded& aMessage)
{
  return aMessage.text_.size() + aMessage.detail_.size();
}

std::size_t
VariableBytes(const BatchDemand& aMessage)
{
  return aMessage.service_.size();
}

std::size_t
VariableBytes(const BatchGrant& aMessage)
{
  return aMessage.service_.size();
}

std::size_t
VariableBytes(const ItemResult& aMessage)
{
  return aMessage.name_.size() + aMessage.text_.size() +
         aMessage.detail_.size();
}

std::size_t
VariableBytes(const RecordRequest& aMessage)
{
  return aMessage.partner_.size() + aMessage.service_.size() +
         aMessage.kind_.size() + aMessage.key_.size() +
         aMessage.payload_.size();
}

std::size_t
VariableBytes(const RecordReply& aMessage)
{
  return VariableBytes(aMessage.result_) + aMessage.ownerHint_.size();
}

std::size_t
VariableBytes(const RecordResult& aMessage)
{
  return VariableBytes(aMessage.result_);
}

std::size_t
VariableBytes(const RecordResultReply& aMessage)
{
  return VariableBytes(aMessage.result_) + aMessage.ownerHint_.size();
}

std::size_t
VariableBytes(const JobDescription& aMessage)
{
  return aMessage.partner_.size() + aMessage.service_.size() +
         aMessage.kind_.size() + aMessage.key_.size();
}

std::size_t
VariableBytes(const JobItem& aMessage)
{
  return aMessage.name_.size() + aMessage.payload_.size();
}

std::size_t
VariableBytes(const SubmitFrame& aMessage)
{
  return VariableBytes(aMessage.job_) + VariableBytesOf(aMessage.items_);
}

std::size_t
VariableBytes(const SubmitReply& aMessage)
{
  return VariableBytes(aMessage.job_) + aMessage.ownerHint_.size() +
         aMessage.detail_.size();
}

std::size_t
VariableBytes(const GetJob& aMessage)
{
  return aMessage.partner_.size();
}

std::size_t
VariableBytes(const JobStatusReply& aMessage)
{
  return VariableBytes(aMessage.job_) + aMessage.ownerHint_.size();
}

std::size_t
VariableBytes(const ReadResults& aMessage)
{
  return aMessage.partner_.size();
}

std::size_t
VariableBytes(const ResultsPage& aMessage)
{
  return VariableBytesOf(aMessage.items_) + aMessage.ownerHint_.size();
}

std::size_t
VariableBytes(const CancelJob& aMessage)
{
  return aMessage.partner_.size();
}

std::size_t
VariableBytes(const LogEntry& aMessage)
{
  return aMessage.payload_.size();
}

std::size_t
VariableBytes(const AppendFrame& aMessage)
{
  return VariableBytesOf(aMessage.entries_);
}

std::size_t
VariableBytes(const LogPage& aMessage)
{
  return VariableBytesOf(aMessage.entries_);
}

std::size_t
VariableBytes(const ConfigurationPart& aMessage)
{
  return aMessage.content_.size();
}

std::size_t
VariableBytes(const FetchConfiguration& aMessage)
{
  return aMessage.wantedParts_.size() * sizeof(std::uint64_t);
}

std::size_t
VariableBytes(const ConfigurationContent& aMessage)
{
  return aMessage.head_.size() + VariableBytesOf(aMessage.parts_);
}

} // namespace

std::size_t
ApproximateSize(const Message& aMessage)
{
  return std::visit(
    [](const auto& aTyped) {
      return kEnvelopeBytes + sizeof(aTyped) + VariableBytes(aTyped);
    },
    aMessage);
}

} // namespace pumiceturn::wire
