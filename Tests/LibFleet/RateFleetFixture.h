#pragma once

#include "LibFleet/RateLimiter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// Hosts of one fleet on virtual time. Datagrams take a millisecond, may be
/// lost or duplicated, and don't cross a partition. Compares the admitted
/// requests in each window with the limit.
class RateFleetFixture
{
protected:
  static constexpr base::Duration kStep = 1ms;
  static constexpr base::Duration kTick = 100ms;
  static constexpr base::Duration kOwnerTimeout = 60ms;
  static constexpr base::Duration kSilenceTimeout = 300ms;
  static constexpr RateTolerance kTolerance{ 5s, 0.1, 20.0 };

  struct Request
  {
    base::Instant arrivedAt_; ///< When it was first checked.
    /// Time after its admission at which it is rejected without being executed;
    /// std::nullopt: it is executed.
    std::optional<base::Duration> rejectedAfter_ = std::nullopt;
  };

  struct Host
  {
    std::string name_;
    std::unique_ptr<RateLimiter> limiter_;
    int partition_ = 0; ///< Side of the partition.
    bool isUp_ = true;
    bool admits_ = true;
    base::Instant downAt_{};
    /// When it reads which hosts are registered; before, it knows no other.
    base::Instant membersReadAt_{};
    /// When another host was last heard, by the index of that host.
    std::vector<base::Instant> heardAt_ = {};
    /// Hash that each host announced when it was last heard.
    std::vector<std::optional<std::uint64_t>> announced_ = {};
    std::vector<std::optional<std::size_t>> heardHosts_ = {}; ///< As well.
    struct PendingQuery
    {
      base::Instant sentAt_;
      Request request_;
    };
    std::map<std::uint64_t, PendingQuery> pendingQueries_; ///< By query id.
    /// Requests that wait to be checked again.
    struct WaitingRequest
    {
      base::Instant until_;
      Request request_;
    };
    std::vector<WaitingRequest> waiting_ = {};
    /// A request that was admitted and will be rejected.
    struct Rejection
    {
      base::Instant at_;
      base::Instant admittedAt_;
    };
    std::vector<Rejection> rejections_ = {};
  };

  /// @param aHosts   Hosts that admit requests.
  /// @param aWorkers Hosts that only own accounts; they follow the others.
  void BuildFleet(std::size_t aHosts,
                  RateLimit aLimit,
                  std::size_t aWorkers = 0)
  {
    organisation_ = { "hot", {}, aLimit };
    admittingHosts_ = aHosts;
    for (std::size_t index = 0; index < aHosts + aWorkers; ++index) {
      const std::string name = "host" + std::to_string(index);
      Host& host = hosts_.emplace_back();
      host.name_ = name;
      host.admits_ = index < aHosts;
      host.limiter_ =
        std::make_unique<RateLimiter>(name, host.admits_, kTolerance);
      host.heardAt_.assign(aHosts + aWorkers, now_);
      host.announced_.resize(aHosts + aWorkers);
      host.heardHosts_.resize(aHosts + aWorkers);
    }
    isCut_.assign(hosts_.size(), std::vector<bool>(hosts_.size(), false));
    // Once to learn the members, then for what they announce by them.
    for (int round = 0; round < 3; ++round) {
      Announce();
      for (Host& host : hosts_) {
        UpdateMembers(host);
      }
    }
    now_ += 20s;
    Announce();
  }

  /// @param aPerSecond Requests at all hosts together, spread unevenly over the
  ///        hosts.
  void Advance(base::Duration aTime, double aPerSecond)
  {
    for (base::Duration passed{}; passed < aTime; passed += kStep) {
      now_ += kStep;
      Deliver();
      TimeOutQueries();
      EndWaits();
      Reject();
      if (++steps_ % (kTick / kStep) == 0) {
        Tick();
      }
      const double seconds = std::chrono::duration<double>(kStep).count();
      if (isFlowEven_) {
        flow_ += aPerSecond * seconds;
        for (; flow_ >= 1.0; flow_ -= 1.0) {
          Arrive();
        }
      } else {
        std::poisson_distribution<int> arrivals(aPerSecond * seconds);
        for (int count = arrivals(random_); count > 0; --count) {
          Arrive();
        }
      }
      rejectedFlow_ += rejectedPerSecond_ * seconds;
      for (; rejectedFlow_ >= 1.0; rejectedFlow_ -= 1.0) {
        ArriveToBeRejected();
      }
    }
  }

