#include "Scenarios/LinkStage.h"

#include "Scenarios/Names.h"

#include <algorithm>

namespace pumiceturn::scenarios {

namespace {

constexpr base::Duration kDelay{ std::chrono::milliseconds{ 1 } };
constexpr base::Duration kCheckInterval{ std::chrono::milliseconds{ 100 } };

} // namespace

LinkStage::LinkStage(Arguments& /*aArguments*/)
{
  Connect();
}

void
LinkStage::Connect()
{
  ++connection_;
  dead_ = {};
  for (auto& end : ends_) {
    end.emplace(wire::LinkHealth::Options{}, now_, 0.0);
  }
  for (const auto& [name, call] : calls_) {
    if (!call.answered_) {
      SendCall(name);
    }
  }
}

void
LinkStage::At(base::Duration aDelay, std::function<void()> aEvent)
{
  events_.emplace(now_ + aDelay, std::move(aEvent));
}

void
LinkStage::Carry(std::size_t aFrom, std::function<void()> aArrival)
{
  if (dead_.at(aFrom)) {
    return;
  }
  const std::size_t to = kRight - aFrom;
  const base::Duration delay =
    std::max(kDelay, pausedUntil_.at(to) - now_ + kDelay);
  At(delay, [this, connection = connection_, arrival = std::move(aArrival)] {
    if (connection == connection_) {
      arrival();
    }
  });
}

void
LinkStage::SendHeartbeat(std::size_t aFrom)
{
  ends_.at(aFrom)->OnSent(now_);
  const std::size_t to = kRight - aFrom;
  Carry(aFrom, [this, aFrom, to] {
    ends_.at(to)->OnHeard(now_);
    Carry(to, [this, aFrom] { ends_.at(aFrom)->OnAcknowledged(now_); });
  });
}

void
LinkStage::SendCall(const std::string& aName)
{
  ends_.at(kLeft)->OnSent(now_);
  Carry(kLeft, [this, aName] {
    ends_.at(kRight)->OnHeard(now_);
    Carry(kRight, [this, aName] {
      ends_.at(kLeft)->OnAcknowledged(now_);
      calls_.at(aName).answered_ = true;
    });
  });
}

void
LinkStage::Call(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  calls_[name] = CallState{};
  SendCall(name);
}

void
LinkStage::Submit(Arguments& /*aArguments*/)
{
  throw ScenarioError("a link has no lots");
}

void
LinkStage::Fault(Arguments& aArguments)
{
  if (aArguments.Has("silent")) {
    const std::string direction = aArguments.Text("silent");
    dead_.at(kLeft) = direction == "both" || direction == "left_to_right";
    dead_.at(kRight) = direction == "both" || direction == "right_to_left";
    if (!dead_.at(kLeft) && !dead_.at(kRight)) {
      throw ScenarioError("unknown direction " + direction);
    }
    faultAt_ = now_;
    replacedAt_.reset();
  }
  if (aArguments.Has("paused")) {
    const std::size_t end =
      aArguments.Text("paused") == "left" ? kLeft : kRight;
    pausedUntil_.at(end) =
      now_ + aArguments.Time("for", std::chrono::seconds{ 1 });
  }
}

void
LinkStage::CheckEnds()
{
  for (const std::size_t end : { kLeft, kRight }) {
    if (now_ < pausedUntil_.at(end)) {
      continue;
    }
    switch (ends_.at(end)->Check(now_)) {
      case wire::LinkNeed::Heartbeat:
        SendHeartbeat(end);
        break;
      case wire::LinkNeed::Replacement:
        replacedAt_ = now_;
        Connect();
        return;
      case wire::LinkNeed::Nothing:
        break;
    }
  }
}

void
LinkStage::Advance(base::Duration aTime)
{
  const base::Instant end = now_ + aTime;
  while (now_ < end) {
    base::Instant next = std::min(end, nextCheck_);
    if (!events_.empty()) {
      next = std::min(next, events_.begin()->first);
    }
    now_ = std::max(now_, next);
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    if (nextCheck_ <= now_) {
      nextCheck_ = now_ + kCheckInterval;
      CheckEnds();
    }
  }
}

std::string
LinkStage::Observe(const std::string& aSubject, const std::string& aField)
{
  if (aSubject == "link" && aField == "connections") {
    return std::to_string(connection_);
  }
  if (aSubject == "link" && aField == "replaced_after_ms") {
    return replacedAt_ && faultAt_
             ? std::to_string(base::ToMs(*replacedAt_ - *faultAt_))
             : "never";
  }
  const auto call = calls_.find(aSubject);
  if (call == calls_.end() || aField != "answered") {
    throw ScenarioError(aSubject + " has no " + aField);
  }
  return YesOrNo(call->second.answered_);
}

} // namespace pumiceturn::scenarios
