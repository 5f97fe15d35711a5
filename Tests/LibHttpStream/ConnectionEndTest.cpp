#include "Tests/LibHttpStream/ListenerFixture.h"

namespace pumiceturn::httpstream {

class ConnectionEndFixture : protected ListenerFixture
{
protected:
  ConnectionEndFixture()
  {
    listener_.SetOnConnectionEnded([this](const ConnectionEnd& aEnd) {
      end_ = aEnd;
      target_ = aEnd.request_ ? TargetOf(*aEnd.request_) : std::string_view{};
    });
  }

  void RunUntilEnded()
  {
    RunUntil([this] { return end_.has_value(); });
  }

  std::optional<ConnectionEnd> end_;
  std::string target_;
};

TEST_CASE_METHOD(ConnectionEndFixture,
                 "ConnectionEnd_CallerLeavesARequest_IsReported")
{
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  caller_.close();
  RunUntilEnded();
  CHECK(end_->cause_ == CloseCause::Caller);
  CHECK(end_->progress_ == RequestProgress::Unanswered);
  CHECK(target_ == "/1");
}

TEST_CASE_METHOD(ConnectionEndFixture, "ConnectionEnd_Abort_IsReported")
{
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  Send("unread");
  exchanges_[0]->Abort();
  RunUntilEnded();
  CHECK(end_->cause_ == CloseCause::Aborted);
  CHECK(end_->progress_ == RequestProgress::Unanswered);
  CHECK(end_->unreadBytes_ == 6);
  CHECK(target_ == "/1");
}

TEST_CASE_METHOD(ConnectionEndFixture,
                 "ConnectionEnd_PartOfARequest_IsReported")
{
  Send("GET /1 HTTP/1.1\r\n");
  RunUntil([this] { return listener_.ConnectionCount() == 1; });
  Send("Host: a\r\n");
  caller_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  RunUntilEnded();
  CHECK(end_->cause_ == CloseCause::Caller);
  CHECK(end_->progress_ == RequestProgress::Incomplete);
}

TEST_CASE_METHOD(ConnectionEndFixture,
                 "ConnectionEnd_IdleConnection_HasNothingOutstanding")
{
  ServerLimits limits;
  limits.idleTimeout_ = std::chrono::milliseconds(1);
  listener_.SetLimits(limits);
  RunUntilEnded();
  CHECK(end_->cause_ == CloseCause::IdleTimeout);
  CHECK_FALSE(end_->HasOutstanding());
}

TEST_CASE_METHOD(ConnectionEndFixture,
                 "ConnectionEnd_ResponseNotRead_HasUnsentBytes")
{
  constexpr std::size_t kBodyBytes = 8388608;
  ServerLimits limits;
  limits.idleTimeout_ = std::chrono::milliseconds(100);
  listener_.SetLimits(limits);
  Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([this] { return exchanges_.size() == 1; });
  exchanges_[0]->Respond(
    MakeResponse(200, std::string(kBodyBytes, 'x'), "text/plain"));
  RunUntilEnded();
  CHECK(end_->cause_ == CloseCause::ResponseUnread);
  CHECK(end_->unsentBytes_ > 0);
  CHECK(end_->sinceActivity_ >= limits.idleTimeout_);
}

} // namespace pumiceturn::httpstream