  Host& DrawHost()
  {
    // Squaring the draw gives some hosts many times the requests of others.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return hosts_[static_cast<std::size_t>(
      draw * draw * static_cast<double>(admittingHosts_))];
  }

  void Arrive()
  {
    Host& host = DrawHost();
    if (!host.isUp_) {
      return;
    }
    ++requests_;
    Apply(host, host.limiter_->Check(organisation_, now_, random_), { now_ });
  }

  void ArriveToBeRejected()
  {
    Host& host = rejectingHost_ ? hosts_[*rejectingHost_] : DrawHost();
    if (host.isUp_) {
      Apply(host,
            host.limiter_->Check(organisation_, now_, random_),
            { now_, rejectedAfter_ });
    }
  }

  /// Refunds the requests whose rejection is due.
  void Reject()
  {
    for (Host& host : hosts_) {
      for (const auto& rejection : std::exchange(host.rejections_, {})) {
        if (rejection.at_ > now_) {
          host.rejections_.push_back(rejection);
        } else if (host.isUp_) {
          ++rejected_;
          host.limiter_->Refund(organisation_.name_, rejection.admittedAt_);
        }
      }
    }
  }

  void Apply(Host& aHost,
             const RateDecision& aDecision,
             const Request& aRequest)
  {
    if (std::holds_alternative<RateAdmitted>(aDecision)) {
      if (aRequest.rejectedAfter_) {
        aHost.rejections_.push_back({ now_ + *aRequest.rejectedAfter_, now_ });
      } else {
        admitted_.push_back(now_);
      }
    } else if (const auto* query = std::get_if<RateQuery>(&aDecision)) {
      aHost.pendingQueries_[query->report_.query_] = { now_, aRequest };
      Send(aHost, query->owner_, query->report_);
    } else if (const auto* wait = std::get_if<RateWait>(&aDecision)) {
      aHost.waiting_.push_back({ now_ + wait->time_, aRequest });
    } else if (!aRequest.rejectedAfter_) {
      ++refused_;
    }
  }

  void TimeOutQueries()
  {
    for (Host& host : hosts_) {
      for (auto pending = host.pendingQueries_.begin();
           pending != host.pendingQueries_.end();) {
        if (now_ - pending->second.sentAt_ < kOwnerTimeout) {
          ++pending;
          continue;
        }
        const Request request = pending->second.request_;
        pending = host.pendingQueries_.erase(pending);
        if (host.isUp_) {
          Apply(host,
                host.limiter_->CheckLocally(
                  organisation_, now_, now_ - request.arrivedAt_),
                request);
        }
      }
    }
  }

  /// Checks again the requests whose wait is over.
  void EndWaits()
  {
    for (Host& host : hosts_) {
      for (const auto& waiting : std::exchange(host.waiting_, {})) {
        if (waiting.until_ > now_) {
          host.waiting_.push_back(waiting);
        } else if (host.isUp_) {
          host.limiter_->EndWait(organisation_.name_);
          Apply(
            host,
            host.limiter_->Check(
              organisation_, now_, random_, now_ - waiting.request_.arrivedAt_),
            waiting.request_);
        }
      }
    }
  }

  void Tick()
  {
    Announce();
    for (Host& host : hosts_) {
      if (!host.isUp_) {
        continue;
      }
      UpdateMembers(host);
      for (const auto& [owner, report] :
           host.limiter_->CollectDueReports(now_)) {
        Send(host, owner, report);
      }
    }
  }

  /// Tells each host which owners the hosts that it hears choose from.
  void Announce()
  {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (hosts_[from].isUp_ && !IsCut(from, to)) {
          hosts_[to].heardAt_[from] = now_;
          hosts_[to].announced_[from] = hosts_[from].limiter_->CandidatesHash();
          hosts_[to].heardHosts_[from] = hosts_[from].limiter_->HeardHosts();
        }
      }
    }
  }

  void UpdateMembers(Host& aHost)
  {
    if (now_ < aHost.membersReadAt_) {
      return;
    }
    std::vector<RateLimitMembership::Member> others;
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      const Host& other = hosts_[index];
      const bool isRegistered = other.isUp_ || now_ - other.downAt_ < 3s;
      if (&other != &aHost && isRegistered) {
        others.push_back({ other.name_,
                           now_ - aHost.heardAt_[index] <= kSilenceTimeout,
                           other.admits_,
                           aHost.announced_[index],
                           aHost.heardHosts_[index] });
      }
    }
    aHost.limiter_->SetMembers(others, now_);
  }

  /// @return whether messages from one host to another get lost.
  [[nodiscard]] bool IsCut(std::size_t aFrom, std::size_t aTo) const
  {
    return isCut_[aFrom][aTo] ||
           hosts_[aFrom].partition_ != hosts_[aTo].partition_;
  }

  void Stop(std::size_t aHost)
  {
    hosts_[aHost].isUp_ = false;
    hosts_[aHost].downAt_ = now_;
  }

  /// Starts a host anew, without what it knew.
  /// @param aReadTime Until the host has read which hosts are registered.
  void Restart(std::size_t aHost, base::Duration aReadTime = {})
  {
    Host& host = hosts_[aHost];
    host.isUp_ = true;
    host.membersReadAt_ = now_ + aReadTime;
    host.limiter_ =
      std::make_unique<RateLimiter>(host.name_, host.admits_, kTolerance);
    host.pendingQueries_.clear();
    host.waiting_.clear();
    host.rejections_.clear();
    std::fill(host.heardAt_.begin(), host.heardAt_.end(), base::Instant{});
    UpdateMembers(host);
  }

  void Partition(std::size_t aHosts)
  {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      hosts_[index].partition_ = index < aHosts ? 1 : 0;
    }
  }

  void StopAll()
  {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      Stop(index);
    }
    messages_.clear();
  }

  /// @param aReadTime See Restart().
  void RestartAll(base::Duration aReadTime = {})
  {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      Restart(index, aReadTime);
    }
    messages_.clear();
  }

  using Message = std::variant<RateReport, RateResponse>;

  void Send(const Host& aFrom, const std::string& aTo, const Message& aMessage)
  {
    ++sent_;
    if (Draw(lossShare_)) {
      return;
    }
    Message message = aMessage;
    if (auto* report = std::get_if<RateReport>(&message);
        report != nullptr && reportsTotalsOnly_) {
      report->refunds_.reset();
    }
    messages_.push_back({ now_ + 1ms, aFrom.name_, aTo, message });
    if (Draw(duplicatedShare_)) {
      messages_.push_back({ now_ + 5ms, aFrom.name_, aTo, message });
    }
  }

  bool Draw(double aShare)
  {
    return aShare > 0.0 && std::bernoulli_distribution(aShare)(random_);
  }

  [[nodiscard]] std::size_t IndexOf(const Host& aHost) const
  {
    return static_cast<std::size_t>(&aHost - hosts_.data());
  }

  Host& Find(const std::string& aName)
  {
    return *std::find_if(
      hosts_.begin(), hosts_.end(), [&aName](const Host& aHost) {
        return aHost.name_ == aName;
      });
  }

  void Deliver()
  {
    const std::size_t count = messages_.size();
    for (std::size_t index = 0; index < count; ++index) {
      const Sent sent = std::move(messages_.front());
      messages_.pop_front();
      if (sent.at_ > now_) {
        messages_.push_back(sent);
      } else {
        Receive(Find(sent.from_), Find(sent.to_), sent.message_);
      }
    }
  }

  void Receive(Host& aFrom, Host& aTo, const Message& aMessage)
  {
    if (IsCut(IndexOf(aFrom), IndexOf(aTo)) || !aTo.isUp_) {
      return;
    }
    if (const auto* report = std::get_if<RateReport>(&aMessage)) {
      const auto response =
        aTo.limiter_->HandleReport(aFrom.name_, *report, organisation_, now_);
      if (response) {
        Send(aTo, aFrom.name_, *response);
      }
      return;
    }
    const auto& response = std::get<RateResponse>(aMessage);
    const auto pending = aTo.pendingQueries_.extract(response.query_);
    if (pending.empty()) {
      static_cast<void>(aTo.limiter_->HandleResponse(response, now_));
      return;
    }
    const Request& request = pending.mapped().request_;
    const auto decision =
      aTo.limiter_->HandleResponse(response, now_, now_ - request.arrivedAt_);
    if (decision) {
      Apply(aTo, *decision, request);
    }
  }

  /// @return the largest number of requests admitted in any window.
  [[nodiscard]] std::size_t MaxInWindow() const
  {
    std::size_t maximum = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted_.size(); ++last) {
      while (admitted_[last] - admitted_[first] > kTolerance.window_) {
        ++first;
      }
      maximum = std::max(maximum, last - first + 1);
    }
    return maximum;
  }

  /// @return the number of requests allowed in a window, with the tolerance.
  [[nodiscard]] double Bound() const
  {
    const RateLimit& limit = organisation_.limit_;
    return (limit.ratePerSecond_ * 5 + limit.burst_) * 1.1 + 20;
  }

  struct Sent
  {
    base::Instant at_;
    std::string from_;
    std::string to_;
    Message message_;
  };

  base::Instant now_{ 24h };
  std::mt19937_64 random_{ 7 };
  double lossShare_ = 0.0;
  double duplicatedShare_ = 0.0;
  /// Requests arrive at equal intervals, not at random.
  bool isFlowEven_ = false;
  double flow_ = 0.0; ///< Part of the next request.
  /// Requests that are admitted and then rejected, beside the others.
  double rejectedPerSecond_ = 0.0;
  double rejectedFlow_ = 0.0; ///< Part of the next one.
  base::Duration rejectedAfter_ = 1ms;
  /// Hosts report refunds as those of an earlier version do.
  bool reportsTotalsOnly_ = false;
  /// Only host at which requests are rejected; std::nullopt: at all.
  std::optional<std::size_t> rejectingHost_ = std::nullopt;
  Organisation organisation_;
  std::vector<Host> hosts_;
  std::size_t admittingHosts_ = 0;
  std::vector<std::vector<bool>> isCut_; ///< By sender and receiver.
  std::deque<Sent> messages_;
  std::vector<base::Instant> admitted_;
  std::size_t requests_ = 0;
  std::size_t refused_ = 0;  ///< Those that would have been executed.
  std::size_t rejected_ = 0; ///< Those that were admitted before.
  std::size_t sent_ = 0;
  std::uint64_t steps_ = 0;
};

} // namespace pumiceturn::fleet
