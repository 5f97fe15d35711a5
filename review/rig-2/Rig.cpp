#include "Rig.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxItemsPerPage = 500;

/// A case that takes longer is ended.
constexpr std::chrono::seconds kMaxTime{ 112 };

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](unsigned char aA, unsigned char aB) {
                      return std::tolower(aA) == std::tolower(aB);
                    });
}

std::string
Word(const std::string& aLine, int aIndex)
{
  std::istringstream words(aLine);
  std::string word;
  for (int index = 0; index <= aIndex; ++index) {
    if (!(words >> word)) {
      return {};
    }
  }
  return word;
}

std::string
DecodePercent(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      decoded.push_back(static_cast<char>(
        std::stoi(std::string(aText.substr(index + 1, 2)), nullptr, 16)));
      index += 2;
    } else {
      decoded.push_back(aText[index]);
    }
  }
  return decoded;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const std::size_t begin = aTarget.find('?');
  if (begin == std::string::npos) {
    return query;
  }
  std::istringstream pairs(aTarget.substr(begin + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const std::size_t equals = pair.find('=');
    query[pair.substr(0, equals)] = equals == std::string::npos
                                      ? std::string()
                                      : DecodePercent(pair.substr(equals + 1));
  }
  return query;
}

Message
ParseHead(const std::string& aText)
{
  Message message;
  std::istringstream lines(aText);
  std::getline(lines, message.firstLine_);
  if (!message.firstLine_.empty() && message.firstLine_.back() == '\r') {
    message.firstLine_.pop_back();
  }
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    message.fields_.emplace_back(line.substr(0, colon), line.substr(begin));
  }
  return message;
}

} // namespace

Recorder::Recorder(const std::string& aPath)
  : file_(aPath)
{
}

double
Recorder::Seconds() const
{
  return std::chrono::duration<double>(Clock::now() - startedAt_).count();
}

void
Recorder::Line(const std::string& aText)
{
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", Seconds());
  const std::lock_guard lock(mutex_);
  file_ << time.data() << aText << '\n' << std::flush;
}

