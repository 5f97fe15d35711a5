#include "ResultPrinter.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace pumiceturn::pumicectl {

void
PrintResult(const caller::ItemResult& aResult)
{
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
