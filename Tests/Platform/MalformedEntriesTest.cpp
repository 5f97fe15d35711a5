#include "LibBatch/SpooledJob.h"
#include "LibBatch/TokenLedger.h"
#include "LibGateway/EndpointAddress.h"
#include "LibGateway/HostRecord.h"
#include "Tests/Platform/TestRoute.h"
#include "platform/PlatformStoreCodec.h"
#include "platform/RequestCodec.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

using nlohmann::json;

/// Valid entries of each kind, and random mutations of them.
class MalformedEntriesFixture
{
protected:
  MalformedEntriesFixture()
  {
    const json configuration = { { "version", 3 },
                                 { "routes",
                                   { MakeTestRoute("a", "stream"),
                                     MakeTestRoute("b", "batch") } },
                                 { "limits", { { "maxBodyBytes", 4096 } } },
                                 { "tenants",
                                   { { { "name", "o" },
                                       { "apiKeys", { "k1", "k2" } },
                                       { "ratePerS", 5 },
                                       { "burst", 5.5 } } } } };
    const json server = { { "service", "s" },    { "address", "10.0.0.1:80" },
                          { "zone", "z" },       { "version", "v1" },
                          { "slots", 8 },        { "state", "ready" },
                          { "coldLeftMs", 0 },   { "seq", 4 },
                          { "born", 1700000000 } };
    const json item = { { "id", "i" },
                        { "path", "/p" },
                        { "headers", { { "Model", "m" } } },
                        { "body", "cHJvbXB0" },
                        { "tokens", 9 } };
    batch::SpooledJob spooled;
    spooled.id_ = "lot";
    spooled.content_ = "content";
    validEntries_ = {
      configuration.dump(),
      server.dump(),
      json{ { "items", { item } } }.dump(),
      gateway::EncodeHostRecord({ "h/1", "10.0.0.1:1", "10.0.0.1:2" }),
      batch::EncodeState({ "h/1", 5, 2, 1, "a.example", "/p" }),
      batch::EncodeResults({ { "i", batch::ItemState::Completed, "text" } }),
      batch::EncodeProgress({ { "i", { 4, "text" } } }),
      batch::EncodeSpooledJob(spooled),
      "{\"lot\":900}" // A token ledger.
    };
  }

  std::size_t RandomBelow(std::size_t aBelow)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(random_);
  }

  /// @return a random value of an unexpected type or range.
  json UnexpectedValue()
  {
    static const std::vector<json> kValues = { nullptr,
                                               true,
                                               -1,
                                               0,
                                               1e308,
                                               18446744073709551615ULL,
                                               "",
                                               "x",
                                               "\xc3",
                                               json::array(),
                                               json::object(),
                                               "99999999999999" };
    return kValues[RandomBelow(kValues.size())];
  }

  std::string MutateField(const std::string& aText)
  {
    json value = json::parse(aText, nullptr, false);
    json* node = &value;
    // Descends to a random depth.
    while (node->is_structured() && !node->empty() && RandomBelow(3) != 0) {
      auto child = node->begin();
      std::advance(child, RandomBelow(node->size()));
      node = &*child;
    }
    *node = UnexpectedValue();
    return value.dump(-1, ' ', false, json::error_handler_t::ignore);
  }

  std::string Mutate(std::string aText)
  {
    constexpr std::size_t kMaxNesting = 1000;
    switch (RandomBelow(5)) {
      case 0:
        return MutateField(aText);
      case 1:
        aText[RandomBelow(aText.size())] = static_cast<char>(RandomBelow(256));
        return aText;
      case 2:
        return aText.substr(0, RandomBelow(aText.size()));
      case 3:
        return std::string(RandomBelow(kMaxNesting), '[') + aText;
      default:
        return aText.insert(RandomBelow(aText.size()), aText);
    }
  }

  /// Parses a text as every kind of entry.
  void ParseAsEachKind(const std::string& aText)
  {
    metadata::StoreItem item;
    item.value_ = aText;
    item.key_ = "op/config";
    (void)storeCodec_.ReadDeclarations(item);
    item.key_ = "op/retire/" + aText.substr(0, 8);
    (void)storeCodec_.ReadRetirement(item);
    item.key_ = "servers/i-1";
    if (const auto record = storeCodec_.ReadEndpoint(item)) {
      CHECK(record->slots_ > 0);
      CHECK_FALSE(record->service_.empty());
      CHECK(gateway::ParseAddress(record->address_));
    }
    (void)requestCodec_.ReadBatchJobContent(aText);
    (void)gateway::DecodeHostRecord(aText);
    (void)batch::DecodeState(aText);
    (void)batch::DecodeResults(aText);
    (void)batch::DecodeProgress(aText);
    (void)batch::DecodeSpooledJob(aText);
    (void)batch::DecodeLedger(aText);
  }

  std::vector<std::string> validEntries_;
  PlatformStoreCodec storeCodec_;
  RequestCodec requestCodec_;
  std::mt19937_64 random_{ 20 };
};

// Guards against a malformed store entry that crashes every host at once.
// PUMICETURN_SPOILED_INPUTS sets the number of inputs.
TEST_CASE_METHOD(MalformedEntriesFixture,
                 "StoreEntries_Malformed_NoParserThrows")
{
  std::size_t inputs = 5000;
  // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs here.
  if (const char* countText = std::getenv("PUMICETURN_SPOILED_INPUTS")) {
    inputs = std::stoul(countText);
  }
  for (const std::string& text : validEntries_) {
    ParseAsEachKind(text);
  }
  for (std::size_t input = 0; input < inputs; ++input) {
    std::string text = Mutate(validEntries_[RandomBelow(validEntries_.size())]);
    if (RandomBelow(4) == 0 && !text.empty()) {
      text = Mutate(std::move(text));
    }
    try {
      ParseAsEachKind(text);
    } catch (const std::exception& error) {
      FAIL("input " << input << ": " << error.what() << ": " << text);
    }
  }
}

} // namespace pumiceturn::adapter
