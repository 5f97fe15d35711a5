#include "ResultPrinter.h"

#include "LibClient/StatusDecoder.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace pumiceturn::pumicectl {

namespace {

void
PrintText(const caller::ItemResult& aResult)
{
  std::cout << aResult.name() << (aResult.name().empty() ? "" : ": ")
            << (aResult.outcome().code() == 0
                  ? aResult.text()
                  : client::Describe(aResult.outcome()))
            << std::endl;
}

} // namespace

void
PrintResult(const caller::ItemResult& aResult, ResultFormat aFormat)
{
  if (aFormat == ResultFormat::Text) {
    PrintText(aResult);
    return;
  }
  nlohmann::ordered_json line;
  line["position"] = aResult.position();
  line["item"] = aResult.item();
  line["name"] = aResult.name();
  line["code"] = aResult.outcome().code();
  if (aResult.outcome().code() != 0) {
    line["result"] = aResult.outcome().name();
    line["message"] = aResult.outcome().message();
  }
  line["text"] = aResult.text();
  line["tokens"] = aResult.tokens();
  // An answer may hold any bytes, JSON only UTF-8.
  std::cout << line.dump(-1,
                         ' ',
                         false,
                         nlohmann::ordered_json::error_handler_t::replace)
            << std::endl;
}

} // namespace pumiceturn::pumicectl
