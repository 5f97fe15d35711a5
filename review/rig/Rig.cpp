#include "Rig.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <random>
#include <system_error>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

const auto kStart = std::chrono::steady_clock::now();

std::string
Lower(std::string aText)
{
  for (char& letter : aText) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aText;
}

/// @return the length of the whole answer, or 0 if its head isn't there yet.
std::size_t
LengthOf(const std::string& aAnswer)
{
  const std::string name = "content-length: ";
  const std::size_t head = aAnswer.find("\r\n\r\n");
  if (head == std::string::npos) {
    return 0;
  }
  const std::size_t at = Lower(aAnswer.substr(0, head)).find(name);
  return at == std::string::npos
           ? 0
           : head + 4 + std::stoul(aAnswer.substr(at + name.size()));
}

sockaddr_in
Address(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

std::string
Unescape(const std::string& aText)
{
  std::string out;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      out.push_back(
        static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16)));
      at += 2;
    } else {
      out.push_back(aText[at]);
    }
  }
  return out;
}

constexpr const char* kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
DecodeBase64(const std::string& aText)
{
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const char letter : aText) {
    const char* found = std::strchr(kAlphabet, letter);
    if (found == nullptr || letter == '\0') {
      break;
    }
    value = (value << 6U) | static_cast<unsigned>(found - kAlphabet);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out.push_back(
        static_cast<char>((value >> static_cast<unsigned>(bits)) & 0xffU));
    }
  }
  return out;
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
    .count();
}

