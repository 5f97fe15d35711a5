#include "Command.h"
#include "Connection.h"

#include "LibClient/StatusDecoder.h"

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
Declare(cxxopts::Options& aOptions)
{
  DeclareConnection(aOptions);
  aOptions.add_options()("key",
                         "Request key, for reading back and for sending again",
                         cxxopts::value<std::string>()->default_value(""))(
    "deadline-ms",
    "Time to the whole answer; 0: the kind's default",
    cxxopts::value<std::uint32_t>()->default_value("0"))(
    "max-tokens",
    "Longest answer; 0: the kind's limit",
    cxxopts::value<std::uint32_t>()->default_value("0"))(
    "plain", "Call a plain service; the prompt is its payload");
  DeclarePositional(aOptions,
                    { { "service", "Service" },
                      { "kind", "Request kind" },
                      { "prompt", "Prompt; - reads the standard input" } });
}

ExitCode
Conclude(const caller::Outcome& aOutcome, const std::string& aDetails)
{
  std::cout << std::endl;
  if (aOutcome.code() == 0) {
    std::cerr << aDetails << std::endl;
    return ExitCode::Done;
  }
  std::cerr << client::Describe(aOutcome) << "; " << aDetails << std::endl;
  return ExitCode::Failed;
}

base::Result<ExitCode>
CallPlain(client::Client& aClient, const caller::CallRequest& aCall)
{
  caller::ServiceCallRequest request;
  request.set_service(aCall.service());
  request.set_kind(aCall.kind());
  request.set_request_key(aCall.request_key());
  request.set_deadline_ms(aCall.deadline_ms());
  request.set_payload(aCall.prompt());
  BOOST_LEAF_AUTO(reply, aClient.CallService(request));
  std::cout << reply.payload();
  return Conclude(reply.outcome(),
                  "key " + reply.request_key() +
                    (reply.duplicate() ? ", seen before" : ""));
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  BOOST_LEAF_AUTO(client, MakeClient(aArguments));
  caller::CallRequest request;
  request.set_service(Positional(aArguments, "service"));
  request.set_kind(Positional(aArguments, "kind"));
  request.set_request_key(aArguments["key"].as<std::string>());
  request.set_deadline_ms(aArguments["deadline-ms"].as<std::uint32_t>());
  request.set_max_tokens(aArguments["max-tokens"].as<std::uint32_t>());
  request.set_prompt(Positional(aArguments, "prompt"));
  if (request.prompt() == "-") {
    BOOST_LEAF_AUTO(prompt, ReadInput("-"));
    request.set_prompt(prompt);
  }
  if (aArguments.count("plain") > 0) {
    return CallPlain(client, request);
  }
  BOOST_LEAF_AUTO(answer, client.Call(request, [](std::string_view aText) {
    std::cout << aText << std::flush;
  }));
  if (answer.replacesShown_) {
    std::cout << "\nthe recorded answer differs:\n" << answer.text_;
  }
  return Conclude(
    answer.outcome_,
    "key " + answer.requestKey_ + ", " + std::to_string(answer.tokens_) +
      " tokens" + (answer.endpoint_.empty() ? "" : " from ") +
      answer.endpoint_ + (answer.duplicate_ ? ", seen before" : ""));
}

} // namespace

const Command kCallCommand{
  "call",
  "SERVICE KIND PROMPT|-",
  "Call a service and print the answer as it comes",
  Declare,
  Run,
};

} // namespace pumiceturn::pumicectl
