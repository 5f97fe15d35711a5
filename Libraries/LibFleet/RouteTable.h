#pragma once

#include "LibFleet/Declarations.h"
#include "LibFleet/OrganisationTable.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Finds the route of a request in the declarations installed last.
/// Declarations of an older version are never installed. Used on the event
/// thread only.
class RouteTable
{
public:
  /// Installs the declarations if their version is newer than the current one.
  /// @return whether they were installed.
  bool Install(Declarations aDeclarations);

  /// @param aHostName Without the port.
  /// @param aPath Without the query.
  /// @return the route with the longest matching prefix, or nullptr. Valid
  ///         until the next Install().
  [[nodiscard]] const Route* Find(std::string_view aHostName,
                                  std::string_view aPath) const;

  /// @return the same route as Find() if it caps the waiting tokens of jobs;
  ///         otherwise nullptr.
  [[nodiscard]] const Route* FindCapped(std::string_view aHostName,
                                        std::string_view aPath) const;

  /// Calls a function with each route.
  void ForEach(const std::function<void(const Route&)>& aFunction) const;

  /// Chooses one of the route's services by weight.
  /// @param aRandom Uniform in [0, 1).
  [[nodiscard]] static const std::string& ChooseService(const Route& aRoute,
                                                        double aRandom);

  /// @return the services that ChooseService() may choose.
  [[nodiscard]] static std::vector<std::string> ServicesOf(const Route& aRoute);

  /// Chooses one of the services that can take a request now, by weight.
  /// @param aRandom Uniform in [0, 1).
  /// @param aCanTake Returns whether a service can take a request.
  /// @return nullptr if none can.
  [[nodiscard]] static const std::string* ChooseServiceAmong(
    const Route& aRoute,
    double aRandom,
    const std::function<bool(const std::string&)>& aCanTake);

  /// @param aOrganisation Empty if the caller has none.
  /// @return how far the priority of a request is below the highest one that an
  ///         online request may have; 0 if it is that.
  [[nodiscard]] std::uint32_t RankOf(const Route& aRoute,
                                     std::string_view aOrganisation) const;

  /// @return the longest timeout of the routes for resumable streams; zero if
  ///         there is none.
  [[nodiscard]] base::Duration LongestStreamTimeout() const
  {
    return longestStreamTimeout_;
  }

  /// @return the path of the health check of a service's endpoints; empty if
  ///         none is declared.
  [[nodiscard]] std::string HealthPathOf(const std::string& aService) const;

  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] const CallerLimits& Limits() const { return limits_; }

  [[nodiscard]] const OrganisationTable& Organisations() const
  {
    return organisations_;
  }

private:
  /// @return the lowest number among the priorities of online requests.
  [[nodiscard]] std::uint32_t FindHighestPriority() const;

  struct Hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  std::uint64_t version_ = 0;
  CallerLimits limits_;
  OrganisationTable organisations_;
  /// Routes by host name, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>, Hash, std::equal_to<>>
    routes_;
  std::unordered_map<std::string, std::string> healthPaths_; ///< By service.
  bool hasCappedRoutes_ = false;
  std::uint32_t highestPriority_ = 0;
  base::Duration longestStreamTimeout_{ 0 };
};

} // namespace pumiceturn::fleet
