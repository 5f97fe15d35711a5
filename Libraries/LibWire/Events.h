#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::wire {

inline constexpr base::Event kLinkUp{
  2001,
  "link_up",
  base::LogLevel::Info,
  "A connection to a peer is up and carries messages."
};
inline constexpr base::Event kLinkLost{
  2002,
  "link_lost",
  base::LogLevel::Warning,
  "A connection to a peer broke or went silent; a new one is tried."
};
inline constexpr base::Event kPeerReplaced{
  2003,
  "peer_replaced",
  base::LogLevel::Warning,
  "A peer's process is another than before."
};
inline constexpr base::Event kConnectFailed{
  2004,
  "connect_failed",
  base::LogLevel::Debug,
  "A connection to a peer could not be made; tried again after the delay."
};
inline constexpr base::Event kPeerRefused{
  2005,
  "peer_refused",
  base::LogLevel::Warning,
  "A connection was closed because its first message was wrong or missing."
};
inline constexpr base::Event kMessageUnreadable{
  2006,
  "message_unreadable",
  base::LogLevel::Error,
  "A peer sent a message that cannot be read; it was dropped."
};
inline constexpr base::Event kAcceptFailed{
  2007,
  "accept_failed",
  base::LogLevel::Error,
  "The listening socket failed to accept; tried again shortly."
};
inline constexpr base::Event kTaskFailed{
  2008,
  "link_task_failed",
  base::LogLevel::Error,
  "An operation of the link thread ended with an error nobody expected."
};

} // namespace pumiceturn::wire
