#include "Command.h"
#include "Connection.h"

#include "LibLoad/LoadRun.h"
#include "LibSettings/LoadPlanFile.h"

#include <fmt/format.h>

#include <cerrno>
#include <fstream>
#include <iostream>
#include <system_error>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("plan", "Load plan", cxxopts::value<std::string>())(
    "report", "JSON report to write", cxxopts::value<std::string>())(
    "html",
    "HTML report to write",
    cxxopts::value<std::string>()->default_value(""));
}

base::Result<void>
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream stream(aPath, std::ios::binary | std::ios::trunc);
  stream << aText;
  stream.close();
  if (!stream) {
    return base::Fail(base::ResultCode::InputOutput,
                      aPath + ": " + std::generic_category().message(errno));
  }
  return {};
}

void
ShowProgress(const load::Progress& aProgress)
{
  std::cerr << fmt::format(
                 "{:6.1f} of {:.0f} s: {} calls in flight, {} sent, batch {} "
                 "accepted, {} completed, {} mixed up, {} doubled",
                 aProgress.atS_,
                 aProgress.lengthS_,
                 aProgress.inFlight_,
                 aProgress.counts_.sent_,
                 aProgress.counts_.accepted_,
                 aProgress.counts_.completed_,
                 aProgress.counts_.mixedUp_,
                 aProgress.counts_.doubled_)
            << std::endl;
}

/// @return whether what must always hold did hold.
bool
HasHeld(const load::Counts& aCounts)
{
  return aCounts.lost_ == 0 && aCounts.doubled_ == 0 && aCounts.mixedUp_ == 0 &&
         aCounts.refusedButRun_ == 0;
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  const auto reportPath = aArguments["report"].as<std::string>();
  const auto htmlPath = aArguments["html"].as<std::string>();
  BOOST_LEAF_AUTO(
    plan, settings::LoadLoadPlanFile(aArguments["plan"].as<std::string>()));
  load::LoadOptions options;
  BOOST_LEAF_AUTO(connection, ClientOptions(aArguments));
  options.client_ = connection;
  options.onProgress_ = ShowProgress;
  BOOST_LEAF_AUTO(outcome, load::RunLoad(plan, options));
  const std::string json = load::WriteJson(plan, outcome);
  BOOST_LEAF_CHECK(WriteFile(reportPath, json));
  if (!htmlPath.empty()) {
    BOOST_LEAF_CHECK(WriteFile(htmlPath, load::WriteHtml(plan, outcome)));
  }
  std::cout << json << std::flush;
  return HasHeld(outcome.recorded_.counts_) ? ExitCode::Done
                                            : ExitCode::SomeFailed;
}

} // namespace

const Command kLoadCommand{
  "load", "", "Run a load plan and report what was measured", Declare, Run,
};

} // namespace pumiceturn::pumicectl