std::string
Message::Field(std::string_view aName) const
{
  for (const auto& [name, value] : fields_) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string
Message::Method() const
{
  return Word(firstLine_, 0);
}

std::string
Message::Target() const
{
  return Word(firstLine_, 1);
}

int
Message::Status() const
{
  const std::string status = Word(firstLine_, 1);
  return status.empty() ? 0 : std::atoi(status.c_str());
}

Connection::~Connection()
{
  ::close(socket_);
}

bool
Connection::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      ::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void
Connection::ResetOnClose() const
{
  const linger option{ 1, 0 };
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool
Connection::IsClosedByPeer() const
{
  char byte = 0;
  const ssize_t read = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Connection::Swallow()
{
  while (ReadMore(std::nullopt) == ReadResult::Bytes) {
    input_.clear();
  }
}

Connection::ReadResult
Connection::ReadMore(std::optional<Clock::time_point> aDeadline)
{
  if (aDeadline) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(*aDeadline - Clock::now());
    pollfd descriptor{ socket_, POLLIN, 0 };
    if (left.count() <= 0 ||
        ::poll(&descriptor, 1, static_cast<int>(left.count())) == 0) {
      return ReadResult::TimedOut;
    }
  }
  std::array<char, 65536> bytes{};
  const ssize_t read = ::recv(socket_, bytes.data(), bytes.size(), 0);
  if (read == 0) {
    return ReadResult::End;
  }
  if (read < 0) {
    return ReadResult::Failed;
  }
  input_.append(bytes.data(), static_cast<std::size_t>(read));
  return ReadResult::Bytes;
}

bool
Connection::ReadHead(Message& aMessage,
                     std::optional<Clock::time_point> aDeadline,
                     ReadResult& aResult)
{
  std::size_t end = input_.find(kHeadEnd);
  while (end == std::string::npos) {
    aResult = ReadMore(aDeadline);
    if (aResult != ReadResult::Bytes) {
      return false;
    }
    end = input_.find(kHeadEnd);
  }
  aMessage = ParseHead(input_.substr(0, end));
  input_.erase(0, end + kHeadEnd.size());
  return true;
}

bool
Connection::ReadRequest(Message& aRequest)
{
  ReadResult result = ReadResult::Bytes;
  if (!ReadHead(aRequest, std::nullopt, result)) {
    return false;
  }
  const std::string length = aRequest.Field("Content-Length");
  const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
  while (input_.size() < bytes) {
    if (ReadMore(std::nullopt) != ReadResult::Bytes) {
      return false;
    }
  }
  aRequest.body_ = input_.substr(0, bytes);
  input_.erase(0, bytes);
  return true;
}

bool
Connection::ReadTo(std::size_t aBytes,
                   std::optional<Clock::time_point> aDeadline,
                   ReadResult& aResult)
{
  while (input_.size() < aBytes) {
    aResult = ReadMore(aDeadline);
    if (aResult != ReadResult::Bytes) {
      return false;
    }
  }
  return true;
}

bool
Connection::ReadChunks(std::string& aBody,
                       std::optional<Clock::time_point> aDeadline,
                       ReadResult& aResult)
{
  for (;;) {
    std::size_t lineEnd = input_.find("\r\n");
    while (lineEnd == std::string::npos) {
      aResult = ReadMore(aDeadline);
      if (aResult != ReadResult::Bytes) {
        return false;
      }
      lineEnd = input_.find("\r\n");
    }
    const std::size_t size = std::stoul(input_.substr(0, lineEnd), nullptr, 16);
    if (!ReadTo(lineEnd + 2 + size + 2, aDeadline, aResult)) {
      return false;
    }
    aBody.append(input_, lineEnd + 2, size);
    input_.erase(0, lineEnd + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

Answer
Connection::ReadAnswer(Clock::time_point aDeadline)
{
  Answer answer;
  ReadResult result = ReadResult::Bytes;
  const auto endOf = [](ReadResult aResult) {
    return aResult == ReadResult::TimedOut ? BodyEnd::TimedOut
                                           : BodyEnd::Broken;
  };
  if (!ReadHead(answer.message_, aDeadline, result)) {
    answer.end_ = endOf(result);
    return answer;
  }
  answer.hasHead_ = true;
  std::string& body = answer.message_.body_;
  if (answer.message_.Field("Transfer-Encoding") == "chunked") {
    const bool isWhole = ReadChunks(body, aDeadline, result);
    answer.end_ = isWhole ? BodyEnd::Complete : endOf(result);
    return answer;
  }
  const std::string length = answer.message_.Field("Content-Length");
  if (!length.empty()) {
    const std::size_t bytes = std::stoul(length);
    const bool isWhole = ReadTo(bytes, aDeadline, result);
    body = input_.substr(0, bytes);
    input_.erase(0, body.size());
    answer.end_ = isWhole ? BodyEnd::Complete : endOf(result);
    return answer;
  }
  do {
    result = ReadMore(aDeadline);
  } while (result == ReadResult::Bytes);
  body = std::exchange(input_, {});
  answer.end_ = result == ReadResult::End ? BodyEnd::Closed : endOf(result);
  return answer;
}

Server::Server(const std::string& aIp, std::uint16_t aPort, Handler aHandler)
  : ip_(aIp)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, 256) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
        0) {
    throw std::runtime_error("can't listen on " + aIp);
  }
  ::fcntl(listener, F_SETFD, FD_CLOEXEC);
  port_ = ntohs(address.sin_port);
  std::thread([listener, handler = std::move(aHandler)] {
    for (;;) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      const int noDelay = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
      std::thread([socket, handler] {
        Connection connection(socket);
        handler(connection);
      }).detach();
    }
  }).detach();
}

std::string
Server::Address() const
{
  return ip_ + ":" + std::to_string(port_);
}

Store::Store(const std::string& aIp, std::uint16_t aPort)
{
  server_ = std::make_unique<Server>(
    aIp, aPort, [this](Connection& aConnection) { Serve(aConnection); });
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(Milliseconds(50));
      ExpireLeases();
    }
  }).detach();
}

void
Store::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.ReadRequest(request)) {
    if (mode_ == Mode::Silent) {
      aConnection.Swallow();
      return;
    }
    const auto [status, body] = Handle(request);
    if (mode_ == Mode::Silent) {
      aConnection.Swallow();
      return;
    }
    const std::string text = body.dump();
    if (!aConnection.Send("HTTP/1.1 " + std::to_string(status) +
                          " X\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

std::pair<int, json>
Store::Handle(const Message& aRequest)
{
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  if (path == "/api/kv-key") {
    return HandleKey(query);
  }
  if (path == "/api/kv-range") {
    return HandleRange(query);
  }
  if (path == "/api/kv-watch") {
    return HandleWatch(query);
  }
  if (path == "/api/kv-txn") {
    return HandleTransaction(json::parse(aRequest.body_));
  }
  const std::lock_guard lock(mutex_);
  if (path == "/api/kv-lease") {
    const Milliseconds lifetime(
      json::parse(aRequest.body_).at("ttlMs").get<std::int64_t>());
    const std::uint64_t lease = nextLease_++;
    leases_[lease] = { lifetime, Clock::now() + lifetime };
    return { 200, { { "lease", lease }, { "ttlMs", lifetime.count() } } };
  }
  const std::uint64_t lease =
    std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return { 404, json::object() };
  }
  if (path.starts_with("/api/kv-keep/")) {
    found->second.endsAt_ = Clock::now() + found->second.lifetime_;
    return { 200, { { "ttlMs", found->second.lifetime_.count() } } };
  }
  found->second.endsAt_ = Clock::now();
  return { 200, json::object() };
}

json
Store::ItemJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.value_) },
           { "revision", aItem.revision_ },
           { "created", aItem.created_ },
           { "lease", aItem.lease_ } };
}

