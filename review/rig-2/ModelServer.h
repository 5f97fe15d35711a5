#pragma once

#include "Rig.h"

namespace review {

/// Test double of a model server. Answers reports and health checks; what it
/// does with other requests is up to its handler.
class ModelServer
{
public:
  /// @return whether the connection stays open.
  using RunHandler = std::function<bool(Connection&, const Message&)>;

  ModelServer(const std::string& aIp,
              std::string aId,
              std::string aService,
              unsigned aSlots,
              RunHandler aRun);

  /// Registers in the store, and sends a heartbeat about each second from now
  /// on.
  void Register(Store& aStore);
  /// Reports that it drains; it goes on serving.
  void Drain(Store& aStore);
  [[nodiscard]] const std::string& Id() const { return id_; }
  [[nodiscard]] std::string Address() const { return server_->Address(); }

private:
  void Serve(Connection& aConnection);
  [[nodiscard]] std::string Entry() const;

  std::string id_;
  std::string service_;
  unsigned slots_;
  std::int64_t born_ = UnixMs();
  std::atomic<int> seq_ = 0;
  std::atomic<bool> isDraining_ = false;
  RunHandler run_;
  std::unique_ptr<Server> server_;
};

/// @return the fields that each of a server's answers has, with line ends.
[[nodiscard]] std::string
AnswerFields(const Message& aRequest, const std::string& aSeal);

} // namespace review
