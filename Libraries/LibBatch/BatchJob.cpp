#include "LibBatch/BatchJob.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::batch {

namespace {

using nlohmann::json;

constexpr auto kReplaceInvalidUtf8 = json::error_handler_t::replace;

/// Parses JSON and converts it with a function that may throw on a missing
/// field.
/// @return the value, or nullopt if the text is malformed.
template<typename Value, typename Reader>
std::optional<Value>
ReadJson(std::string_view aText, Reader&& aReader)
{
  try {
    return aReader(json::parse(aText));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string
Serialize(const json& aValue)
{
  return aValue.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

} // namespace

std::uint64_t
TokensOf(const std::vector<BatchItem>& aItems)
{
  std::uint64_t tokens = 0;
  for (const BatchItem& item : aItems) {
    tokens += item.tokens_;
  }
  return tokens;
}

std::string
EncodeState(const BatchJobState& aState)
{
  return Serialize({ { "owner", aState.owner_ },
                     { "accepted", aState.acceptedAtMs_ },
                     { "items", aState.itemCount_ },
                     { "parts", aState.partCount_ },
                     { "host", aState.hostName_ },
                     { "path", aState.path_ },
                     { "ended", aState.isCancelled_ },
                     { "finished", aState.isFinished_ },
                     { "organisation", aState.organisation_ } });
}

std::optional<BatchJobState>
DecodeState(std::string_view aText)
{
  return ReadJson<BatchJobState>(aText, [](const json& aValue) {
    return BatchJobState{ aValue.at("owner").get<std::string>(),
                          aValue.at("accepted").get<std::int64_t>(),
                          aValue.at("items").get<std::uint32_t>(),
                          aValue.at("parts").get<std::uint32_t>(),
                          aValue.at("host").get<std::string>(),
                          aValue.at("path").get<std::string>(),
                          aValue.at("ended").get<bool>(),
                          aValue.at("finished").get<bool>(),
                          aValue.value("organisation", std::string()) };
  });
}

std::string
EncodeResults(const std::vector<ItemResult>& aResults)
{
  json rows = json::array();
  for (const ItemResult& result : aResults) {
    rows.push_back({ { "item", result.item_ },
                     { "completed", result.state_ == ItemState::Completed },
                     { "output", result.output_ } });
  }
  return Serialize(rows);
}

std::optional<std::vector<ItemResult>>
DecodeResults(std::string_view aText)
{
  return ReadJson<std::vector<ItemResult>>(aText, [](const json& aValue) {
    std::vector<ItemResult> results;
    for (const json& row : aValue) {
      const bool isCompleted = row.at("completed").get<bool>();
      results.push_back(
        { row.at("item").get<std::string>(),
          isCompleted ? ItemState::Completed : ItemState::Errored,
          row.at("output").get<std::string>() });
    }
    return results;
  });
}

std::string
EncodeProgress(const std::unordered_map<std::string, PartialOutput>& aProgress)
{
  json rows = json::object();
  for (const auto& [item, partial] : aProgress) {
    rows[item] = { { "event", partial.lastEvent_ },
                   { "output", partial.output_ },
                   { "service", partial.service_ },
                   { "software", partial.softwareVersion_ } };
  }
  return Serialize(rows);
}

std::optional<std::unordered_map<std::string, PartialOutput>>
DecodeProgress(std::string_view aText)
{
  using Progress = std::unordered_map<std::string, PartialOutput>;
  return ReadJson<Progress>(aText, [](const json& aValue) {
    Progress progress;
    for (const auto& [item, row] : aValue.items()) {
      progress[item] = { row.at("event").get<std::uint64_t>(),
                         row.at("output").get<std::string>(),
                         row.value("service", std::string()),
                         row.value("software", std::string()) };
    }
    return progress;
  });
}

} // namespace pumiceturn::batch