std::pair<int, json>
Store::HandleKey(const std::map<std::string, std::string>& aQuery)
{
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(aQuery.at("key"));
  if (found == items_.end()) {
    return { 404, { { "currentRev", revision_ } } };
  }
  json body = ItemJson(found->first, found->second);
  body["currentRev"] = revision_;
  return { 200, std::move(body) };
}

std::pair<int, json>
Store::HandleRange(const std::map<std::string, std::string>& aQuery)
{
  constexpr std::size_t kMaxPageBytes = 1000000;
  const std::lock_guard lock(mutex_);
  const std::string& prefix = aQuery.at("prefix");
  const auto after = aQuery.find("after");
  json rows = json::array();
  std::size_t bytes = 0;
  bool isTruncated = false;
  auto item = after == aQuery.end() ? items_.lower_bound(prefix)
                                    : items_.upper_bound(after->second);
  for (; item != items_.end() && item->first.starts_with(prefix); ++item) {
    if (rows.size() == kMaxItemsPerPage || bytes > kMaxPageBytes) {
      isTruncated = true;
      break;
    }
    bytes += item->second.value_.size();
    rows.push_back(ItemJson(item->first, item->second));
  }
  return { 200,
           { { "items", std::move(rows) },
             { "truncated", isTruncated },
             { "currentRev", revision_ } } };
}

std::pair<int, json>
Store::HandleWatch(const std::map<std::string, std::string>& aQuery)
{
  const std::string prefix = aQuery.at("prefix");
  const std::uint64_t after =
    std::strtoull(aQuery.at("after").c_str(), nullptr, 10);
  const auto deadline =
    Clock::now() + Milliseconds(std::atoi(aQuery.at("waitMs").c_str()));
  std::unique_lock lock(mutex_);
  json events = json::array();
  for (;;) {
    for (const json& event : history_) {
      const auto& key = event.at("key").get_ref<const std::string&>();
      if (event.at("revision").get<std::uint64_t>() > after &&
          key.starts_with(prefix)) {
        events.push_back(event);
      }
    }
    if (!events.empty() ||
        changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
      break;
    }
  }
  return { 200,
           { { "events", std::move(events) }, { "currentRev", revision_ } } };
}

void
Store::PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease,
                 std::uint64_t aRevision)
{
  Item& item = items_[aKey];
  item.value_ = aValue;
  item.created_ = item.created_ == 0 ? aRevision : item.created_;
  item.revision_ = aRevision;
  item.lease_ = aLease;
  history_.push_back(ItemJson(aKey, item));
}

void
Store::RemoveLocked(const std::string& aKey, std::uint64_t aRevision)
{
  if (items_.erase(aKey) > 0) {
    history_.push_back(
      { { "key", aKey }, { "revision", aRevision }, { "removed", true } });
  }
}

std::pair<int, json>
Store::HandleTransaction(const json& aCall)
{
  const std::lock_guard lock(mutex_);
  json current = json::array();
  bool holds = true;
  for (const json& row : aCall.at("expectedRev")) {
    const std::string key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const std::uint64_t revision =
      found == items_.end() ? 0 : found->second.revision_;
    holds = holds && revision == row.at("revision").get<std::uint64_t>();
    if (found != items_.end()) {
      current.push_back(ItemJson(key, found->second));
    }
  }
  if (!holds) {
    return { 412, { { "items", std::move(current) } } };
  }
  for (const json& put : aCall.at("puts")) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{ 0 });
    if (lease != 0 && !leases_.contains(lease)) {
      return { 404, json::object() };
    }
  }
  ++revision_;
  for (const json& put : aCall.at("puts")) {
    PutLocked(put.at("key").get<std::string>(),
              DecodeBase64(put.at("value").get<std::string>()),
              put.value("lease", std::uint64_t{ 0 }),
              revision_);
  }
  for (const json& key : aCall.at("remove")) {
    RemoveLocked(key.get<std::string>(), revision_);
  }
  changed_.notify_all();
  return { 200, { { "revision", revision_ } } };
}

