#include "LibJobLog/EpochStarted.h"

#include <JobLog.capnp.h>
#include <capnp/serialize.h>

namespace pumiceturn::joblog {

std::string
EncodeEpochStarted(std::uint64_t aEpoch, const std::string& aOwner)
{
  capnp::MallocMessageBuilder message;
  auto started = message.initRoot<schema::Record>().initEpochStarted();
  started.setEpoch(aEpoch);
  started.setOwner(aOwner);
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return { bytes.asChars().begin(), bytes.size() };
}

} // namespace pumiceturn::joblog
