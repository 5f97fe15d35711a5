#pragma once

#include <Declarations.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace pumiceturn::configuration {

/// A configuration in force, immutable, with look-up by name.
class Snapshot
{
public:
  explicit Snapshot(declarations::Configuration aContent);
  ~Snapshot() = default;
  Snapshot(const Snapshot&) = delete; // The index points into the content.
  Snapshot& operator=(const Snapshot&) = delete;

  [[nodiscard]] const declarations::Configuration& Content() const
  {
    return content_;
  }
  [[nodiscard]] std::uint64_t Version() const { return content_.version(); }

  /// @return null where nothing has that name.
  [[nodiscard]] const declarations::Service* FindService(
    std::string_view aName) const;
  [[nodiscard]] const declarations::RequestKind* FindKind(
    std::string_view aService,
    std::string_view aKind) const;
  [[nodiscard]] const declarations::Endpoint* FindEndpoint(
    std::string_view aName) const;

  /// @param aTokenDigest Lower-case hexadecimal SHA-256 of an access token.
  [[nodiscard]] const declarations::Partner* FindPartnerByToken(
    std::string_view aTokenDigest) const;
  [[nodiscard]] const declarations::Partner* FindPartner(
    std::string_view aName) const;
  [[nodiscard]] bool IsDrained(std::string_view aHost) const;

private:
  struct Index;
  declarations::Configuration content_;
  std::shared_ptr<const Index> index_;
};

/// The configuration in force in this process. Its version never goes down.
/// Thread-safe.
class ConfigurationCache
{
public:
  using SnapshotPointer = std::shared_ptr<const Snapshot>;

  ConfigurationCache();
  ~ConfigurationCache();
  ConfigurationCache(const ConfigurationCache&) = delete;
  ConfigurationCache& operator=(const ConfigurationCache&) = delete;

  /// @return never null; version 0 with no services before the first one is
  /// known.
  [[nodiscard]] SnapshotPointer Current() const;

  /// Puts a higher version in force and calls the subscribers.
  /// @return false, without effect, for a version not above the current one.
  bool Install(declarations::Configuration aContent);

  /// Calls a function with each new version, on the installing thread.
  void Subscribe(std::function<void(const SnapshotPointer&)> aHandler);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::configuration
