#include "Idle.h"

#include "LibBase/Result.h"
#include "LibWire/LinkTable.h"

#include <fmt/format.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pumiceturn::wire {

namespace {

constexpr std::chrono::seconds kSettle{ 3 };
constexpr std::chrono::seconds kWindow{ 10 };
constexpr std::array<double, 5> kShares{ 0.005, 0.125, 0.25, 0.5, 1.0 };
constexpr double kMicroseconds = 1e6;
constexpr double kKilobyte = 1024;

/// Of IP and TCP with timestamps, without the link layer's.
constexpr double kHeaderBytes = 52;

struct Sample
{
  double links_ = 0;
  double cpuSeconds_ = 0;
  double residentBytes_ = 0;
  double sentBytes_ = 0;
  double receivedBytes_ = 0;
  double sentSegments_ = 0;
};

std::string
PeerName(int aIndex)
{
  return "peer-" + std::to_string(aIndex);
}

std::string
PeerAddress(const IdlePlan& aPlan, int aIndex)
{
  return "127.0.0.1:" + std::to_string(aPlan.port_ + aIndex);
}

std::unique_ptr<LinkTable>
StartTable(const std::string& aHost, const std::string& aAddress)
{
  LinkTable::Options options;
  options.host_ = aHost;
  options.listenAddress_ = aAddress;
  LinkTable::Handlers handlers;
  handlers.heartbeat_ = [](const std::string&) {
    Heartbeat heartbeat;
    heartbeat.configurationVersion_ = 1000;
    heartbeat.running_ = 8;
    heartbeat.queuedOnline_ = 2;
    heartbeat.capacity_ = 16;
    heartbeat.expectedWaitMs_ = 40;
    heartbeat.partitionTableRevision_ = 1000;
    return heartbeat;
  };
  auto table = base::Capture(
    [&] { return LinkTable::Start(options, std::move(handlers)); });
  if (const auto* failure = std::get_if<base::Failure>(&table)) {
    fmt::print(stderr, "{}: {}\n", aAddress, failure->detail_);
    std::exit(EXIT_FAILURE);
  }
  return std::get<0>(std::move(table));
}

void
AddSockets(Sample& aSample)
{
  const long descriptors = sysconf(_SC_OPEN_MAX);
  for (int descriptor = 0; descriptor < descriptors; ++descriptor) {
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
      aSample.sentBytes_ += static_cast<double>(info.tcpi_bytes_sent);
      aSample.receivedBytes_ += static_cast<double>(info.tcpi_bytes_received);
      aSample.sentSegments_ += info.tcpi_segs_out;
    }
  }
}

Sample
Measure(int aLinks)
{
  Sample sample;
  sample.links_ = aLinks;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  sample.cpuSeconds_ =
    static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
    static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
      kMicroseconds;
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  sample.residentBytes_ = resident * static_cast<double>(sysconf(_SC_PAGESIZE));
  AddSockets(sample);
  return sample;
}

/// @return what a window of rest cost, a second; memory as it stands.
Sample
MeasureWindow(int aLinks)
{
  const Sample before = Measure(aLinks);
  std::this_thread::sleep_for(kWindow);
  Sample after = Measure(aLinks);
  const auto seconds = static_cast<double>(kWindow.count());
  after.cpuSeconds_ = (after.cpuSeconds_ - before.cpuSeconds_) / seconds;
  after.sentBytes_ = (after.sentBytes_ - before.sentBytes_) / seconds;
  after.receivedBytes_ =
    (after.receivedBytes_ - before.receivedBytes_) / seconds;
  after.sentSegments_ = (after.sentSegments_ - before.sentSegments_) / seconds;
  return after;
}

/// @return the slope of a least-squares line through a figure of the samples.
double
Slope(const std::vector<Sample>& aSamples, double Sample::*aFigure)
{
  double sumX = 0;
  double sumY = 0;
  for (const Sample& sample : aSamples) {
    sumX += sample.links_;
    sumY += sample.*aFigure;
  }
  const auto count = static_cast<double>(aSamples.size());
  double above = 0;
  double below = 0;
  for (const Sample& sample : aSamples) {
    const double x = sample.links_ - sumX / count;
    above += x * (sample.*aFigure - sumY / count);
    below += x * x;
  }
  return above / below;
}

void
PrintRow(const Sample& aSample)
{
  fmt::print("| {} | {:.0f} | {:.0f} | {:.1f} | {:.0f} | {:.0f} |\n",
             aSample.links_,
             aSample.sentBytes_,
             aSample.receivedBytes_,
             aSample.sentSegments_,
             aSample.cpuSeconds_ * kMicroseconds,
             aSample.residentBytes_ / kKilobyte);
}

void
PrintSlopes(const std::vector<Sample>& aSamples)
{
  const double sent = Slope(aSamples, &Sample::sentBytes_);
  const double segments = Slope(aSamples, &Sample::sentSegments_);
  fmt::print("\nslope a link: {:.0f} bytes/s sent ({:.0f} with TCP and IP "
             "headers of {:.1f} segments), {:.0f} bytes/s received, {:.1f} us "
             "of processor a second, {:.1f} KB resident\n",
             sent,
             sent + segments * kHeaderBytes,
             segments,
             Slope(aSamples, &Sample::receivedBytes_),
             Slope(aSamples, &Sample::cpuSeconds_) * kMicroseconds,
             Slope(aSamples, &Sample::residentBytes_) / kKilobyte);
}

} // namespace

void
ServePeers(const IdlePlan& aPlan)
{
  std::vector<std::unique_ptr<LinkTable>> peers;
  peers.reserve(static_cast<std::size_t>(aPlan.links_));
  for (int index = 0; index < aPlan.links_; ++index) {
    peers.push_back(StartTable(PeerName(index), PeerAddress(aPlan, index)));
  }
  std::this_thread::sleep_for(std::chrono::seconds(aPlan.seconds_));
}

void
MeasureIdle(const IdlePlan& aPlan)
{
  const auto hub = StartTable("hub", "127.0.0.1:0");
  std::vector<Sample> samples;
  fmt::print("| links | bytes/s sent | bytes/s received | segments/s sent | "
             "processor us/s | resident KB |\n|---|---|---|---|---|---|\n");
  int linked = 0;
  for (const double share : kShares) {
    const int wanted = std::max(1, static_cast<int>(share * aPlan.links_));
    for (; linked < wanted; ++linked) {
      hub->Connect(PeerName(linked), PeerAddress(aPlan, linked));
    }
    while (hub->UpPeers().size() < static_cast<std::size_t>(wanted)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::this_thread::sleep_for(kSettle);
    samples.push_back(MeasureWindow(wanted));
    PrintRow(samples.back());
  }
  PrintSlopes(samples);
}

} // namespace pumiceturn::wire
