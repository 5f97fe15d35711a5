#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::gateway {

inline constexpr base::Event kGatewayStarted{
  7101,
  "gateway_started",
  base::LogLevel::Info,
  "The process listens for callers."
};
inline constexpr base::Event kGatewayReady{
  7102,
  "gateway_ready",
  base::LogLevel::Info,
  "Configuration and endpoints are known; callers are taken."
};
inline constexpr base::Event kGatewayStopping{
  7103,
  "gateway_stopping",
  base::LogLevel::Info,
  "A shutdown was asked for: readiness is withdrawn, open work finishes."
};
inline constexpr base::Event kGatewayStopped{ 7104,
                                              "gateway_stopped",
                                              base::LogLevel::Info,
                                              "The process ends." };
inline constexpr base::Event kDeclarationsInForce{
  7105,
  "declarations_in_force",
  base::LogLevel::Info,
  "A newer version of the operators' configuration is in force."
};
inline constexpr base::Event kDeclarationsUnreadable{
  7106,
  "declarations_unreadable",
  base::LogLevel::Error,
  "A configuration could not be read; the last one stays in force."
};
inline constexpr base::Event kEndpointChanged{
  7107,
  "endpoint_changed",
  base::LogLevel::Info,
  "An endpoint appeared, drains, or is gone."
};
inline constexpr base::Event kRequestSent{
  7108,
  "request_sent",
  base::LogLevel::Info,
  "A request goes to an endpoint, which was weighed as the line says."
};
inline constexpr base::Event kRequestEnded{ 7109,
                                            "request_ended",
                                            base::LogLevel::Info,
                                            "A request has its final answer." };
inline constexpr base::Event kAttemptFailed{
  7110,
  "attempt_failed",
  base::LogLevel::Warning,
  "An endpoint refused, broke off or went silent."
};
inline constexpr base::Event kBatchJobAccepted{
  7111,
  "lot_accepted",
  base::LogLevel::Info,
  "A lot is stored and acknowledged."
};
inline constexpr base::Event kBatchJobNotAccepted{
  7112,
  "lot_not_accepted",
  base::LogLevel::Warning,
  "A lot could not be stored, or it is unknown whether it was."
};
inline constexpr base::Event kBatchJobAcquired{
  7113,
  "lot_taken",
  base::LogLevel::Info,
  "This host runs a lot from now on."
};
inline constexpr base::Event kBatchJobReleased{
  7114,
  "lot_left",
  base::LogLevel::Info,
  "This host runs a lot no longer."
};
inline constexpr base::Event kItemRunEnded{ 7115,
                                            "item_run_ended",
                                            base::LogLevel::Info,
                                            "A run of a lot's item ended." };
inline constexpr base::Event kResultsStored{
  7116,
  "results_stored",
  base::LogLevel::Info,
  "Results of a lot are stored and can be read."
};
inline constexpr base::Event kResultsNotStored{
  7117,
  "results_not_stored",
  base::LogLevel::Warning,
  "Results of a lot could not be stored yet."
};
inline constexpr base::Event kBatchJobRemoved{
  7120,
  "lot_removed",
  base::LogLevel::Info,
  "Keys of a lot whose retention is over are removed from the store."
};
inline constexpr base::Event kSettingsReread{
  7121,
  "settings_reread",
  base::LogLevel::Info,
  "The settings were read again; what differs holds from the next start."
};
inline constexpr base::Event kSettingsUnreadable{
  7122,
  "settings_unreadable",
  base::LogLevel::Error,
  "Changed settings can't be read; the process goes on with the old ones."
};
inline constexpr base::Event kRequestSuspect{
  7123,
  "request_suspect",
  base::LogLevel::Warning,
  "A request is refused: endpoints crashed one after the other that ran it."
};
inline constexpr base::Event kRequestNotAdmitted{
  7124,
  "request_not_admitted",
  base::LogLevel::Info,
  "A request is refused before it is sent: it would wait too long for a place."
};
inline constexpr base::Event kBatchJobSpooled{
  7125,
  "lot_held",
  base::LogLevel::Info,
  "A lot that the store doesn't have yet is on this host's disk."
};
inline constexpr base::Event kBatchJobNotSpooled{
  7126,
  "lot_not_held",
  base::LogLevel::Warning,
  "A lot could not be written to this host's disk."
};
inline constexpr base::Event kBatchJobUnspooled{
  7127,
  "lot_no_longer_held",
  base::LogLevel::Info,
  "A lot is dropped from this host's disk."
};
inline constexpr base::Event kEndpointUnreadable{
  7128,
  "endpoint_unreadable",
  base::LogLevel::Warning,
  "An endpoint's registration can't be read: nothing new is sent to it."
};
inline constexpr base::Event kHostUnreadable{
  7129,
  "host_unreadable",
  base::LogLevel::Warning,
  "A host's registration can't be read; what was known of it holds."
};
inline constexpr base::Event kBatchJobOverCap{
  7130,
  "lot_over_cap",
  base::LogLevel::Info,
  "A lot is refused: too many tokens wait on its route."
};
inline constexpr base::Event kLedgerUnreadable{
  7131,
  "ledger_unreadable",
  base::LogLevel::Error,
  "A route's ledger of waiting tokens can't be read and begins anew."
};
inline constexpr base::Event kFollowerChanged{
  7132,
  "follower_changed",
  base::LogLevel::Info,
  "This host begins or ceases to follow a prefix of the store for its peers."
};
inline constexpr base::Event kDidNotRun{
  7133,
  "did_not_run",
  base::LogLevel::Warning,
  "This process did not run for a while: the store is asked before peers are "
  "trusted again."
};
inline constexpr base::Event kCallerRefused{
  7134,
  "caller_refused",
  base::LogLevel::Info,
  "A request is refused: its caller has no valid key, or this can't be told."
};
inline constexpr base::Event kRequestOverRate{
  7135,
  "request_over_rate",
  base::LogLevel::Info,
  "A request is refused: its organisation has used up its rate."
};
inline constexpr base::Event kGatewayRetiring{
  7119,
  "gateway_retiring",
  base::LogLevel::Info,
  "Operators want this host emptied: its lots are handed over."
};
inline constexpr base::Event kGatewayCannotListen{
  7118,
  "gateway_cannot_listen",
  base::LogLevel::Error,
  "An address of the settings cannot be used."
};

} // namespace pumiceturn::gateway
