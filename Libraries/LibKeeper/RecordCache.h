#pragma once

#include "LibBase/Result.h"
#include "LibJobLog/LogPosition.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::keeper {

/// LRU cache of log records. Items of a record are dispatched one after another
/// and results are read in pages, so without the cache a record would be read
/// once per item. Thread-safe.
class RecordCache
{
public:
  using Bytes = std::shared_ptr<const std::string>;
  using Read =
    std::function<base::Result<std::string>(const joblog::LogPosition&)>;

  RecordCache(Read aRead, std::size_t aMaxBytes)
    : read_(std::move(aRead))
    , maxBytes_(aMaxBytes)
  {
  }

  /// @return the record's bytes, or the error of the read.
  base::Result<Bytes> Get(const joblog::LogPosition& aPosition);

private:
  struct CachedRecord
  {
    joblog::LogPosition position_;
    Bytes bytes_;
  };

  Bytes Find(const joblog::LogPosition& aPosition);

  Read read_;
  std::size_t maxBytes_;
  std::mutex mutex_;
  std::list<CachedRecord> entries_; ///< Most recently used first.
  std::size_t bytes_ = 0;
};

} // namespace pumiceturn::keeper
