#include "Command.h"
#include "Connection.h"

#include "LibBase/Time.h"
#include "LibClient/LotReader.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("key",
                         "Job key; made from the content where none is given",
                         cxxopts::value<std::string>()->default_value(""))(
    "due-in-s",
    "Due time from now; 0: the kind's default",
    cxxopts::value<std::uint32_t>()->default_value("0"))(
    "max-tokens",
    "Longest answer; 0: the kind's limit",
    cxxopts::value<std::uint32_t>()->default_value("0"))(
    "skip-broken", "Submit the good lines where some are broken");
  DeclarePositional(
    aOptions,
    { { "service", "Service" },
      { "kind", "Request kind" },
      { "file",
        R"(JSON Lines, {"name": TEXT, "prompt": TEXT} each; - reads the standard input)" } });
}

/// Tells each broken line by its number.
base::Result<void>
CheckLines(const client::Lot& aLot, bool aSkipsBroken)
{
  for (const client::BrokenLine& line : aLot.brokenLines_) {
    std::cerr << "line " << line.number_
              << ": 106 MalformedJsonLine: " << line.detail_ << "\n";
  }
  if (!aLot.brokenLines_.empty() && !aSkipsBroken) {
    return base::Fail(base::ResultCode::MalformedJsonLine,
                      std::to_string(aLot.brokenLines_.size()) +
                        " broken lines; nothing was sent");
  }
  if (aLot.items_.empty()) {
    return base::Fail(base::ResultCode::MissingField,
                      "the lot has no item; nothing was sent");
  }
  return {};
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  caller::JobHeader header;
  header.set_service(Positional(aArguments, "service"));
  header.set_kind(Positional(aArguments, "kind"));
  header.set_job_key(aArguments["key"].as<std::string>());
  header.set_max_tokens(aArguments["max-tokens"].as<std::uint32_t>());
  const std::chrono::seconds due{ aArguments["due-in-s"].as<std::uint32_t>() };
  if (due.count() > 0) {
    header.set_due_unix_ms(base::ToUnixMs(base::WallNow() + due));
  }
  BOOST_LEAF_AUTO(text, ReadInput(Positional(aArguments, "file")));
  const client::Lot lot = client::ReadLot(text);
  BOOST_LEAF_CHECK(CheckLines(lot, aArguments.count("skip-broken") > 0));
  BOOST_LEAF_AUTO(reply, client.SubmitJob(header, lot.items_));
  std::cout << reply.job_key() << "\n";
  std::cerr << reply.items() << " items, due "
            << FormatTime(reply.due_unix_ms())
            << (reply.duplicate() ? ", accepted before" : "") << std::endl;
  return lot.brokenLines_.empty() ? ExitCode::Done : ExitCode::SomeFailed;
}

} // namespace

const Command kSubmitCommand{
  "submit", "SERVICE KIND FILE|-", "Submit a batch job", Declare, Run,
};

} // namespace pumiceturn::pumicectl
