#include "StandinRunner.h"

#include "LibStandin/EngineStandin.h"

namespace pumiceturn::pumicectl {

namespace {

template<typename Value>
void
AddOption(cxxopts::Options& aOptions,
          const char* aName,
          const char* aHelp,
          Value aDefault)
{
  aOptions.add_options()(
    aName,
    aHelp,
    cxxopts::value<Value>()->default_value(std::to_string(aDefault)));
}

void
Declare(cxxopts::Options& aOptions)
{
  const standin::EngineModelOptions model;
  const standin::EngineFaults faults;
  DeclareListen(aOptions, "127.0.0.1:7411");
  AddOption(aOptions, "max-running", "Streams in one batch", model.maxRunning_);
  AddOption(aOptions, "step-ms", "A step with nothing running", model.stepMs_);
  AddOption(aOptions,
            "step-per-running-ms",
            "More for each running stream",
            model.stepPerRunningMs_);
  AddOption(aOptions,
            "prefill-per-token-ms",
            "More for each uncached prompt token",
            model.prefillPerTokenMs_);
  AddOption(
    aOptions, "cache-blocks", "Memory of the prefix cache", model.cacheBlocks_);
  AddOption(aOptions, "load-lag-ms", "Age of the load report", 0);
  AddOption(aOptions, "event-delay-ms", "Age of cache events", 0);
  AddOption(aOptions,
            "event-lose-one-of",
            "Lose one of so many cache events; 0: none",
            faults.loseOneOf_);
  aOptions.add_options()("ignore-fence", "Obey orders with an old fence")(
    "crash-marker",
    "A prompt that holds it crashes the engine",
    cxxopts::value<std::string>()->default_value(model.crashMarker_));
}

std::chrono::milliseconds
Milliseconds(const cxxopts::ParseResult& aArguments, const char* aName)
{
  return std::chrono::milliseconds(aArguments[aName].as<int>());
}

standin::EngineStandin::Options
ParseOptions(const cxxopts::ParseResult& aArguments)
{
  standin::EngineStandin::Options options;
  options.model_.maxRunning_ = aArguments["max-running"].as<std::size_t>();
  options.model_.stepMs_ = aArguments["step-ms"].as<double>();
  options.model_.stepPerRunningMs_ =
    aArguments["step-per-running-ms"].as<double>();
  options.model_.prefillPerTokenMs_ =
    aArguments["prefill-per-token-ms"].as<double>();
  options.model_.cacheBlocks_ = aArguments["cache-blocks"].as<std::size_t>();
  options.model_.crashMarker_ = aArguments["crash-marker"].as<std::string>();
  options.faults_.loadLag_ = Milliseconds(aArguments, "load-lag-ms");
  options.faults_.eventDelay_ = Milliseconds(aArguments, "event-delay-ms");
  options.faults_.loseOneOf_ =
    aArguments["event-lose-one-of"].as<std::uint64_t>();
  options.faults_.ignoreFence_ = aArguments.count("ignore-fence") > 0;
  return options;
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(address, ListenAddress(aArguments));
  standin::EngineStandin::Options options = ParseOptions(aArguments);
  options.host_ = address.ip_;
  options.port_ = address.port_;
  PrepareStandin("engine");
  BOOST_LEAF_AUTO(engine, standin::EngineStandin::Start(options));
  WaitForEnd(address, engine->Port());
  return ExitCode::Done;
}

} // namespace

const Command kStandinEngineCommand{
  "standin engine", "", "Run a stand-in for a model engine", Declare, Run,
};

} // namespace pumiceturn::pumicectl
