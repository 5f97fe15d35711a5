#pragma once

namespace pumiceturn::httpstream {

/// Status codes of HTTP that the system sends or acts on. Where the code means
/// more to the platform than its name says, the comment tells.
inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusAccepted = 202;
inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusUnauthorised = 401;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusConflict = 409;
inline constexpr unsigned kStatusGone = 410;
inline constexpr unsigned kStatusPreconditionFailed = 412;

/// Another process has the address now: certainly not run.
inline constexpr unsigned kStatusMisdirected = 421;
/// To an item of a job: it can never be done.
inline constexpr unsigned kStatusUnprocessable = 422;
/// Certainly not done: too many calls.
inline constexpr unsigned kStatusTooManyRequests = 429;
/// To callers: nothing is known of the request's fate.
inline constexpr unsigned kStatusBadGateway = 502;
/// To callers: certainly not run.
inline constexpr unsigned kStatusUnavailable = 503;
/// To callers: nothing is known of the request's fate.
inline constexpr unsigned kStatusGatewayTimeout = 504;

} // namespace pumiceturn::httpstream
