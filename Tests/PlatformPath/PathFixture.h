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
  std::string kind_; ///< platform, front or store.
  std::string name_;
  boost::asio::ip::tcp::endpoint address_;
  pid_t id_ = 0;
};

/// Calls the real programs over loopback, as callers and operators do.
class PathFixture : protected CallingFixture
{
protected:
  using json = nlohmann::json;

  /// Reads which processes run, and waits until both entry hosts serve.
  PathFixture();

  [[nodiscard]] const FleetProcess& Process(const std::string& aName) const;

  std::unique_ptr<CallerCall> Send(const std::string& aProcess,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aFields = {},
                                   const std::string& aBody = {});
  std::unique_ptr<CallerCall> Ask(const std::string& aProcess,
                                  const std::string& aMethod,
                                  const std::string& aTarget,
                                  const std::string& aFields = {},
                                  const std::string& aBody = {});

  /// @return the answer to a call that belongs to one request id.
  std::unique_ptr<CallerCall> Look(const std::string& aProcess,
                                   const std::string& aPath);

  /// @return a key's value in the store, empty where there is none.
  std::string ReadKey(const std::string& aKey);
  void WriteKey(const std::string& aKey, const std::string& aValue);

  /// Sends a job whose items go to one path.
  unsigned Submit(const std::string& aProcess,
                  const std::string& aJob,
                  const std::string& aItemPath,
                  std::size_t aItems);

  /// A job whose items have fallen silent after two events.
  struct SpooledJob
  {
    std::string job_;
    std::string owner_; ///< The worker that runs it.
  };

  /// Sends a job to a worker, and waits until what its items have so far is
  /// stored.
  SpooledJob SubmitSpooledJob(const std::string& aName, std::size_t aItems);

  /// @return whether a job's results are completed, whole, and of as many
  /// items.
  static bool AreWholeAndDistinct(const json& aPage, std::size_t aItems);

  /// Reads a job until it has all results.
  json WaitForAll(const std::string& aProcess,
                  const std::string& aJob,
                  std::size_t aCount);

private:
  std::vector<FleetProcess> processes_;
};

} // namespace pumiceturn::adapter
