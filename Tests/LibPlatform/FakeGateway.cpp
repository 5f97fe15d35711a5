#include "FakeGateway.h"

#include "LibPlatform/Base64.h"

#include <utility>

namespace pumiceturn::platform {

namespace {

using Json = nlohmann::json;

std::string
PlainKey(const Json& aObject, const char* aName)
{
  return DecodeBase64(aObject.value(aName, "")).value();
}

} // namespace

FakeGateway::FakeGateway()
{
  using httplib::Request;
  using httplib::Response;
  server_.Post("/v3/kv/range", [this](const Request& aRequest, Response& aR) {
    OnRange(aRequest, aR);
  });
  server_.Post("/v3/kv/txn", [this](const Request& aRequest, Response& aR) {
    OnTransaction(aRequest, aR);
  });
  server_.Post("/v3/watch", [this](const Request& aRequest, Response& aR) {
    OnWatch(aRequest, aR);
  });
  port_ = server_.bind_to_any_port("127.0.0.1");
  thread_ = std::thread([this] { server_.listen_after_bind(); });
}

FakeGateway::~FakeGateway()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  while (!server_.is_running()) {
    std::this_thread::yield();
  }
  server_.stop();
  thread_.join();
}

std::string
FakeGateway::Address() const
{
  return "127.0.0.1:" + std::to_string(port_);
}

void
FakeGateway::LoseNextAnswer()
{
  const std::lock_guard lock(mutex_);
  loseNextAnswer_ = true;
}

void
FakeGateway::BreakWatches()
{
  const std::lock_guard lock(mutex_);
  ++generation_;
  changed_.notify_all();
}

void
FakeGateway::Compact()
{
  const std::lock_guard lock(mutex_);
  compacted_ = revision_;
}

Json
FakeGateway::Header()
{
  return Json{ { "revision", std::to_string(revision_) } };
}

Json
FakeGateway::RangeOf(const Json& aRequest)
{
  const std::string first = PlainKey(aRequest, "key");
  const std::string end = PlainKey(aRequest, "range_end");
  Json reply{ { "header", Header() } };
  for (const auto& [key, entry] : entries_) {
    const bool within = end.empty() ? key == first : key >= first && key < end;
    if (within) {
      reply["kvs"].push_back(
        Json{ { "key", EncodeBase64(key) },
              { "value", entry.value_ },
              { "mod_revision", std::to_string(entry.revision_) } });
    }
  }
  return reply;
}

void
FakeGateway::OnRange(const httplib::Request& aRequest,
                     httplib::Response& aResponse)
{
  const std::lock_guard lock(mutex_);
  aResponse.set_content(RangeOf(Json::parse(aRequest.body)).dump(),
                        "application/json");
}

void
FakeGateway::OnTransaction(const httplib::Request& aRequest,
                           httplib::Response& aResponse)
{
  const std::lock_guard lock(mutex_);
  const Json request = Json::parse(aRequest.body);
  bool succeeded = true;
  for (const Json& compare : request.value("compare", Json::array())) {
    const auto found = entries_.find(PlainKey(compare, "key"));
    const auto held = found == entries_.end() ? 0 : found->second.revision_;
    succeeded = succeeded && std::to_string(held) == compare["mod_revision"];
  }
  Json reply;
  const auto next = revision_ + 1;
  for (const Json& step : request["success"]) {
    if (!succeeded) {
      break;
    }
    if (step.contains("request_range")) {
      reply["responses"].push_back(
        Json{ { "response_range", RangeOf(step["request_range"]) } });
      continue;
    }
    revision_ = next;
    const bool isPut = step.contains("request_put");
    const Json& change = step[isPut ? "request_put" : "request_delete_range"];
    Json entry{ { "key", change["key"] },
                { "mod_revision", std::to_string(next) } };
    if (isPut) {
      entry["value"] = change["value"];
      entries_[PlainKey(change, "key")] = { change["value"], next };
      history_.push_back(Json{ { "kv", std::move(entry) } });
    } else {
      entries_.erase(PlainKey(change, "key"));
      history_.push_back(
        Json{ { "type", "DELETE" }, { "kv", std::move(entry) } });
    }
  }
  reply["header"] = Header();
  if (succeeded) {
    reply["succeeded"] = true;
  }
  changed_.notify_all();
  if (std::exchange(loseNextAnswer_, false)) {
    aResponse.set_content_provider(
      1, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) {
        return false;
      });
    return;
  }
  aResponse.set_content(reply.dump(), "application/json");
}

void
FakeGateway::OnWatch(const httplib::Request& aRequest,
                     httplib::Response& aResponse)
{
  const std::lock_guard lock(mutex_);
  const Json request = Json::parse(aRequest.body)["create_request"];
  std::uint64_t next =
    std::stoull(request["start_revision"].get<std::string>());
  Json created{ { "header", Header() }, { "created", true } };
  if (next <= compacted_) {
    created["canceled"] = true;
    created["compact_revision"] = std::to_string(compacted_ + 1);
  }
  auto greeting = Json{ { "result", created } }.dump() + "\n";
  aResponse.set_chunked_content_provider(
    "application/json",
    [this, greeting, next, generation = generation_](
      std::size_t aOffset, httplib::DataSink& aSink) mutable {
      if (aOffset == 0) {
        return aSink.write(greeting.data(), greeting.size());
      }
      return SendChanges(generation, next, aSink);
    });
}

bool
FakeGateway::SendChanges(std::uint64_t aGeneration,
                         std::uint64_t& aNext,
                         httplib::DataSink& aSink)
{
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] {
    return stopping_ || generation_ != aGeneration || revision_ >= aNext;
  });
  if (stopping_ || generation_ != aGeneration) {
    return false;
  }
  Json result{ { "header", Header() } };
  for (const Json& event : history_) {
    const auto revision =
      std::stoull(event["kv"]["mod_revision"].get<std::string>());
    if (revision >= aNext) {
      result["events"].push_back(event);
    }
  }
  aNext = revision_ + 1;
  const std::string line = Json{ { "result", result } }.dump() + "\n";
  return aSink.write(line.data(), line.size());
}

} // namespace pumiceturn::platform