void
SleepUntil(double aTime)
{
  const double left = aTime - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

Record::Record(const std::string& aPath)
  : file_(std::fopen(aPath.c_str(), "w"))
{
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f  %s\n", Now(), aText.c_str());
  std::fflush(file_);
}

std::string
Message::Field(const std::string& aName) const
{
  const std::string name = Lower(aName);
  for (const auto& [key, value] : fields_) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string
Message::Path() const
{
  return target_.substr(0, target_.find('?'));
}

std::string
Message::Query(const std::string& aName) const
{
  const std::size_t mark = target_.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string rest = target_.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    if (pair.rfind(aName + "=", 0) == 0) {
      return Unescape(pair.substr(aName.size() + 1));
    }
  }
  return {};
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool
Reader::Fill()
{
  char block[16384];
  const ssize_t count = ::recv(socket_, block, sizeof(block), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(block, static_cast<std::size_t>(count));
  return true;
}

bool
Reader::ReadLine(std::string& aLine)
{
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  aLine = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool
Reader::ReadBytes(std::size_t aCount, std::string& aOut)
{
  while (buffer_.size() < aCount) {
    if (!Fill()) {
      return false;
    }
  }
  aOut.append(buffer_, 0, aCount);
  buffer_.erase(0, aCount);
  return true;
}

bool
Reader::ReadHead(Message& aMessage, std::string& aFirstLine)
{
  aMessage = {};
  if (!ReadLine(aFirstLine)) {
    return false;
  }
  std::string line;
  while (ReadLine(line)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
    aMessage.fields_.emplace_back(
      Lower(line.substr(0, colon)),
      begin == std::string::npos ? "" : line.substr(begin));
  }
  return false;
}

bool
Reader::ReadBody(Message& aMessage, bool aIsResponse)
{
  if (Lower(aMessage.Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::string line;
      if (!ReadLine(line)) {
        return false;
      }
      const std::size_t size = std::stoul(line, nullptr, 16);
      std::string rest;
      if (!ReadBytes(size, aMessage.body_) || !ReadBytes(2, rest)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = aMessage.Field("content-length");
  if (!length.empty()) {
    return ReadBytes(std::stoul(length), aMessage.body_);
  }
  if (!aIsResponse) {
    return true;
  }
  while (Fill()) {
  }
  aMessage.body_ = std::move(buffer_);
  buffer_.clear();
  return true;
}

bool
Reader::ReadRequest(Message& aMessage)
{
  std::string line;
  if (!ReadHead(aMessage, line)) {
    return false;
  }
  const std::size_t first = line.find(' ');
  const std::size_t second = line.rfind(' ');
  if (first == std::string::npos || second <= first) {
    return false;
  }
  aMessage.method_ = line.substr(0, first);
  aMessage.target_ = line.substr(first + 1, second - first - 1);
  return ReadBody(aMessage, false);
}

bool
Reader::ReadResponse(Message& aMessage)
{
  std::string line;
  if (!ReadHead(aMessage, line) || line.size() < 12) {
    return false;
  }
  aMessage.status_ = std::atoi(line.c_str() + 9);
  aMessage.isComplete_ = ReadBody(aMessage, true);
  return true;
}

std::string
MakeResponse(int aStatus,
             const std::string& aBody,
             const std::vector<std::pair<std::string, std::string>>& aFields)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

/// @return a connected socket, or -1.
static int
Open(const std::string& aIp, int aPort, double aTimeout)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(aTimeout);
  limit.tv_usec = static_cast<suseconds_t>(
    (aTimeout - static_cast<double>(limit.tv_sec)) * 1e6);
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Address(aIp, aPort);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

Message
Call(const std::string& aIp,
     int aPort,
     const std::string& aRequest,
     double aTimeout)
{
  Message response;
  const int socket = Open(aIp, aPort, aTimeout);
  if (socket < 0) {
    return response;
  }
  if (SendAll(socket, aRequest)) {
    Reader reader(socket);
    if (!reader.ReadResponse(response)) {
      response.status_ = 0;
    }
  }
  ::close(socket);
  return response;
}

std::string
CallRaw(const std::string& aIp,
        int aPort,
        const std::string& aBytes,
        double aSilence)
{
  std::string received;
  const int socket = Open(aIp, aPort, aSilence);
  if (socket < 0) {
    return received;
  }
  char block[4096];
  ssize_t count = SendAll(socket, aBytes) ? 1 : 0;
  while (count > 0) {
    count = ::recv(socket, block, sizeof(block), 0);
    received.append(block, count > 0 ? static_cast<std::size_t>(count) : 0);
  }
  ::close(socket);
  return received;
}

SteadyRead
CallSteadily(const std::string& aIp,
             int aPort,
             const std::string& aRequest,
             std::size_t aBytes,
             double aPause)
{
  constexpr double kTimeout = 15.0;
  SteadyRead read;
  const double begin = Now();
  const int socket = Open(aIp, aPort, kTimeout);
  if (socket < 0) {
    read.end_ = "no connection";
    return read;
  }
  std::string answer;
  std::vector<char> block(aBytes);
  SendAll(socket, aRequest);
  while (!read.IsComplete()) {
    const ssize_t count = ::recv(socket, block.data(), block.size(), 0);
    if (count <= 0) {
      read.end_ =
        count == 0 ? "closed" : std::generic_category().message(errno);
      break;
    }
    answer.append(block.data(), static_cast<std::size_t>(count));
    read.received_ = answer.size();
    read.expected_ = LengthOf(answer);
    std::this_thread::sleep_for(std::chrono::duration<double>(aPause));
  }
  read.seconds_ = Now() - begin;
  ::close(socket);
  return read;
}

Listener::Listener(const std::string& aIp, int aPort, Handler aHandler)
  : state_(std::make_shared<State>())
{
  state_->socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(state_->socket_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = Address(aIp, aPort);
  if (::bind(state_->socket_,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(state_->socket_, 512) != 0) {
    std::fprintf(stderr, "can't listen at %s:%d\n", aIp.c_str(), aPort);
    std::_Exit(2);
  }
  std::thread([state = state_, handler = std::move(aHandler)] {
    for (;;) {
      const int socket =
        ::accept4(state->socket_, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard lock(state->mutex_);
      if (state->isClosed_) {
        ::close(state->socket_);
        return;
      }
      if (socket < 0) {
        continue;
      }
      const int nodelay = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
      state->connections_.insert(socket);
      std::thread([state, handler, socket] {
        handler(socket);
        const std::lock_guard inner(state->mutex_);
        state->connections_.erase(socket);
        ::close(socket);
      }).detach();
    }
  }).detach();
}

void
Listener::Close()
{
  const std::lock_guard lock(state_->mutex_);
  state_->isClosed_ = true;
  ::shutdown(state_->socket_, SHUT_RDWR);
  for (const int socket : state_->connections_) {
    ::shutdown(socket, SHUT_RDWR);
  }
}

// The platform's store.

Store::Store(const std::string& aIp, int aPort)
{
  static std::vector<std::unique_ptr<Listener>> listeners;
  listeners.push_back(std::make_unique<Listener>(
    aIp, aPort, [this](int aSocket) { Serve(aSocket); }));
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      ExpireLeases();
    }
  }).detach();
}

void
Store::SetDown(bool aIsDown)
{
  isDown_ = aIsDown;
  changed_.notify_all();
}

void
Store::Serve(int aSocket)
{
  Reader reader(aSocket);
  Message request;
  while (reader.ReadRequest(request)) {
    if (isDown_) {
      // "A connection on which a response is lost returns nothing further."
      char ignored[256];
      while (::recv(aSocket, ignored, sizeof(ignored), 0) > 0) {
      }
      return;
    }
    const std::string answer =
      request.Path() == "/api/kv-watch" ? Watch(request) : Answer(request);
    if (isDown_) {
      continue;
    }
    if (!SendAll(aSocket, answer)) {
      return;
    }
  }
}

Json
Store::Row(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.value_) },
           { "revision", aItem.revision_ },
           { "created", aItem.created_ },
           { "lease", aItem.lease_ } };
}

void
Store::Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease)
{
  Item& item = items_[aKey];
  if (item.created_ == 0) {
    item.created_ = revision_;
  }
  item.value_ = aValue;
  item.revision_ = revision_;
  item.lease_ = aLease;
  history_.push_back({ revision_, aKey, false, item });
}

void
Store::Remove(const std::string& aKey)
{
  if (items_.erase(aKey) > 0) {
    history_.push_back({ revision_, aKey, true, {} });
  }
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(aKey, aValue, 0);
  changed_.notify_all();
}

void
Store::Delete(const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  ++revision_;
  Remove(aKey);
  changed_.notify_all();
}

void
Store::ExpireLeases()
{
  const std::lock_guard lock(mutex_);
  const double now = Now();
  bool hasExpired = false;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
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
    if (!keys.empty()) {
      ++revision_;
      for (const std::string& key : keys) {
        Remove(key);
      }
      hasExpired = true;
    }
    lease = leases_.erase(lease);
  }
  if (hasExpired) {
    changed_.notify_all();
  }
}

std::string
Store::Commit(const Json& aCall)
{
  bool isAsExpected = true;
  Json current = Json::array();
  for (const Json& row : aCall.value("expectedRev", Json::array())) {
    const std::string key = row.at("key");
    const auto found = items_.find(key);
    const std::uint64_t revision =
      found == items_.end() ? 0 : found->second.revision_;
    isAsExpected =
      isAsExpected && revision == row.at("revision").get<std::uint64_t>();
    if (found != items_.end()) {
      current.push_back(Row(key, found->second));
    }
  }
  if (!isAsExpected) {
    return MakeResponse(412, Json{ { "items", current } }.dump());
  }
  for (const Json& row : aCall.value("puts", Json::array())) {
    const std::uint64_t lease = row.value("lease", std::uint64_t{ 0 });
    if (lease != 0 && leases_.count(lease) == 0) {
      return MakeResponse(404, "{}");
    }
  }
  ++revision_;
  for (const Json& row : aCall.value("puts", Json::array())) {
    Write(row.at("key"),
          DecodeBase64(row.at("value").get<std::string>()),
          row.value("lease", std::uint64_t{ 0 }));
  }
  for (const Json& key : aCall.value("remove", Json::array())) {
    Remove(key.get<std::string>());
  }
  changed_.notify_all();
  return MakeResponse(200, Json{ { "revision", revision_ } }.dump());
}

std::string
Store::Watch(const Message& aRequest)
{
  std::unique_lock lock(mutex_);
  const std::string prefix = aRequest.Query("prefix");
  const std::uint64_t after = std::stoull(aRequest.Query("after"));
  const double until = Now() + std::stod(aRequest.Query("waitMs")) / 1000;
  for (;;) {
    Json events = Json::array();
    for (const Change& change : history_) {
      if (change.revision_ <= after || change.key_.rfind(prefix, 0) != 0) {
        continue;
      }
      events.push_back(change.isRemoved_
                         ? Json{ { "key", change.key_ },
                                 { "revision", change.revision_ },
                                 { "removed", true } }
                         : Row(change.key_, change.item_));
    }
    if (!events.empty() || Now() >= until || isDown_) {
      return MakeResponse(
        200, Json{ { "events", events }, { "currentRev", revision_ } }.dump());
    }
    changed_.wait_for(lock, std::chrono::duration<double>(until - Now()));
  }
}

std::string
Store::Range(const Message& aRequest)
{
  const std::string prefix = aRequest.Query("prefix");
  const std::string after = aRequest.Query("after");
  Json rows = Json::array();
  std::size_t bytes = 0;
  bool isTruncated = false;
  for (auto item = items_.lower_bound(prefix);
       item != items_.end() && item->first.rfind(prefix, 0) == 0;
       ++item) {
    if (!after.empty() && item->first <= after) {
      continue;
    }
    if (rows.size() == 500 ||
        (!rows.empty() && bytes + item->second.value_.size() > 1000000)) {
      isTruncated = true;
      break;
    }
    bytes += item->second.value_.size();
    rows.push_back(Row(item->first, item->second));
  }
  return MakeResponse(200,
                      Json{ { "items", rows },
                            { "truncated", isTruncated },
                            { "currentRev", revision_ } }
                        .dump());
}

std::string
Store::RenewOrEnd(const std::string& aPath)
{
  const std::uint64_t lease =
    std::strtoull(aPath.substr(aPath.rfind('/') + 1).c_str(), nullptr, 10);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return MakeResponse(404, "{}");
  }
  const bool isEnd = aPath.rfind("/api/kv-lease-end/", 0) == 0;
  found->second.endsAt_ = isEnd ? 0 : Now() + found->second.ttl_;
  return MakeResponse(200,
                      Json{ { "ttlMs", found->second.ttl_ * 1000 } }.dump());
}

std::string
Store::Answer(const Message& aRequest)
{
  const std::lock_guard lock(mutex_);
  const std::string path = aRequest.Path();
  if (path == "/api/kv-key") {
    const auto found = items_.find(aRequest.Query("key"));
    if (found == items_.end()) {
      return MakeResponse(404, "{}");
    }
    Json row = Row(found->first, found->second);
    row["currentRev"] = revision_;
    return MakeResponse(200, row.dump());
  }
  if (path == "/api/kv-range") {
    return Range(aRequest);
  }
  if (path == "/api/kv-txn") {
    return Commit(Json::parse(aRequest.body_));
  }
  if (path == "/api/kv-lease") {
    const double ttlMs = Json::parse(aRequest.body_).at("ttlMs");
    const std::uint64_t lease = ++revision_;
    leases_[lease] = { ttlMs / 1000, Now() + ttlMs / 1000 };
    return MakeResponse(200,
                        Json{ { "lease", lease }, { "ttlMs", ttlMs } }.dump());
  }
  return RenewOrEnd(path);
}

// Model servers.

Servers::Servers(Options aOptions, Store& aStore, Record& aRecord)
  : options_(std::move(aOptions))
  , store_(aStore)
  , record_(aRecord)
{
  for (int index = 0; index < options_.count_; ++index) {
    auto server = std::make_unique<Server>();
    server->id_ = "i-" + std::to_string(options_.firstId_ + index);
    server->port_ = options_.firstPort_ + index;
    server->born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
    Server& added = *server;
    added.listener_ = std::make_unique<Listener>(
      options_.ip_, server->port_, [this, &added](int aSocket) {
        Serve(added, aSocket);
      });
    servers_.push_back(std::move(server));
  }
  std::thread([this] {
    while (!isCrashed_) {
      Beat();
      std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    }
  }).detach();
}

void
Servers::CrashForGood()
{
  isCrashed_ = true;
  for (const auto& server : servers_) {
    server->listener_->Close();
    record_.Line("server " + server->id_ + " crashes and is lost for good");
  }
  std::thread([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(3 * 1200));
    for (const auto& server : servers_) {
      store_.Delete("servers/" + server->id_);
    }
  }).detach();
}

