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

/// Whole entries of each kind, and ways to spoil them.
class SpoiledEntriesFixture
{
protected:
  SpoiledEntriesFixture()
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
    batch::SpooledJob held;
    held.id_ = "lot";
    held.content_ = "content";
    whole_ = { configuration.dump(),
               server.dump(),
               json{ { "items", { item } } }.dump(),
               gateway::EncodeHostRecord({ "h/1", "10.0.0.1:1", "10.0.0.1:2" }),
               batch::EncodeState({ "h/1", 5, 2, 1, "a.example", "/p" }),
               batch::EncodeResults(
                 { { "i", batch::ItemState::Completed, "text" } }),
               batch::EncodeProgress({ { "i", { 4, "text" } } }),
               batch::EncodeSpooledJob(held),
               "{\"lot\":900}" };
  }

  std::size_t Draw(std::size_t aBelow)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(random_);
  }

  /// Values that a field may hold by mistake or malice.
  json OddValue()
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
    return kValues[Draw(kValues.size())];
  }

  std::string SpoilFields(const std::string& aText)
  {
    json value = json::parse(aText, nullptr, false);
    json* place = &value;
    // Down to a random depth.
    while (place->is_structured() && !place->empty() && Draw(3) != 0) {
      auto at = place->begin();
      std::advance(at, Draw(place->size()));
      place = &*at;
    }
    *place = OddValue();
    return value.dump(-1, ' ', false, json::error_handler_t::ignore);
  }

  std::string Spoil(std::string aText)
  {
    constexpr std::size_t kDeep = 1000;
    switch (Draw(5)) {
      case 0:
        return SpoilFields(aText);
      case 1:
        aText[Draw(aText.size())] = static_cast<char>(Draw(256));
        return aText;
      case 2:
        return aText.substr(0, Draw(aText.size()));
      case 3:
        return std::string(Draw(kDeep), '[') + aText;
      default:
        return aText.insert(Draw(aText.size()), aText);
    }
  }

  /// Reads a text with every reader; none may throw.
  void ReadAll(const std::string& aText)
  {
    metadata::StoreItem item;
    item.value_ = aText;
    item.key_ = "op/config";
    (void)entries_.ReadDeclarations(item);
    item.key_ = "op/retire/" + aText.substr(0, 8);
    (void)entries_.ReadRetirement(item);
    item.key_ = "servers/i-1";
    if (const auto record = entries_.ReadEndpoint(item)) {
      CHECK(record->slots_ > 0);
      CHECK_FALSE(record->service_.empty());
      CHECK(gateway::ParseAddress(record->address_));
    }
    (void)requests_.ReadBatchJobContent(aText);
    (void)gateway::DecodeHostRecord(aText);
    (void)batch::DecodeState(aText);
    (void)batch::DecodeResults(aText);
    (void)batch::DecodeProgress(aText);
    (void)batch::DecodeSpooledJob(aText);
    (void)batch::DecodeLedger(aText);
  }

  std::vector<std::string> whole_;
  PlatformStoreCodec entries_;
  RequestCodec requests_;
  std::mt19937_64 random_{ 20 };
};

// Every host ends at the same moment, and again after each start: one key in
// the store holds what a reader didn't expect.
// PUMICETURN_SPOILED_INPUTS sets how many texts are tried.
TEST_CASE_METHOD(SpoiledEntriesFixture, "Entries_Spoiled_NoReaderThrows")
{
  std::size_t inputs = 5000;
  // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs here.
  if (const char* wanted = std::getenv("PUMICETURN_SPOILED_INPUTS")) {
    inputs = std::stoul(wanted);
  }
  for (const std::string& text : whole_) {
    ReadAll(text);
  }
  for (std::size_t input = 0; input < inputs; ++input) {
    std::string text = Spoil(whole_[Draw(whole_.size())]);
    if (Draw(4) == 0 && !text.empty()) {
      text = Spoil(std::move(text));
    }
    try {
      ReadAll(text);
    } catch (const std::exception& problem) {
      FAIL("input " << input << ": " << problem.what() << ": " << text);
    }
  }
}

} // namespace pumiceturn::adapter
