#include "LibPlatform/HostListReader.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>

namespace pumiceturn::platform {

namespace {

using base::Fail;
using base::Result;
using base::ResultCode;

std::string
At(const YAML::Node& aNode)
{
  return "line " + std::to_string(aNode.Mark().line + 1);
}

Result<std::string>
ReadText(const YAML::Node& aNode)
{
  if (!aNode.IsScalar()) {
    return Fail(ResultCode::WrongType, At(aNode) + ": expected a text");
  }
  return aNode.Scalar();
}

/// @return the name of an enumerator: its prefix, then the text in capitals.
std::string
EnumeratorName(std::string_view aPrefix, const std::string& aText)
{
  std::string name(aPrefix);
  std::transform(
    aText.begin(), aText.end(), std::back_inserter(name), [](unsigned char aC) {
      return static_cast<char>(std::toupper(aC));
    });
  return name;
}

Result<settings::Function>
ReadFunction(const YAML::Node& aNode)
{
  BOOST_LEAF_AUTO(text, ReadText(aNode));
  settings::Function function = settings::FUNCTION_UNSPECIFIED;
  if (!settings::Function_Parse(EnumeratorName("FUNCTION_", text), &function)) {
    return Fail(ResultCode::WrongType, At(aNode) + ": no function " + text);
  }
  return function;
}

Result<void>
ReadFunctions(const YAML::Node& aNode, settings::ListedHost& aHost)
{
  if (!aNode.IsSequence()) {
    return Fail(ResultCode::WrongType, At(aNode) + ": expected a list");
  }
  for (const YAML::Node& entry : aNode) {
    BOOST_LEAF_AUTO(function, ReadFunction(entry));
    aHost.add_functions(function);
  }
  return {};
}

Result<void>
ReadState(const YAML::Node& aNode, settings::ListedHost& aHost)
{
  BOOST_LEAF_AUTO(text, ReadText(aNode));
  settings::HostState state = settings::HOST_STATE_UNSPECIFIED;
  if (!settings::HostState_Parse(EnumeratorName("HOST_STATE_", text), &state)) {
    return Fail(ResultCode::WrongType, At(aNode) + ": no host state " + text);
  }
  aHost.set_state(state);
  return {};
}

Result<void>
ReadField(const std::string& aKey,
          const YAML::Node& aNode,
          settings::ListedHost& aHost)
{
  if (aKey == "functions") {
    return ReadFunctions(aNode, aHost);
  }
  if (aKey == "state") {
    return ReadState(aNode, aHost);
  }
  if (aKey != "name" && aKey != "failure_domain" && aKey != "link_address") {
    return Fail(ResultCode::UnknownKey, At(aNode) + ": " + aKey);
  }
  BOOST_LEAF_AUTO(text, ReadText(aNode));
  const auto* field = settings::ListedHost::descriptor()->FindFieldByName(aKey);
  aHost.GetReflection()->SetString(&aHost, field, text);
  return {};
}

Result<settings::ListedHost>
ReadHost(const YAML::Node& aNode)
{
  if (!aNode.IsMap()) {
    return Fail(ResultCode::WrongType, At(aNode) + ": expected a host");
  }
  settings::ListedHost host;
  for (const auto& entry : aNode) {
    BOOST_LEAF_AUTO(key, ReadText(entry.first));
    BOOST_LEAF_CHECK(ReadField(key, entry.second, host));
  }
  if (host.name().empty()) {
    return Fail(ResultCode::MissingField, At(aNode) + ": name");
  }
  return host;
}

Result<settings::HostList>
ReadHosts(const YAML::Node& aRoot)
{
  if (!aRoot.IsMap()) {
    return Fail(ResultCode::WrongType, "expected a map with key hosts");
  }
  settings::HostList list;
  for (const auto& entry : aRoot) {
    BOOST_LEAF_AUTO(key, ReadText(entry.first));
    if (key != "hosts") {
      return Fail(ResultCode::UnknownKey, At(entry.first) + ": " + key);
    }
    for (const YAML::Node& node : entry.second) {
      BOOST_LEAF_AUTO(host, ReadHost(node));
      *list.add_hosts() = std::move(host);
    }
  }
  return list;
}

} // namespace

Result<settings::HostList>
ReadHostList(const std::string& aText)
{
  try {
    return ReadHosts(YAML::Load(aText));
  } catch (const YAML::Exception& error) {
    return Fail(ResultCode::MalformedYaml, error.what());
  }
}

} // namespace pumiceturn::platform
