#include "LibWire/LinkThread.h"

#include "LibWire/LinkLoop.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace pumiceturn::wire {

namespace {

/// The event loop looks for input and timers only when it has nothing else to
/// do. A few peers that send without pause keep it busy for ever: the others'
/// messages wait, heartbeats are not sent, and healthy links count as silent.
/// So it looks after this many events in any case.
constexpr unsigned int kEventsBetweenPolls = 16;

std::string
WithPort(const std::string& aAddress, unsigned int aPort)
{
  return aAddress.substr(0, aAddress.rfind(':') + 1) + std::to_string(aPort);
}

kj::Own<kj::ConnectionReceiver>
Listen(kj::AsyncIoContext& aIo, const std::string& aAddress)
{
  kj::Network& network = aIo.provider->getNetwork();
  return network.parseAddress(aAddress.c_str()).wait(aIo.waitScope)->listen();
}

} // namespace

WakeSignal::WakeSignal()
  : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

WakeSignal::~WakeSignal()
{
  close(descriptor_);
}

void
WakeSignal::Wake() const
{
  const std::uint64_t one = 1;
  // Fails only when the counter is full, and then the thread is woken anyway.
  [[maybe_unused]] const ssize_t written =
    write(descriptor_, &one, sizeof(one));
}

void
RunLinkThread(LinkShared& aShared,
              std::promise<base::Outcome<std::string>> aStarted)
{
  kj::AsyncIoContext io = kj::setupAsyncIo();
  io.waitScope.setBusyPollInterval(kEventsBetweenPolls);
  kj::Own<kj::ConnectionReceiver> receiver;
  try {
    receiver = Listen(io, aShared.options_.listenAddress_);
  } catch (const kj::Exception& exception) {
    aStarted.set_value(base::Failure{ ResultCode::InputOutput,
                                      exception.getDescription().cStr() });
    return;
  }
  aStarted.set_value(
    WithPort(aShared.options_.listenAddress_, receiver->getPort()));
  LinkLoop loop(aShared, io, *receiver);
  loop.Run(io.waitScope);
}

} // namespace pumiceturn::wire
