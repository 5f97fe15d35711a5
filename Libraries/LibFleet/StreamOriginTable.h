#pragma once

#include "LibFleet/StreamOrigin.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// Records of where streams began, by the id of the request that brought the
/// first event. A full table takes no new records: their streams can't be
/// resumed, which is safe. Not thread-safe.
class StreamOriginTable
{
public:
  /// Above the streams that a host begins, and keeps records of for its peers,
  /// within the lifetime of a record. A record takes about 250 bytes.
  static constexpr std::size_t kMaxRecords = 32768;

  /// Longer ids aren't recorded, as callers choose them.
  static constexpr std::size_t kMaxIdBytes = 128;

  struct Row
  {
    std::string id_;
    StreamOrigin origin_;
    base::Duration lifetime_{ 0 }; ///< Time left until the record expires.
  };

  enum class Source : std::uint8_t
  {
    OwnStream, ///< This host forwarded events of the stream.
    Peer,
  };

  /// Adds a record or extends its lifetime. A second origin for the same id
  /// makes the record ambiguous.
  /// @return false if the table is full or the id too long.
  bool Record(const Row& aRow, Source aSource, base::Instant aNow);

  [[nodiscard]] OriginRecord Find(std::string_view aId,
                                  base::Instant aNow) const;

  /// @return the records of this host's own streams of a service.
  [[nodiscard]] std::vector<Row> OwnRowsOf(std::string_view aService,
                                           base::Instant aNow) const;

  /// Drops expired records.
  void Expire(base::Instant aNow);

  [[nodiscard]] std::size_t Count() const { return records_.size(); }

private:
  struct Entry
  {
    StreamOrigin origin_;
    base::Instant recordedAt_;
    base::Instant expiresAt_;
    bool isAmbiguous_ = false;
    bool isOwn_ = false;
  };
  struct Hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  std::unordered_map<std::string, Entry, Hash, std::equal_to<>> records_;
};

} // namespace pumiceturn::fleet
