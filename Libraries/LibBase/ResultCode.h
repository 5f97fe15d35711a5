#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace pumiceturn::base {

/// Numbered results, stable across versions. docs/RESULT_CODES.md has the
/// table; a test compares both. 1xx: the caller's input; 2xx: refused, not run;
/// 3xx: how a run ended; 4xx: jobs and results; 5xx: configuration; 6xx:
/// storage and ownership; 7xx: transport and platform; 9xx: internal.
enum class ResultCode : std::uint16_t
{
  Ok = 0,

  UnknownKey = 100,
  WrongType = 101,
  OutOfRange = 102,
  DuplicateName = 103,
  DanglingReference = 104,
  MalformedYaml = 105,
  MalformedJsonLine = 106,
  MissingField = 107,
  UnreadableFile = 108,
  Unauthenticated = 110,
  UnknownService = 111,
  UnknownKind = 112,
  ItemTooLarge = 113,
  TooManyItems = 114,
  DueTimePassed = 115,
  WrongPriority = 116,
  InvalidRequest = 117,

  Overloaded = 200,
  NoEndpoint = 201,
  Quarantined = 202,
  Draining = 203,
  DeadlineTooShort = 204,
  NotRecorded = 205,
  RetryBudgetSpent = 206,

  DeadlineExceeded = 300,
  OutcomeUnknown = 301,
  EndpointCrashed = 302,
  EndpointFailed = 303,
  EndpointLost = 304,
  AttemptsExhausted = 305,
  Cancelled = 306,
  StaleFence = 307,
  Preempted = 308,

  NotFound = 400,
  KeyConflict = 401,
  StillRunning = 402,
  Expired = 403,

  VersionConflict = 500,
  InvalidDeclarations = 501,
  VersionUnknown = 502,

  NotOwner = 600,
  StaleEpoch = 601,
  LogGap = 602,
  DiskFull = 603,
  CorruptRecord = 604,
  TooFewCopies = 605,
  InputOutput = 606,
  Recovering = 607,

  Disconnected = 700,
  PlatformUnavailable = 701,
  PlatformConflict = 702,
  PlatformOutcomeUnknown = 703,
  BudgetExhausted = 704,
  TimedOut = 705,
  MalformedMessage = 706,

  Internal = 900,
};

/// Whether a request reached an endpoint, as far as the speaker can know.
enum class Ran : std::uint8_t
{
  Unspecified = 0,
  NotRun = 1,
  Ran = 2,
  Unknown = 3,
};

/// One row of the table of result codes.
struct ResultCodeRow
{
  ResultCode code_;
  std::string_view name_;
  std::string_view meaning_;
};

/// @return every result code with its name and meaning, in numeric order.
std::span<const ResultCodeRow>
AllResultCodes();

/// @return the code's name, or "Unlisted" for a number without a row.
std::string_view
NameOf(ResultCode aCode);

} // namespace pumiceturn::base
