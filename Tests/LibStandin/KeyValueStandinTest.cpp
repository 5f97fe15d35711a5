#include "LibStandin/KeyValueStandin.h"

#include "LibBase/Base64.h"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pumiceturn::standin {

namespace {

using nlohmann::json;

std::string
Encode(const char* aText)
{
  return base::EncodeBase64(aText);
}

/// Waits for something that another thread brings about.
template<typename Condition>
void
WaitFor(Condition aCondition)
{
  while (!aCondition()) {
    std::this_thread::yield();
  }
}

struct KeyValueFixture
{
  KeyValueFixture() { Start({}); }

  void Start(const KeyValueStandin::Options& aOptions)
  {
    auto started =
      base::Capture([&] { return KeyValueStandin::Start(aOptions); });
    standin_ = std::get<0>(std::move(started));
    client_ = std::make_unique<httplib::Client>("127.0.0.1", standin_->Port());
  }

  /// @return the answer; null if the connection broke.
  json Post(const std::string& aPath, const json& aBody)
  {
    const auto result = client_->Post(aPath, aBody.dump(), "application/json");
    return result ? json::parse(result->body) : json(nullptr);
  }

  json Put(const char* aKey, const char* aValue)
  {
    return Post("/v3/kv/put",
                { { "key", Encode(aKey) }, { "value", Encode(aValue) } });
  }

  std::string Read(const char* aKey)
  {
    const json reply = Post("/v3/kv/range", { { "key", Encode(aKey) } });
    if (!reply.contains("kvs")) {
      return {};
    }
    return *base::DecodeBase64(reply["kvs"][0]["value"].get<std::string>());
  }

  /// @return whether no other writer came first.
  static bool IncrementOnce(httplib::Client& aClient, const char* aKey)
  {
    const auto post = [&](const char* aPath, const json& aBody) {
      const auto result = aClient.Post(aPath, aBody.dump(), "application/json");
      return json::parse(result->body);
    };
    const json range = post("/v3/kv/range", { { "key", Encode(aKey) } });
    const json& entry = range["kvs"][0];
    const int value =
      std::stoi(*base::DecodeBase64(entry["value"].get<std::string>()));
    const std::string next = std::to_string(value + 1);
    const json swapped =
      post("/v3/kv/txn", MakeSwap(aKey, next.c_str(), entry["mod_revision"]));
    return swapped.contains("succeeded");
  }

  static json MakeSwap(const char* aKey,
                       const char* aValue,
                       const std::string& aRevision)
  {
    const json compare{ { "target", "MOD" },
                        { "result", "EQUAL" },
                        { "key", Encode(aKey) },
                        { "mod_revision", aRevision } };
    const json put{ { "key", Encode(aKey) }, { "value", Encode(aValue) } };
    return { { "compare", json::array({ compare }) },
             { "success", json::array({ { { "requestPut", put } } }) } };
  }

  json Swap(const char* aKey, const char* aValue, const char* aRevision)
  {
    return Post("/v3/kv/txn", MakeSwap(aKey, aValue, aRevision));
  }

  std::unique_ptr<KeyValueStandin> standin_;
  std::unique_ptr<httplib::Client> client_;
};

/// Reads a watch on a thread of its own.
struct WatchReader
{
  WatchReader(int aPort, json aCreate)
    : client_("127.0.0.1", aPort)
    , thread_([this, create = std::move(aCreate)] { Run(create); })
  {
  }

  ~WatchReader()
  {
    client_.stop();
    thread_.join();
  }

  void Run(const json& aCreate)
  {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.body = json{ { "create_request", aCreate } }.dump();
    request.content_receiver =
      [this](const char* aData, std::size_t aLength, auto, auto) {
        const std::scoped_lock lock(mutex_);
        text_.append(aData, aLength);
        return true;
      };
    client_.send(request);
    const std::scoped_lock lock(mutex_);
    ended_ = true;
  }

  bool Saw(const std::string& aText)
  {
    const std::scoped_lock lock(mutex_);
    return text_.find(aText) != std::string::npos;
  }

  bool Ended()
  {
    const std::scoped_lock lock(mutex_);
    return ended_;
  }

  std::mutex mutex_;
  std::string text_;
  bool ended_ = false;
  httplib::Client client_;
  std::thread thread_;
};

} // namespace

