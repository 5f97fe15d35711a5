#include "ModelServer.h"

namespace review {

ModelServer::ModelServer(const std::string& aIp,
                         std::string aId,
                         std::string aService,
                         unsigned aSlots,
                         RunHandler aRun)
  : id_(std::move(aId))
  , service_(std::move(aService))
  , slots_(aSlots)
  , run_(std::move(aRun))
{
  server_ = std::make_unique<Server>(
    aIp, 0, [this](Connection& aConnection) { Serve(aConnection); });
}

std::string
ModelServer::Entry() const
{
  return json{
    { "service", service_ }, { "address", server_->Address() },
    { "zone", "a" },         { "version", "v1" },
    { "slots", slots_ },     { "state", isDraining_ ? "draining" : "ready" },
    { "coldLeftMs", 0 },     { "seq", seq_.load() },
    { "born", born_ },       { "phase", "colocated" }
  }.dump();
}

void
ModelServer::Register(Store& aStore)
{
  aStore.Put("servers/" + id_, Entry());
  std::thread([this, &aStore] {
    for (;;) {
      std::this_thread::sleep_for(Milliseconds(1200));
      ++seq_;
      aStore.Put("servers/" + id_, Entry());
    }
  }).detach();
}

void
ModelServer::Drain(Store& aStore)
{
  isDraining_ = true;
  aStore.Put("servers/" + id_, Entry());
}

void
ModelServer::Serve(Connection& aConnection)
{
  const auto answer =
    [&](int aStatus, const std::string& aFields, const std::string& aBody) {
      return aConnection.Send(
        "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
        "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    };
  Message request;
  while (aConnection.ReadRequest(request)) {
    const std::string target = request.Target();
    const std::string instance = request.Field("Target-Instance");
    bool isOpen = true;
    if (!instance.empty() && instance != id_) {
      isOpen = answer(421, "Instance-Id: " + id_ + "\r\nNot-Run: 1\r\n", "");
    } else if (target == "/api/report") {
      isOpen = answer(200,
                      "Content-Type: application/json\r\n",
                      json{ { "phase", "colocated" },
                            { "busy", false },
                            { "seq", 0 },
                            { "queued", 0 },
                            { "active", 0 },
                            { "born", born_ } }
                        .dump());
    } else if (target == "/health") {
      isOpen = answer(200, "Instance-Id: " + id_ + "\r\n", "");
    } else {
      isOpen = run_(aConnection, request);
    }
    if (!isOpen) {
      return;
    }
  }
}

std::string
AnswerFields(const Message& aRequest, const std::string& aSeal)
{
  return "Attempt-Id: " + aRequest.Field("Attempt-Id") +
         "\r\nServer-Seal: " + aSeal +
         "\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=5\r\n";
}

} // namespace review