void
Store::ExpireLeases()
{
  const std::lock_guard lock(mutex_);
  const auto now = Clock::now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (mode_ == Mode::Silent) {
      // Leases pause while the store is down.
      lease->second.endsAt_ += Milliseconds(50);
    }
    if (lease->second.endsAt_ > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease_ == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveLocked(key, ++revision_);
    }
    lease = leases_.erase(lease);
    changed_.notify_all();
  }
}

std::uint64_t
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  PutLocked(aKey, aValue, 0, ++revision_);
  changed_.notify_all();
  return revision_;
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  RemoveLocked(aKey, ++revision_);
  changed_.notify_all();
}

std::map<std::string, std::string>
Store::Range(const std::string& aPrefix)
{
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::string> values;
  for (auto item = items_.lower_bound(aPrefix);
       item != items_.end() && item->first.starts_with(aPrefix);
       ++item) {
    values[item->first] = item->second.value_;
  }
  return values;
}

Deployment::Deployment(Recorder& aRecorder)
  : recorder_(aRecorder)
{
  ::signal(SIGPIPE, SIG_IGN);
  std::string folder = std::filesystem::temp_directory_path() / "reviewXXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = folder;
  std::random_device random;
  network_ = "127." + std::to_string(20 + random() % 200) + "." +
             std::to_string(1 + random() % 250) + ".";
  store_ = std::make_unique<Store>(Ip(1), 8169);
  std::thread([this] {
    std::this_thread::sleep_for(kMaxTime);
    recorder_.Line("out of time");
    Finish(kCouldNotRun);
  }).detach();
}

void
Deployment::EndAll()
{
  const std::lock_guard lock(mutex_);
  for (auto& [node, process] : processes_) {
    if (process.pid_ > 0) {
      ::kill(process.pid_, SIGKILL);
      ::waitpid(process.pid_, nullptr, 0);
      process.pid_ = -1;
    }
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  } else {
    std::cerr << "logs: " << folder_ << '\n';
  }
}

void
Deployment::Finish(int aStatus)
{
  recorder_.Line(aStatus == kHeld     ? "the rule held"
                 : aStatus == kBroken ? "the rule was broken"
                                      : "the case couldn't run");
  EndAll();
  ::_exit(aStatus);
}

std::string
Deployment::Ip(int aHost) const
{
  return network_ + std::to_string(aHost);
}

void
Deployment::Start(const std::string& aNode, int aHost, Role aRole)
{
  const std::string ip = Ip(aHost);
  const bool isFront = aRole == Role::Front;
  std::ofstream settings(folder_ + "/" + aNode + ".yaml");
  settings << "node: \"" << aNode << "\"\n"
           << "role: \"" << (isFront ? "gateway" : "worker") << "\"\n"
           << "machineClass: \"" << (isFront ? "front" : "store") << "\"\n"
           << "serves:\n  - \"" << (isFront ? "front" : "store") << "\"\n"
           << "ip: \"" << ip << "\"\nzone: \"a\"\nregion: \"r\"\n"
           << "zones:\n  a: \"r\"\n";
  if (isFront) {
    settings << "listen:\n  front: \"" << ip << ":" << kFrontPort
             << "\"\n  ready: \"" << ip << ":" << kReadyPort << "\"\n";
  } else {
    settings << "listen: {}\n";
  }
  settings << "portRange:\n  - 7720\n  - 7735\nseeds: []\nbootstrap: true\n"
           << "countsAsLoss: " << (isFront ? "false" : "true") << "\n"
           << "limits:\n  cpuShare: " << (isFront ? "0.19" : "0.5")
           << "\n  cores: 1\n  memoryMb: "
           << (isFront ? kMemoryMbFront : kMemoryMbStore)
           << "\n  maxFds: " << (isFront ? 4100 : 8200)
           << "\n  linkMbps: 1000.0\n  diskMb: " << (isFront ? 0 : 620) << "\n";
  if (isFront) {
    settings << "dataDir: null\n";
  } else {
    std::filesystem::create_directories(folder_ + "/data-" + aNode);
    settings << "dataDir: \"" << folder_ << "/data-" << aNode << "\"\n";
  }
  settings << "discovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n"
           << "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n"
           << "  - \"cost\"\n  - \"recover\"\n  - \"batch\"\n  - \"stream\"\n"
           << "  - \"engine\"\n  - \"platform\"\n"
           << "tolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n"
           << "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 3000\n"
           << "  ackMs: 4000\n  catchUpS: 5.2\n  drainMs: 2000\n  graceS: 8\n"
           << "  lossSlackMs: 200\n  configApplyMs: 2000\n"
           << "  rollbackSlackMs: 250\n  outerMs: 5000\n  recoveryS: 12\n"
           << "  passMs: 120\n  againS: 0\n  finishS: 18\n  statusS: 120\n"
           << "  cancelMs: 3000\n  settleMs: 1000\n  quotaOverage: 0.1\n"
           << "platform:\n  address: \"" << store_->Address()
           << "\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n"
           << "  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n";
  settings.close();
  {
    const std::lock_guard lock(mutex_);
    processes_[aNode] = { -1, aRole, aHost };
  }
  StartAgain(aNode);
}