void
Servers::Beat()
{
  for (const auto& server : servers_) {
    store_.Put(
      "servers/" + server->id_,
      Json{ { "service", options_.service_ },
            { "address", options_.ip_ + ":" + std::to_string(server->port_) },
            { "zone", "a" },
            { "version", "v1" },
            { "slots", options_.slots_ },
            { "state", "ready" },
            { "coldLeftMs", 0 },
            { "seq", ++server->sequence_ },
            { "born", server->born_ } }
        .dump());
  }
}

std::vector<Run>
Servers::Runs()
{
  const std::lock_guard lock(mutex_);
  return runs_;
}

void
Servers::Serve(Server& aServer, int aSocket)
{
  Reader reader(aSocket);
  Message request;
  while (reader.ReadRequest(request)) {
    const std::string id = request.Field("attempt-id");
    const std::string target = request.Field("target-instance");
    record_.Line("server " + aServer.id_ + " gets " + request.method_ + " " +
                 request.target_ + " Attempt-Id " + id + " Last-Event-Id " +
                 request.Field("last-event-id"));
    std::string answer;
    if (!target.empty() && target != aServer.id_) {
      answer = MakeResponse(
        421, "", { { "Instance-Id", aServer.id_ }, { "Attempt-Id", id } });
    } else if (request.method_ == "GET") {
      answer = MakeResponse(200, "", { { "Instance-Id", aServer.id_ } });
    } else if (id.empty()) {
      answer = MakeResponse(400, "", { { "Not-Run", "1" } });
    } else if (aServer.active_ >= options_.slots_) {
      answer =
        MakeResponse(503, "", { { "Not-Run", "1" }, { "Attempt-Id", id } });
    }
    if (answer.empty() && request.method_ == "HEAD") {
      answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
               "Attempt-Id: " +
               id + "\r\nServer-Seal: seal\r\n\r\n";
    }
    if (answer.empty() ? !Stream(aServer, aSocket, request)
                       : !SendAll(aSocket, answer)) {
      return;
    }
  }
}

