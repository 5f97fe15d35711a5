#include "Connection.h"

#include "LibSettings/Address.h"
#include "LibSettings/YamlReader.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <vector>

namespace pumiceturn::pumicectl {

namespace {

constexpr const char* kEntriesVariable = "PUMICETURN_ENTRIES";
constexpr const char* kTokenVariable = "PUMICETURN_TOKEN";
constexpr const char* kDefaultEntries =
  "127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203";

std::string
FromEnvironment(const char* aName, const char* aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : value;
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    if (end > start) {
      parts.push_back(aText.substr(start, end - start));
    }
    start = end + 1;
  }
  return parts;
}

} // namespace

void
DeclareConnection(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "entry",
    std::string("Entries to try in turn, IP:port[,...]; else ") +
      kEntriesVariable,
    cxxopts::value<std::string>()->default_value(
      FromEnvironment(kEntriesVariable, kDefaultEntries)));
  // Not a default value, so that the help does not print it.
  aOptions.add_options()("token",
                         std::string("Access token; else ") + kTokenVariable,
                         cxxopts::value<std::string>());
  aOptions.add_options()(
    "timeout-ms",
    "Time allowed for a short call",
    cxxopts::value<std::uint32_t>()->default_value("10000"));
}

base::Result<client::Client::Options>
ClientOptions(const cxxopts::ParseResult& aArguments)
{
  client::Client::Options options;
  options.entries_ = SplitAtCommas(aArguments["entry"].as<std::string>());
  for (const std::string& entry : options.entries_) {
    if (!settings::ParseAddress(entry)) {
      return base::Fail(base::ResultCode::OutOfRange,
                        "--entry expects IP:port, not '" + entry + "'");
    }
  }
  if (options.entries_.empty()) {
    return base::Fail(base::ResultCode::MissingField, "--entry is empty");
  }
  options.token_ = aArguments.count("token") > 0
                     ? aArguments["token"].as<std::string>()
                     : FromEnvironment(kTokenVariable, "");
  options.timeout_ =
    std::chrono::milliseconds(aArguments["timeout-ms"].as<std::uint32_t>());
  return options;
}

base::Result<client::Client>
MakeClient(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(options, ClientOptions(aArguments));
  return client::Client(std::move(options));
}

void
DeclarePositional(cxxopts::Options& aOptions,
                  std::initializer_list<PositionalArgument> aArguments)
{
  std::vector<std::string> names;
  for (const PositionalArgument& argument : aArguments) {
    aOptions.add_options()(
      argument.name_, argument.help_, cxxopts::value<std::string>());
    names.push_back(argument.name_);
  }
  aOptions.parse_positional(names);
}

std::string
Positional(const cxxopts::ParseResult& aArguments, const std::string& aName)
{
  if (aArguments.count(aName) == 0) {
    throw cxxopts::exceptions::parsing("the argument " + aName + " is missing");
  }
  if (!aArguments.unmatched().empty()) {
    throw cxxopts::exceptions::parsing("unexpected argument '" +
                                       aArguments.unmatched().front() + "'");
  }
  return aArguments[aName].as<std::string>();
}

base::Result<std::string>
ReadInput(const std::string& aPath)
{
  if (aPath != "-") {
    return settings::ReadFileText(aPath);
  }
  return std::string(std::istreambuf_iterator<char>(std::cin), {});
}

std::string
FormatTime(std::int64_t aUnixMs)
{
  if (aUnixMs == 0) {
    return "-";
  }
  constexpr std::int64_t kMsPerSecond = 1000;
  return fmt::format(
    "{:%Y-%m-%dT%H:%M:%SZ}",
    fmt::gmtime(static_cast<std::time_t>(aUnixMs / kMsPerSecond)));
}

} // namespace pumiceturn::pumicectl
