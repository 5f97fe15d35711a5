#include "LibBatch/SpooledJob.h"

#include "LibBase/Ids.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::batch {

using nlohmann::json;

std::string
EncodeSpooledJob(const SpooledJob& aJob)
{
  const std::string rest = EncodeState(aJob.state_) + '\n' + aJob.content_;
  const json head = { { "lot", aJob.id_ },
                      { "bytes", rest.size() },
                      { "hash", base::HashBytes(rest) } };
  return head.dump() + '\n' + rest;
}

std::optional<SpooledJob>
DecodeSpooledJob(std::string_view aText)
{
  const std::size_t headEnd = aText.find('\n');
  if (headEnd == std::string_view::npos) {
    return std::nullopt;
  }
  const json head = json::parse(aText.substr(0, headEnd), nullptr, false);
  const std::string_view rest = aText.substr(headEnd + 1);
  const std::size_t stateEnd = rest.find('\n');
  if (!head.is_object() || stateEnd == std::string_view::npos ||
      head.value("bytes", std::size_t{ 0 }) != rest.size() ||
      head.value("hash", std::uint64_t{ 0 }) != base::HashBytes(rest)) {
    return std::nullopt;
  }
  auto state = DecodeState(rest.substr(0, stateEnd));
  SpooledJob job;
  job.id_ = head.value("lot", std::string());
  if (!state || job.id_.empty()) {
    return std::nullopt;
  }
  job.state_ = std::move(*state);
  job.content_ = rest.substr(stateEnd + 1);
  return job;
}

} // namespace pumiceturn::batch
