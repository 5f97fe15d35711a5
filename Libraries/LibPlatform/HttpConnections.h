#pragma once

#include "LibBase/Time.h"

#include <httplib.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pumiceturn::platform {

/// Kept connections to one address, so that a call neither waits for another
/// one nor opens a connection of its own each time. Thread-safe.
class HttpConnections
{
public:
  /// @param aAddress IP:port.
  /// @param aTimeout Longest wait for a connection, and for each answer.
  HttpConnections(std::string aAddress, base::Duration aTimeout);

  /// Posts a JSON body on a connection that no other call uses.
  httplib::Result Post(const char* aPath, const std::string& aBody);

  [[nodiscard]] const std::string& Address() const { return address_; }

private:
  std::unique_ptr<httplib::Client> Take();
  void GiveBack(std::unique_ptr<httplib::Client> aClient);

  std::string address_;
  base::Duration timeout_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

/// @return a client with the timeouts set, and TCP_NODELAY on.
std::unique_ptr<httplib::Client>
MakeHttpClient(const std::string& aAddress, base::Duration aTimeout);

/// @return whether the request surely never left this host.
bool
IsNeverSent(httplib::Error aError);

} // namespace pumiceturn::platform
