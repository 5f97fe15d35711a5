#include "LibPlatform/HostDirectory.h"

#include "LibBase/Result.h"
#include "LibPlatform/Events.h"
#include "LibPlatform/HostListReader.h"

#include <google/protobuf/util/message_differencer.h>
#include <httplib.h>

#include <fstream>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

namespace pumiceturn::platform {

namespace {

using base::Fail;
using base::Result;
using base::ResultCode;

constexpr std::string_view kHttpScheme = "http://";
constexpr std::chrono::seconds kHttpTimeout{ 2 };
constexpr int kStatusOk = 200;

Result<std::string>
ReadPage(const std::string& aUrl)
{
  const std::size_t slash = aUrl.find('/', kHttpScheme.size());
  const std::string path =
    slash == std::string::npos ? "/" : aUrl.substr(slash);
  httplib::Client client(aUrl.substr(0, slash));
  client.set_connection_timeout(kHttpTimeout);
  client.set_read_timeout(kHttpTimeout);
  const httplib::Result result = client.Get(path);
  if (!result) {
    return Fail(ResultCode::UnreadableFile,
                aUrl + ": " + httplib::to_string(result.error()));
  }
  if (result->status != kStatusOk) {
    return Fail(ResultCode::UnreadableFile,
                aUrl + ": status " + std::to_string(result->status));
  }
  return result->body;
}

Result<std::string>
ReadSource(const std::string& aSource)
{
  if (aSource.starts_with(kHttpScheme)) {
    return ReadPage(aSource);
  }
  std::ifstream stream(aSource);
  if (!stream) {
    return Fail(ResultCode::UnreadableFile, aSource);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result<settings::HostList>
ReadList(const std::string& aSource)
{
  BOOST_LEAF_AUTO(text, ReadSource(aSource));
  return ReadHostList(text);
}

} // namespace

struct HostDirectory::State
{
  Options options_;
  std::mutex refreshing_; ///< One refresh at a time, so lists stay in order.
  std::mutex mutex_;      ///< Of the members below; taken after refreshing_.
  Snapshot current_ = std::make_shared<const settings::HostList>();
  std::vector<std::function<void(const Snapshot&)>> handlers_;
};

HostDirectory::HostDirectory(Options aOptions)
  : state_(std::make_unique<State>())
{
  state_->options_ = std::move(aOptions);
}

HostDirectory::~HostDirectory() = default;

void
HostDirectory::Refresh()
{
  const std::lock_guard refreshing(state_->refreshing_);
  auto outcome =
    base::Capture([&] { return ReadList(state_->options_.source_); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    base::Log(kHostListUnreadable,
              { { "source", state_->options_.source_ },
                { "code", static_cast<int>(failure->code_) },
                { "reason", failure->detail_ } });
    return;
  }
  const auto list = std::make_shared<const settings::HostList>(
    std::get<settings::HostList>(std::move(outcome)));
  using google::protobuf::util::MessageDifferencer;
  if (MessageDifferencer::Equals(*Current(), *list)) {
    return;
  }
  std::vector<std::function<void(const Snapshot&)>> handlers;
  {
    const std::lock_guard lock(state_->mutex_);
    state_->current_ = list;
    handlers = state_->handlers_;
  }
  base::Log(kHostListChanged, { { "hosts", list->hosts_size() } });
  for (const auto& handler : handlers) {
    handler(list);
  }
}

HostDirectory::Snapshot
HostDirectory::Current() const
{
  const std::lock_guard lock(state_->mutex_);
  return state_->current_;
}

std::optional<settings::ListedHost>
HostDirectory::Find(std::string_view aName) const
{
  const Snapshot list = Current();
  for (const settings::ListedHost& host : list->hosts()) {
    if (host.name() == aName) {
      return host;
    }
  }
  return std::nullopt;
}

void
HostDirectory::Subscribe(std::function<void(const Snapshot&)> aHandler)
{
  const std::lock_guard lock(state_->mutex_);
  state_->handlers_.push_back(std::move(aHandler));
}

} // namespace pumiceturn::platform
