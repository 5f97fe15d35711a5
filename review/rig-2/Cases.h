#pragma once

#include "Rig.h"

namespace review {

[[noreturn]] void
RunLateBytes(Recorder& aRecorder);

[[noreturn]] void
RunTruncatedStreams(Recorder& aRecorder);

[[noreturn]] void
RunFailingItems(Recorder& aRecorder);

[[noreturn]] void
RunSlowReaders(Recorder& aRecorder);

[[noreturn]] void
RunDrainingServers(Recorder& aRecorder);

} // namespace review
