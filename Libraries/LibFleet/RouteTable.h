#pragma once

#include "LibFleet/Declarations.h"
#include "LibFleet/OrganisationTable.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Finds the route of a request. Its version never goes down. Belongs to the
/// event thread.
class RouteTable
{
public:
  /// Takes over a version that is newer than the present one.
  /// @return false if it is not newer; nothing changes then.
  bool Install(Declarations aDeclarations);

  /// @param aHostName Without a port.
  /// @param aPath     Without a query.
  /// @return the route with the longest matching prefix, or nullptr. Valid
  /// until the next Install().
  [[nodiscard]] const Route* Find(std::string_view aHostName,
                                  std::string_view aPath) const;

  /// @return the same route, if it bounds the tokens that jobs may have
  ///         waiting; otherwise nullptr.
  [[nodiscard]] const Route* FindCapped(std::string_view aHostName,
                                        std::string_view aPath) const;

  /// @param aRandom Uniform in [0, 1).
  /// @return one of the route's services, by weight.
  [[nodiscard]] static const std::string& ChooseService(const Route& aRoute,
                                                        double aRandom);

  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] const CallerLimits& Limits() const { return limits_; }

  [[nodiscard]] const OrganisationTable& Organisations() const
  {
    return organisations_;
  }

private:
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
  /// Each host's routes, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>, Hash, std::equal_to<>>
    routes_;
  bool hasCappedRoutes_ = false;
};

} // namespace pumiceturn::fleet