void
Deployment::StartAgain(const std::string& aNode)
{
  const std::string settings =
    "PUMICETURN_BOOT=" + folder_ + "/" + aNode + ".yaml";
  const std::string log = folder_ + "/" + aNode + ".log";
  const char* program = "target/platform/pumiceturn-gateway";
  const pid_t pid = ::fork();
  if (pid == 0) {
    // Ends with the case, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    std::array<char*, 2> arguments{ const_cast<char*>(program), nullptr };
    std::array<char*, 2> environment{ const_cast<char*>(settings.c_str()),
                                      nullptr };
    ::execve(program, arguments.data(), environment.data());
    ::_exit(127);
  }
  {
    const std::lock_guard lock(mutex_);
    processes_.at(aNode).pid_ = pid;
  }
  recorder_.Line("process of " + aNode + " started");
}

pid_t
Deployment::Pid(const std::string& aNode) const
{
  const std::lock_guard lock(mutex_);
  return processes_.at(aNode).pid_;
}

void
Deployment::Signal(const std::string& aNode, int aSignal)
{
  const std::lock_guard lock(mutex_);
  ::kill(processes_.at(aNode).pid_, aSignal);
}

void
Deployment::Kill(const std::string& aNode)
{
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(aNode);
  if (process.pid_ > 0) {
    ::kill(process.pid_, SIGKILL);
    ::waitpid(process.pid_, nullptr, 0);
    process.pid_ = -1;
    recorder_.Line("process of " + aNode + " killed");
  }
}

bool
Deployment::AwaitReady(Milliseconds aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  while (Clock::now() < deadline) {
    const bool areReady = std::all_of(
      processes_.begin(), processes_.end(), [this](const auto& aEntry) {
        const Process& process = aEntry.second;
        return process.role_ != Role::Front ||
               Call(Ip(process.host_),
                    kReadyPort,
                    "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n",
                    Milliseconds(500))
                   .message_.Status() == 200;
      });
    if (areReady) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(100));
  }
  return false;
}

std::string
Deployment::LogOf(const std::string& aNode) const
{
  std::ifstream file(folder_ + "/" + aNode + ".log");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int
Connect(const std::string& aIp, std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

Answer
Call(const std::string& aIp,
     std::uint16_t aPort,
     const std::string& aRequest,
     Milliseconds aTimeout)
{
  const int socket = Connect(aIp, aPort);
  if (socket < 0) {
    return {};
  }
  Connection connection(socket);
  if (!connection.Send(aRequest)) {
    return {};
  }
  return connection.ReadAnswer(Clock::now() + aTimeout);
}

std::string
RandomId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(random()));
  return text.data();
}

namespace {

constexpr std::string_view kBase64 =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string
EncodeBase64(std::string_view aText)
{
  std::string encoded;
  encoded.reserve((aText.size() + 2) / 3 * 4);
  for (std::size_t index = 0; index < aText.size(); index += 3) {
    std::uint32_t group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group = group << 8U | (index + byte < aText.size()
                               ? static_cast<unsigned char>(aText[index + byte])
                               : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      encoded.push_back(index + digit > aText.size()
                          ? '='
                          : kBase64[group >> (18 - 6 * digit) & 63U]);
    }
  }
  return encoded;
}

std::string
DecodeBase64(std::string_view aText)
{
  std::string decoded;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char letter : aText) {
    const std::size_t value = kBase64.find(letter);
    if (value == std::string_view::npos) {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      decoded.push_back(static_cast<char>(group >> bits & 255U));
    }
  }
  return decoded;
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace review
