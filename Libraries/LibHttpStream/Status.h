#pragma once

namespace pumiceturn::httpstream {

/// HTTP status codes that the system sends or acts on. Comments give the
/// platform's meaning where it goes beyond HTTP's.
inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusAccepted = 202;
inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusUnauthorised = 401;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusConflict = 409;
inline constexpr unsigned kStatusGone = 410;
inline constexpr unsigned kStatusPreconditionFailed = 412;

/// Another process now has the address; the request was not run.
inline constexpr unsigned kStatusMisdirected = 421;
/// A job's item can never succeed.
inline constexpr unsigned kStatusUnprocessable = 422;
/// The request was not run: too many calls.
inline constexpr unsigned kStatusTooManyRequests = 429;
/// To callers: the request may or may not have run.
inline constexpr unsigned kStatusBadGateway = 502;
/// To callers: the request was not run.
inline constexpr unsigned kStatusUnavailable = 503;
/// To callers: the request may or may not have run.
inline constexpr unsigned kStatusGatewayTimeout = 504;

} // namespace pumiceturn::httpstream
