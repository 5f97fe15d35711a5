#include "LibPlatform/HostListReader.h"

#include "LibSettings/YamlReader.h"

namespace pumiceturn::platform {

using base::Fail;
using base::Result;
using base::ResultCode;

Result<settings::HostList>
ReadHostList(const std::string& aText)
{
  settings::HostList list;
  BOOST_LEAF_CHECK(settings::ParseYamlText(aText, "host list", list));
  for (const settings::ListedHost& host : list.hosts()) {
    if (host.name().empty()) {
      return Fail(ResultCode::MissingField, "a host without a name");
    }
  }
  return list;
}

} // namespace pumiceturn::platform