bool
Servers::Stream(Server& aServer, int aSocket, const Message& aRequest)
{
  ++aServer.active_;
  std::size_t run = 0;
  const std::string id = aRequest.Field("attempt-id");
  {
    const std::lock_guard lock(mutex_);
    run = runs_.size();
    runs_.push_back({ id, aServer.id_, Now() });
  }
  const std::string last = aRequest.Field("last-event-id");
  bool isOk = SendAll(aSocket,
                      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Attempt-Id: " +
                        id +
                        "\r\nServer-Seal: seal\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n");
  for (int event = last.empty() ? 1 : std::stoi(last) + 1;
       isOk && event <= options_.events_;
       ++event) {
    std::this_thread::sleep_for(
      std::chrono::duration<double>(options_.eventInterval_));
    char probe = 0;
    // A server drops a request when its connection closes.
    if (::recv(aSocket, &probe, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
      isOk = false;
      break;
    }
    const std::string text = options_.event_(event);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    isOk = SendAll(aSocket, size + text + "\r\n");
  }
  isOk = isOk && SendAll(aSocket, "0\r\n\r\n");
  --aServer.active_;
  const std::lock_guard lock(mutex_);
  runs_[run].endedAt_ = Now();
  runs_[run].isComplete_ = isOk;
  record_.Line("server " + aServer.id_ + " ends the run of " + id +
               (isOk ? " complete" : " cut"));
  return isOk;
}

// The processes of the deployment.

Fleet::Fleet(std::string aNetwork, std::string aFolder, Record& aRecord)
  : network_(std::move(aNetwork))
  , folder_(std::move(aFolder))
  , record_(aRecord)
  , watcher_([this] { Watch(); })
{
}

Fleet::~Fleet()
{
  End();
}

void
Fleet::Add(const std::string& aName, int aDigit, bool aIsFront)
{
  const std::lock_guard lock(mutex_);
  Host& host = hosts_[aName];
  host.name_ = aName;
  host.ip_ = network_ + "." + std::to_string(aDigit);
  host.isFront_ = aIsFront;
  Start(host);
}

void
Fleet::Start(Host& aHost)
{
  const std::string settings = folder_ + "/" + aHost.name_ + ".yaml";
  const std::string disk = folder_ + "/" + aHost.name_ + "-disk";
  {
    std::ofstream file(settings);
    file << "node: " << aHost.name_ << "\nzone: a\nregion: r\nip: " << aHost.ip_
         << "\n";
    if (aHost.isFront_) {
      file << "listen: { front: \"" << aHost.ip_ << ":" << kFrontPort
           << "\", ready: \"" << aHost.ip_ << ":" << kReadyPort << "\" }\n"
           << "dataDir: null\nlimits: { memoryMb: " << kFrontMemoryMb << " }\n"
           << "countsAsLoss: false\n";
    } else {
      std::system(("mkdir -p " + disk).c_str());
      file << "listen: {}\ndataDir: \"" << disk
           << "\"\nlimits: { memoryMb: " << kStoreMemoryMb
           << " }\ncountsAsLoss: true\n";
    }
    file << "portRange: [ 7720, 7735 ]\nheartbeatMs: 1200\n"
         << "contracts: [ base, drain, config, cost, recover, batch, stream, "
            "engine, platform ]\n"
         << "tolerate: { machines: 1, zones: 0, regions: 0 }\n"
         << "bounds: { seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: "
            "4000, catchUpS: 5.2, drainMs: 2000, graceS: 8, lossSlackMs: 200, "
            "configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, "
            "recoveryS: 12, passMs: 120, againS: 0, finishS: 18, statusS: 120, "
            "cancelMs: 3000, settleMs: 1000, quotaOverage: 0.1 }\n"
         << "platform: { address: \"" << network_ << ".1:" << kStorePort
         << "\", form: kv, writesPerS: 400, readsPerS: 2000, historyS: 20, "
            "valueBytes: 1048576, ttlMinMs: 1000 }\n";
  }
  const std::string log = folder_ + "/" + aHost.name_ + ".log";
  const std::string variable = "PUMICETURN_BOOT=" + settings;
  const pid_t pid = ::fork();
  if (pid == 0) {
    // Ends with the rig, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, 1);
    ::dup2(file, 2);
    const char* program = "target/platform/pumiceturn-gateway";
    char* const arguments[] = { const_cast<char*>(program), nullptr };
    char* const environment[] = { const_cast<char*>(variable.c_str()),
                                  const_cast<char*>("PATH=/usr/bin:/bin"),
                                  nullptr };
    ::execve(program, arguments, environment);
    ::_exit(127);
  }
  aHost.pid_ = pid;
  aHost.startAt_ = -1;
  record_.Line("machine " + aHost.name_ + " starts, process " +
               std::to_string(pid));
}

void
Fleet::Watch()
{
  while (!isEnding_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const std::lock_guard lock(mutex_);
    for (auto& [name, host] : hosts_) {
      CheckMemory(host);
    }
    for (auto& [name, host] : hosts_) {
      int status = 0;
      if (isEnding_ || host.isGone_ || host.pid_ <= 0 ||
          ::waitpid(host.pid_, &status, WNOHANG) != host.pid_) {
        continue;
      }
      ++host.exits_;
      host.pid_ = -1;
      record_.Line("machine " + name + ": its process ended by itself, " +
                   (WIFSIGNALED(status)
                      ? "signal " + std::to_string(WTERMSIG(status))
                      : "exit " + std::to_string(WEXITSTATUS(status))));
      host.startAt_ = Now() + 0.5;
    }
    for (auto& [name, host] : hosts_) {
      if (!isEnding_ && !host.isGone_ && host.startAt_ > 0 &&
          Now() >= host.startAt_) {
        Start(host);
      }
    }
  }
}

void
Fleet::CheckMemory(Host& aHost)
{
  if (!limitsMemory_ || aHost.isGone_ || aHost.pid_ <= 0) {
    return;
  }
  std::ifstream file("/proc/" + std::to_string(aHost.pid_) + "/status");
  std::string line;
  while (std::getline(file, line) && line.rfind("VmRSS:", 0) != 0) {
  }
  const long used = line.size() > 6 ? std::atol(line.c_str() + 6) : 0;
  aHost.peakKb_ = std::max(aHost.peakKb_, used);
  const long limit = aHost.isFront_ ? kFrontMemoryMb : kStoreMemoryMb;
  if (used > limit * 1024) {
    ++aHost.memoryKills_;
    record_.Line("machine " + aHost.name_ + ": its process uses " +
                 std::to_string(used / 1024) + " MB of " +
                 std::to_string(limit) + " and is killed");
    ::kill(aHost.pid_, SIGKILL);
  }
}

void
Fleet::HangUp(const std::string& aName, double aDelay)
{
  constexpr double kMaxStart = 2.0;
  pid_t process = -1;
  {
    const std::lock_guard lock(mutex_);
    process = hosts_.at(aName).pid_;
  }
  const double until = Now() + kMaxStart;
  std::string program;
  while (program.find("pumiceturn-gateway") == std::string::npos &&
         Now() < until) {
    std::ifstream file("/proc/" + std::to_string(process) + "/cmdline");
    std::getline(file, program);
  }
  SleepUntil(Now() + aDelay);
  ::kill(process, SIGHUP);
  record_.Line("machine " + aName + " gets SIGHUP " +
               std::to_string(static_cast<int>(aDelay * 1000)) +
               " ms after its process runs the program");
}

void
Fleet::RemoveForGood(const std::string& aName)
{
  const std::lock_guard lock(mutex_);
  Host& host = hosts_.at(aName);
  host.isGone_ = true;
  if (host.pid_ > 0) {
    ::kill(host.pid_, SIGKILL);
    ::waitpid(host.pid_, nullptr, 0);
  }
  record_.Line("machine " + aName + " is removed for good");
}

std::vector<Fleet::Host>
Fleet::Hosts()
{
  const std::lock_guard lock(mutex_);
  std::vector<Host> hosts;
  for (const auto& [name, host] : hosts_) {
    hosts.push_back(host);
  }
  return hosts;
}

int
Fleet::CountExits()
{
  int exits = 0;
  for (const Host& host : Hosts()) {
    exits += host.exits_;
  }
  return exits;
}

bool
Fleet::WaitUntilReady(double aUntil)
{
  for (const Host& host : Hosts()) {
    while (host.isFront_ && !host.isGone_) {
      const Message answer = Call(host.ip_,
                                  kReadyPort,
                                  "GET /api/ready HTTP/1.1\r\nHost: x\r\n"
                                  "Connection: close\r\n\r\n",
                                  1);
      if (answer.status_ == 200) {
        break;
      }
      if (Now() > aUntil) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  return true;
}

void
Fleet::End()
{
  if (isEnding_.exchange(true)) {
    return;
  }
  watcher_.join();
  for (auto& [name, host] : hosts_) {
    if (!host.isGone_ && host.pid_ > 0) {
      ::kill(host.pid_, SIGKILL);
      ::waitpid(host.pid_, nullptr, 0);
    }
  }
}

std::string
DrawNetwork()
{
  std::random_device device;
  return "127." + std::to_string(20 + device() % 200) + "." +
         std::to_string(1 + device() % 250);
}

std::string
EncodeBase64(const std::string& aText)
{
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const unsigned char letter : aText) {
    value = (value << 8U) | letter;
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      out.push_back(kAlphabet[(value >> static_cast<unsigned>(bits)) & 63U]);
    }
  }
  if (bits > 0) {
    out.push_back(kAlphabet[(value << static_cast<unsigned>(6 - bits)) & 63U]);
  }
  while (out.size() % 4 != 0) {
    out.push_back('=');
  }
  return out;
}

Job
MakeJob(const std::string& aId,
        int aItems,
        const Json& aMoreHeaders,
        int aTokens,
        const std::string& aPrefix)
{
  Job job;
  job.id_ = aId;
  job.prefix_ = aPrefix;
  Json items = Json::array();
  for (int index = 0; index < aItems; ++index) {
    std::string id = aId;
    id.append("i").append(std::to_string(index));
    job.items_.push_back(id);
    std::string prefix = "9c2e41:300,";
    prefix.append(id).append(":240");
    std::string path = aPrefix;
    path.append("x/").append(id);
    std::string content = "prompt of ";
    content.append(id);
    Json headers = { { "Model", "m" },
                     { "Token-Counts", "540,400" },
                     { "Prompt-Prefix", prefix } };
    if (aMoreHeaders.is_object()) {
      headers.update(aMoreHeaders);
    }
    items.push_back({ { "id", id },
                      { "path", path },
                      { "headers", headers },
                      { "body", EncodeBase64(content) },
                      { "tokens", aTokens } });
  }
  job.body_ = Json{ { "items", items } }.dump();
  return job;
}

void
Submit(Job& aJob,
       const std::vector<std::string>& aFronts,
       Record& aRecord,
       const std::string& aHost)
{
  aJob.sentAt_ = Now();
  const std::string request =
    "POST " + aJob.prefix_ + aJob.id_ + " HTTP/1.1\r\nHost: " + aHost +
    "\r\nAttempt-Id: " + aJob.id_ +
    "\r\nContent-Type: application/json\r\nConnection: close\r\n"
    "Content-Length: " +
    std::to_string(aJob.body_.size()) + "\r\n\r\n" + aJob.body_;
  for (int round = 0; round < 10 && aJob.acceptedAt_ < 0; ++round) {
    const std::string& front =
      aFronts[static_cast<std::size_t>(round) % aFronts.size()];
    aRecord.Line("batch job " + aJob.id_ + " is sent to " + front);
    const Message answer = Call(front, kFrontPort, request, 4);
    aJob.lastStatus_ = answer.status_;
    aRecord.Line("batch job " + aJob.id_ + " is answered " +
                 std::to_string(answer.status_));
    if (answer.status_ == 202) {
      aJob.acceptedAt_ = Now();
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
}

void
ReadResults(Job& aJob,
            const std::string& aFront,
            Record& aRecord,
            const std::string& aHost)
{
  const Message answer =
    Call(aFront,
         kFrontPort,
         "GET /api/lots/" + aJob.id_ + "?after=" + std::to_string(aJob.next_) +
           " HTTP/1.1\r\nHost: " + aHost + "\r\nConnection: close\r\n\r\n",
         3);
  if (answer.status_ != 200) {
    aRecord.Line("reading batch job " + aJob.id_ + " is answered " +
                 std::to_string(answer.status_));
    return;
  }
  const Json page = Json::parse(answer.body_);
  for (const Json& row : page.at("results")) {
    const std::string item = row.at("id");
    aJob.listed_[item] = row.at("state");
    aJob.outputs_[item] = row.value("output", "");
    aRecord.Line("batch job " + aJob.id_ + " lists " + item + " as " +
                 aJob.listed_[item]);
  }
  aJob.next_ = page.at("next");
}

std::string
MakeConfiguration()
{
  const auto route = [](const std::string& aName,
                        const std::string& aPrefix,
                        const std::string& aKind,
                        bool aIsResumable,
                        int aTimeoutMs,
                        int aAttempts,
                        const std::string& aService = "llm") {
    Json row = { { "name", aName },           { "hostname", kHostName },
                 { "prefix", aPrefix },       { "kind", aKind },
                 { "timeoutMs", aTimeoutMs }, { "sloMs", 500 },
                 { "priority", 0 },           { "service", aService },
                 { "maxAttempts", aAttempts } };
    if (aKind == "stream") {
      row["resumable"] = aIsResumable;
      row["gapSloMs"] = 400;
      row["sticky"] = true;
    } else {
      row["dueMs"] = 18000;
      row["maxWaitS"] = 60;
    }
    return row;
  };
  const auto service = [](const std::string& aName) {
    return Json{ { "name", aName },
                 { "healthPath", "/health" },
                 { "maxConns", 210 },
                 { "protocol", "h1" },
                 { "tls", false } };
  };
  return Json{
    { "version", 7 },
    { "routes",
      { route("r-s", "/s/", "stream", true, 5000, 2),
        route("r-u", "/u/", "stream", false, 5000, 1),
        route("r-b", "/b/", "batch", true, 15000, 3),
        route("r-c", "/c/", "batch", true, 15000, 3, "other-llm") } },
    { "services", { service("llm"), service("other-llm") } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  }.dump();
}

} // namespace rig