TEST_CASE_METHOD(KeyValueFixture,
                 "KeyValueStandin_Calls_FollowThePublishedForm")
{
  CHECK(Put("p/a", "1")["header"]["revision"] == "2");
  Put("p/b", "2");
  const json range = Post("/v3/kv/range",
                          { { "key", Encode("p/") },
                            { "range_end", Encode("p0") },
                            { "limit", "1" } });
  CHECK(range["count"] == "2");
  CHECK(range["more"] == true);
  CHECK(range["kvs"].size() == 1);
  CHECK(range["kvs"][0]["mod_revision"] == "2");
  CHECK(Swap("p/a", "3", "2")["succeeded"] == true);
  CHECK_FALSE(Swap("p/a", "4", "2").contains("succeeded"));
  CHECK(Read("p/a") == "3");
  const json deleted = Post("/v3/kv/deleterange", { { "key", Encode("p/a") } });
  CHECK(deleted["deleted"] == "1");
  CHECK(Read("p/a").empty());
  CHECK(standin_->Stats().txn_ == 2);
  CHECK(standin_->Stats().Calls() == 8);
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_MalformedCall_IsRefused")
{
  for (const json& body : { json{ { "key", "%%%" } },
                            json{ { "key", 7 } },
                            json{ { "key", "YQ==" }, { "lease", "no" } } }) {
    CHECK(Post("/v3/kv/put", body).contains("error"));
  }
  CHECK(Post("/standin/faults", { { "outtage", "drop" } }).contains("error"));
  CHECK(Put("a", "1").contains("header"));
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_LostAnswer_TakesEffect")
{
  // A compare-and-swap takes effect, but the connection breaks before its
  // answer. A writer who takes that for a refusal would write twice.
  Post("/standin/faults", { { "lose_answers", 1 } });
  CHECK(Swap("k", "mine", "0").is_null());
  CHECK(Read("k") == "mine");
  CHECK(standin_->Stats().answersLost_ == 1);
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_Outage_HasNoEffect")
{
  Post("/standin/faults", { { "outage", "error" } });
  CHECK(Put("k", "1")["code"] == 14);
  Post("/standin/faults", { { "outage", "drop" } });
  CHECK(Put("k", "2").is_null());
  Post("/standin/faults", { { "outage", "silent" } });
  client_->set_read_timeout(std::chrono::milliseconds{ 20 });
  CHECK(Put("k", "3").is_null());
  client_->set_read_timeout(std::chrono::seconds{ 20 });
  Post("/standin/faults", { { "outage", "none" } });
  CHECK(Read("k").empty());
  CHECK(Put("k", "4").contains("header"));
}

TEST_CASE_METHOD(KeyValueFixture,
                 "KeyValueStandin_RateLimit_RefusesWithoutEffect")
{
  // So slow that the bucket cannot refill within the test.
  Post("/standin/faults", { { "writes_per_second", 0.000001 } });
  CHECK(Put("k", "1").contains("header"));
  CHECK(Put("k", "2")["code"] == 8);
  CHECK(Read("k") == "1");
  CHECK(standin_->Stats().rateLimited_ == 1);
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_Watch_SeesOldAndNewChanges")
{
  Put("w/a", "old");
  WatchReader watch(standin_->Port(),
                    { { "key", Encode("w/") },
                      { "range_end", Encode("w0") },
                      { "start_revision", "2" } });
  WaitFor([&] { return watch.Saw(Encode("old")); });
  Put("w/b", "new");
  Put("other", "unseen");
  Post("/v3/kv/deleterange", { { "key", Encode("w/a") } });
  WaitFor([&] { return watch.Saw("DELETE"); });
  CHECK(watch.Saw("\"created\":true"));
  CHECK(watch.Saw(Encode("new")));
  CHECK_FALSE(watch.Saw(Encode("unseen")));
  CHECK(standin_->Stats().watchesOpen_ == 1);
  Post("/standin/faults", { { "drop_watches", true } });
  WaitFor([&] { return watch.Ended(); });
}

TEST_CASE_METHOD(KeyValueFixture,
                 "KeyValueStandin_SilentWatch_NewOneStillWorks")
{
  // Something between client and service loses track of an open watch: it says
  // nothing more and never ends. A new watch hears everything.
  const json create{ { "key", Encode("k") }, { "start_revision", "2" } };
  WatchReader silent(standin_->Port(), create);
  WaitFor([&] { return silent.Saw("created"); });
  Post("/standin/faults", { { "silence_watches", true } });
  Put("k", "value");
  WatchReader fresh(standin_->Port(), create);
  WaitFor([&] { return fresh.Saw(Encode("value")); });
  CHECK_FALSE(silent.Saw(Encode("value")));
  CHECK_FALSE(silent.Ended());
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_CompactedWatch_IsCancelled")
{
  Put("k", "1");
  Post("/standin/faults", { { "compact", true } });
  WatchReader watch(standin_->Port(),
                    { { "key", Encode("k") }, { "start_revision", "2" } });
  WaitFor([&] { return watch.Ended(); });
  CHECK(watch.Saw("compact_revision"));
}

TEST_CASE_METHOD(KeyValueFixture,
                 "KeyValueStandin_LapsedLease_DeletesAndIsSeen")
{
  const json lease = Post("/v3/lease/grant", { { "TTL", "3600" } });
  Post("/v3/kv/put",
       { { "key", Encode("held") },
         { "value", Encode("x") },
         { "lease", lease["ID"] } });
  CHECK(Post("/v3/lease/keepalive",
             { { "ID", lease["ID"] } })["result"]["TTL"] == "3600");
  Post("/standin/faults", { { "expire_leases", true } });
  CHECK(Read("held").empty());
  CHECK_FALSE(
    Post("/v3/lease/keepalive", { { "ID", lease["ID"] } })["result"].contains(
      "TTL"));
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_StateFile_OutlivesARestart")
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("standin-state-" + std::to_string(::getpid()));
  KeyValueStandin::Options options;
  options.stateFile_ = path.string();
  Start(options);
  Put("k", "kept");
  const std::string revision = Put("k2", "x")["header"]["revision"];
  Start(options);
  CHECK(Read("k") == "kept");
  CHECK(Post("/v3/kv/range", { { "key", "YQ==" } })["header"]["revision"] ==
        revision);
  standin_->Stop();
  std::filesystem::remove(path);
}

TEST_CASE_METHOD(KeyValueFixture, "KeyValueStandin_RacingWriters_LoseNoUpdate")
{
  // Eight operators change one key at the same moment, each by reading it and
  // swapping in a higher number. A swap that both wins and is overwritten
  // unseen would leave a lower sum.
  constexpr int kWriters = 8;
  constexpr int kSwaps = 10;
  Put("sum", "0");
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int writer = 0; writer < kWriters; ++writer) {
    writers.emplace_back([this] {
      httplib::Client client("127.0.0.1", standin_->Port());
      for (int done = 0; done < kSwaps;) {
        done += IncrementOnce(client, "sum") ? 1 : 0;
      }
    });
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  CHECK(Read("sum") == std::to_string(kWriters * kSwaps));
}

} // namespace pumiceturn::standin
