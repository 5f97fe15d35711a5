#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::standin {

inline constexpr base::Event kStandinStarted{
  9001,
  "standin_started",
  base::LogLevel::Info,
  "A stand-in listens on its port."
};

inline constexpr base::Event kStandinCrashed{
  9002,
  "standin_crashed",
  base::LogLevel::Warning,
  "A stand-in dropped all connections and refuses new ones until it restarts."
};

inline constexpr base::Event kStandinRestarted{
  9003,
  "standin_restarted",
  base::LogLevel::Info,
  "A stand-in listens again after a crash."
};

inline constexpr base::Event kFaultsSwitched{
  9004,
  "standin_faults_switched",
  base::LogLevel::Info,
  "The faults of a stand-in were changed."
};

inline constexpr base::Event kStateNotKept{
  9005,
  "standin_state_not_kept",
  base::LogLevel::Error,
  "The key-value stand-in could not write its state file."
};

} // namespace pumiceturn::standin
