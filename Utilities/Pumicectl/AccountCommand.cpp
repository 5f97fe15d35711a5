#include "Command.h"
#include "Connection.h"

#include "LibAccount/RequestAccount.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <fstream>
#include <iostream>
#include <string>
#include <system_error>
#include <vector>

namespace pumiceturn::pumicectl {

namespace {

using account::RequestAccount;
using account::RequestCounts;
using account::RequestEnd;

constexpr const char* kByOrganisation = "organisation";

/// Unreadable lines that are shown; more are only counted.
constexpr std::uint64_t kMaxShownLines = 5;

/// Shown for requests of which no organisation is known.
constexpr std::string_view kNoOrganisation = "-";

struct Column
{
  std::string_view title_;
  RequestEnd end_;
};

constexpr auto kColumns = std::to_array<Column>({
  { "in_time", RequestEnd::InTime },
  { "late", RequestEnd::Late },
  { "by_wait", RequestEnd::RejectedByWait },
  { "by_rate", RequestEnd::RejectedByRate },
  { "by_share", RequestEnd::RejectedByShare },
  { "by_key", RequestEnd::RejectedByKey },
  { "not_run", RequestEnd::NotRun },
  { "failed", RequestEnd::Failed },
  { "caller_gone", RequestEnd::CallerGone },
});
static_assert(kColumns.size() == account::kRequestEnds);

void
Declare(cxxopts::Options& aOptions)
{
  aOptions.add_options()("file",
                         "Hosts' log files, - for the standard input; the "
                         "files of one host in the order of time",
                         cxxopts::value<std::vector<std::string>>())(
    "objective-ms",
    "Time to the first event within which an answer is in time",
    cxxopts::value<std::uint32_t>()->default_value("300"))(
    "by",
    "'organisation': a row for each second and organisation",
    cxxopts::value<std::string>());
  aOptions.parse_positional({ "file" });
}

/// @return whether the option --by asks for rows by organisation.
base::Result<bool>
IsByOrganisation(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("by") == 0) {
    return false;
  }
  const auto by = aArguments["by"].as<std::string>();
  if (by != kByOrganisation) {
    return base::Fail(base::ResultCode::OutOfRange,
                      "--by expects 'organisation', not '" + by + "'");
  }
  return true;
}

/// Adds the lines of a stream, and shows the first unreadable ones.
void
AddLines(std::istream& aStream,
         const std::string& aPath,
         RequestAccount& aAccount)
{
  std::string line;
  for (std::uint64_t number = 1; std::getline(aStream, line); ++number) {
    const auto added = base::Capture([&] { return aAccount.AddLine(line); });
    const auto* failure = std::get_if<base::Failure>(&added);
    if (failure != nullptr && aAccount.UnreadableLines() <= kMaxShownLines) {
      std::cerr << fmt::format("{}:{}: {}\n", aPath, number, failure->detail_);
    }
  }
}

base::Result<void>
AddFile(const std::string& aPath, RequestAccount& aAccount)
{
  if (aPath == "-") {
    AddLines(std::cin, "standard input", aAccount);
    return {};
  }
  std::ifstream file(aPath, std::ios::binary);
  if (file) {
    AddLines(file, aPath, aAccount);
  }
  // The end of the file sets the fail bit; bad() is an error of reading.
  if (!file.is_open() || file.bad()) {
    return base::Fail(base::ResultCode::UnreadableFile,
                      aPath + ": " + std::generic_category().message(errno));
  }
  return {};
}

/// Prints the account as a table with aligned columns.
class TablePrinter
{
public:
  TablePrinter(const RequestAccount& aAccount, bool aIsByOrganisation)
    : account_(aAccount)
    , isByOrganisation_(aIsByOrganisation)
  {
  }

  void Print()
  {
    PrintTitles();
    RequestCounts total;
    for (const auto& [key, counts] : account_.Rows()) {
      constexpr std::int64_t kMsPerSecond = 1000;
      PrintRow(
        FormatTime(key.second_.time_since_epoch().count() * kMsPerSecond),
        key.organisation_.empty() ? kNoOrganisation : key.organisation_,
        counts);
      total.Add(counts);
    }
    PrintRow("total", kNoOrganisation, total);
    std::cout << std::flush;
  }

private:
  static constexpr std::size_t kTimeWidth = 20;
  static constexpr std::size_t kOrganisationWidth = 20;
  static constexpr std::size_t kMinCountWidth = 8;

  void PrintTitles() const
  {
    PrintNames("time", kByOrganisation);
    std::cout << fmt::format(" {:>{}}", "ended", kMinCountWidth);
    for (const Column& column : kColumns) {
      std::cout << fmt::format(" {:>{}}", column.title_, WidthOf(column));
    }
    std::cout << "\n";
  }

  void PrintRow(std::string_view aTime,
                std::string_view aOrganisation,
                const RequestCounts& aCounts) const
  {
    PrintNames(aTime, aOrganisation);
    std::cout << fmt::format(" {:>{}}", aCounts.Sum(), kMinCountWidth);
    for (const Column& column : kColumns) {
      std::cout << fmt::format(
        " {:>{}}", aCounts.Of(column.end_), WidthOf(column));
    }
    std::cout << "\n";
  }

  void PrintNames(std::string_view aTime, std::string_view aOrganisation) const
  {
    std::cout << fmt::format("{:<{}}", aTime, kTimeWidth);
    if (isByOrganisation_) {
      std::cout << fmt::format(" {:<{}}", aOrganisation, kOrganisationWidth);
    }
  }

  static std::size_t WidthOf(const Column& aColumn)
  {
    return std::max(aColumn.title_.size(), kMinCountWidth);
  }

  const RequestAccount& account_;
  bool isByOrganisation_;
};

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("file") == 0) {
    throw cxxopts::exceptions::parsing("the argument file is missing");
  }
  RequestAccount::Options options;
  options.objective_ =
    std::chrono::milliseconds(aArguments["objective-ms"].as<std::uint32_t>());
  BOOST_LEAF_ASSIGN(options.isByOrganisation_, IsByOrganisation(aArguments));
  RequestAccount requests(options);
  for (const auto& path : aArguments["file"].as<std::vector<std::string>>()) {
    BOOST_LEAF_CHECK(AddFile(path, requests));
  }
  requests.Finish();
  TablePrinter(requests, options.isByOrganisation_).Print();
  if (requests.UnreadableLines() > 0) {
    std::cerr << fmt::format("{} lines can't be parsed and aren't counted\n",
                             requests.UnreadableLines());
  }
  if (requests.OmittedLines() > 0) {
    std::cerr << fmt::format(
      "{} lines were left out by the hosts' limit of lines per second and "
      "aren't counted\n",
      requests.OmittedLines());
  }
  return ExitCode::Done;
}

} // namespace

const Command kAccountCommand{
  "account", "FILE...", "Add up the requests in hosts' log files by second",
  Declare,   Run,
};

} // namespace pumiceturn::pumicectl
