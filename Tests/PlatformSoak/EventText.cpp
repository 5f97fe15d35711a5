#include "Tests/PlatformSoak/EventText.h"

#include "platform/Standin/ServerStandin.h"

namespace pumiceturn::adapter {

std::string
CompleteEvents(const std::string& aBody)
{
  const std::size_t end = aBody.rfind("\n\n");
  return end == std::string::npos ? std::string() : aBody.substr(0, end + 2);
}

std::size_t
CountEvents(const std::string& aEvents)
{
  std::size_t count = 0;
  for (std::size_t at = aEvents.find("id: "); at != std::string::npos;
       at = aEvents.find("id: ", at + 1)) {
    ++count;
  }
  return count;
}

std::string
VersionOf(const std::string& aEvents)
{
  const std::size_t end = aEvents.find('\n', aEvents.find("data: "));
  const std::size_t at = aEvents.rfind('@', end);
  return at == std::string::npos ? std::string(ServerStandin::kDefaultVersion)
                                 : aEvents.substr(at + 1, end - at - 1);
}

} // namespace pumiceturn::adapter
