#include "LibStandin/StateFile.h"

#include "LibStandin/KeyValueJson.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

KeyValueEntry
ParseEntry(const json& aEntry)
{
  KeyValueEntry entry;
  entry.key_ = BytesField(aEntry, "key");
  entry.value_ = BytesField(aEntry, "value");
  entry.createRevision_ = NumberField(aEntry, "create_revision");
  entry.modRevision_ = NumberField(aEntry, "mod_revision");
  entry.version_ = NumberField(aEntry, "version");
  entry.lease_ = NumberField(aEntry, "lease");
  return entry;
}

} // namespace

base::Result<void>
SaveState(const KeyValueStore& aStore, const std::string& aPath)
{
  json state{ { "revision", aStore.Revision() }, { "kvs", json::array() } };
  for (const auto& [key, entry] : aStore.Entries()) {
    state["kvs"].push_back(ToJson(entry));
  }
  const std::string next = aPath + ".new";
  std::ofstream file(next, std::ios::trunc);
  file << state.dump() << '\n';
  file.close();
  std::error_code error;
  if (file) {
    std::filesystem::rename(next, aPath, error);
  }
  if (!file || error) {
    return base::Fail(base::ResultCode::InputOutput, aPath);
  }
  return {};
}

base::Result<void>
LoadState(KeyValueStore& aStore, const std::string& aPath)
{
  if (!std::filesystem::exists(aPath)) {
    return {};
  }
  std::ifstream file(aPath);
  try {
    const json state = json::parse(file);
    std::vector<KeyValueEntry> entries;
    for (const json& entry : state.at("kvs")) {
      entries.push_back(ParseEntry(entry));
    }
    aStore.Restore(state.at("revision").get<std::uint64_t>(),
                   std::move(entries));
  } catch (const json::exception& error) {
    return base::Fail(base::ResultCode::CorruptRecord, error.what());
  } catch (const std::logic_error& error) {
    return base::Fail(base::ResultCode::CorruptRecord, error.what());
  }
  return {};
}

} // namespace pumiceturn::standin
