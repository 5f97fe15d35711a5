#include "LibSettings/HostListFile.h"

#include "LibSettings/Address.h"

#include <fmt/format.h>

#include <set>
#include <string>

namespace pumiceturn::settings {

namespace {

using base::ResultCode;

void
CheckHost(const ListedHost& aHost,
          const std::string& aPath,
          std::vector<Problem>& aProblems)
{
  const auto require = [&](bool aIsGiven, const char* aField) {
    if (!aIsGiven) {
      aProblems.push_back(
        { ResultCode::MissingField, aPath + aField, "needs a value", {} });
    }
  };
  require(!aHost.name().empty(), ".name");
  require(!aHost.failure_domain().empty(), ".failure_domain");
  require(!aHost.functions().empty(), ".functions");
  require(aHost.state() != HOST_STATE_UNSPECIFIED, ".state");
  if (!ParseAddress(aHost.link_address())) {
    aProblems.push_back({ ResultCode::OutOfRange,
                          aPath + ".link_address",
                          "expects IP:port, not '" + aHost.link_address() + "'",
                          {} });
  }
}

} // namespace

std::vector<Problem>
FindProblems(const HostList& aHosts)
{
  std::vector<Problem> problems;
  std::set<std::string> names;
  for (int index = 0; index < aHosts.hosts_size(); ++index) {
    const std::string path = fmt::format("hosts[{}]", index);
    const ListedHost& host = aHosts.hosts(index);
    CheckHost(host, path, problems);
    if (!names.insert(host.name()).second) {
      problems.push_back({ ResultCode::DuplicateName,
                           path + ".name",
                           "'" + host.name() + "' is given twice",
                           {} });
    }
  }
  return problems;
}

} // namespace pumiceturn::settings
