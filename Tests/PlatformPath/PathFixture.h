#pragma once

#include "Tests/Platform/CallingFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// A process that Meta/platform.sh started.
struct FleetProcess
{
  std::string kind_; ///< Role: "platform" (the store's stand-in), "front"
                     ///< (entry host) or "store" (worker).
  std::string name_;
  boost::asio::ip::tcp::endpoint address_;
  pid_t id_ = 0;
};

/// Calls the running programs over loopback as callers and operators do.
class PathFixture : protected CallingFixture
{
protected:
  using json = nlohmann::json;

  /// Reads the list of processes, and waits until both entry hosts serve.
  PathFixture();

  [[nodiscard]] const FleetProcess& Process(const std::string& aName) const;

  std::unique_ptr<CallerCall> Send(const std::string& aProcess,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aFields = {},
                                   const std::string& aBody = {});
  std::unique_ptr<CallerCall> SendAndWait(const std::string& aProcess,
                                          const std::string& aMethod,
                                          const std::string& aTarget,
                                          const std::string& aFields = {},
                                          const std::string& aBody = {});

  /// Sends an online request with a fixed request id and waits for its end.
  /// @return the ended call.
  std::unique_ptr<CallerCall> SendOnlineAndWait(const std::string& aProcess,
                                                const std::string& aPath);

  /// @return the value of a store key; empty if the key doesn't exist.
  std::string ReadKey(const std::string& aKey);
  void WriteKey(const std::string& aKey, const std::string& aValue);

  /// Submits a job whose items all have the path aItemPath.
  /// @return the status of the response.
  unsigned Submit(const std::string& aProcess,
                  const std::string& aJob,
                  const std::string& aItemPath,
                  std::size_t aItemCount);

  /// A job whose items have stalled after two events.
  struct StalledJob
  {
    std::string job_;
    std::string owner_; ///< The worker that runs it.
  };

  /// Submits a job that a worker runs, and waits until the partial output of an
  /// item is stored.
  StalledJob SubmitStalledJob(const std::string& aName, std::size_t aItemCount);

  /// @return whether all results of a page are completed with their full
  /// output, and belong to aItemCount different items.
  static bool AreCompleteAndDistinct(const json& aPage, std::size_t aItemCount);

  /// Polls a job until it has aCount results.
  /// @return the page with the results.
  json WaitForResults(const std::string& aProcess,
                      const std::string& aJob,
                      std::size_t aCount);

private:
  std::vector<FleetProcess> processes_;
};

} // namespace pumiceturn::adapter
