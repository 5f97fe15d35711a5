#include "LibHttpStream/ClientConnection.h"

#include "LibHttpStream/Socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pumiceturn::httpstream {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBytes = 16384;

/// The lowest status that HTTP has.
constexpr unsigned kFirstStatus = 100;

/// Largest response head that is accepted; servers send well under 1 KB.
constexpr std::uint32_t kMaxHeadBytes = 16384;

/// Most bytes kept unparsed: a chunk's header or a trailer may have no end.
constexpr std::size_t kMaxUnparsedBytes = 2ULL * kMaxHeadBytes;

/// Interim responses and responses to earlier calls that are skipped in one
/// call. A server sends one or two.
constexpr std::uint32_t kMaxExtraResponses = 8;

/// Time from a response's first byte to the end of its head, and for the whole
/// of a response that is skipped. Longer than a sound server's silences.
constexpr std::chrono::seconds kMaxHeadTime{ 5 };

/// Used if the server sends no keep-alive timeout. A server with a limit below
/// 1 s can't send one, since the header has whole seconds.
constexpr std::chrono::milliseconds kDefaultIdleLimit{ 300 };

/// Subtracted from the server's keep-alive timeout to allow for the time a
/// request takes to reach it.
constexpr std::chrono::milliseconds kKeepAliveMargin{ 400 };

/// How often the observer is asked again about a silent call.
constexpr std::chrono::milliseconds kSilenceCheckInterval{ 100 };

/// Delay of a timer from which on this process is taken not to have run. A
/// process whose processor time is a quota may stand still for up to 100 ms.
constexpr std::chrono::milliseconds kMaxTimerDelay{ 200 };

/// @return N of "timeout=N" in a Keep-Alive header, in seconds; nullopt if it
/// is missing or malformed.
std::optional<unsigned>
ParseKeepAliveSeconds(std::string_view aValue)
{
  constexpr std::string_view kName = "timeout=";
  const std::size_t begin = aValue.find(kName);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const std::string_view digits = aValue.substr(begin + kName.size());
  const auto result =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (result.ec != std::errc{}) {
    return std::nullopt;
  }
  return seconds;
}

template<typename Parser>
ResponseFraming
FramingOf(const Parser& aParser)
{
  if (aParser.chunked()) {
    return ResponseFraming::Chunked;
  }
  return aParser.need_eof() ? ResponseFraming::ConnectionEnd
                            : ResponseFraming::Length;
}

} // namespace

ClientConnection::ClientConnection(const asio::any_io_executor& aExecutor)
  : socket_(aExecutor)
  , timer_(aExecutor)
{
}

void
ClientConnection::Connect(const asio::ip::tcp::endpoint& aEndpoint,
                          base::Duration aTimeout,
                          std::function<void(bool)> aReady)
{
  onConnected_ = std::move(aReady);
  ArmTimer(aTimeout);
  socket_.async_connect(
    aEndpoint,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (self->isClosed_ || !self->onConnected_) {
        return;
      }
      ++self->timerGeneration_;
      self->timer_.cancel();
      const auto ready = std::exchange(self->onConnected_, nullptr);
      self->wasRefused_ = aError == asio::error::connection_refused;
      if (!aError) {
        self->connectedAt_ = base::MonotonicNow();
        TuneSocket(self->socket_, Initiator::ThisHost);
      } else {
        self->Cancel();
      }
      ready(!aError);
    });
}

void
ClientConnection::Start(Call aCall, CallObserver& aObserver)
{
  RecordEchoValue();
  call_ = std::move(aCall);
  observer_ = &aObserver;
  isHeadReceived_ = false;
  hasBody_ = false;
  isReusable_ = false;
  isPaused_ = false;
  isStale_ = false;
  hasWriteFailed_ = false;
  parser_.reset();
  responseBeganAt_.reset();
  bodyBeganAt_.reset();
  extraResponses_ = 0;
  lastByteAt_ = base::MonotonicNow();
  wasExtendedForDelay_ = false;
  ArmTimer(call_.firstByteTimeout_);
  Write();
  Read();
}

void
ClientConnection::RecordEchoValue()
{
  if (call_.echoField_.empty()) {
    return;
  }
  hasCarriedUnnamed_ = hasCarriedUnnamed_ || call_.echoValue_.empty();
  echoValues_.push_back(std::move(call_.echoValue_));
  if (echoValues_.size() > kMaxExtraResponses) {
    echoValues_.pop_front();
  }
}

bool
ClientConnection::HasCarried(std::string_view aEchoValue) const
{
  return call_.echoValue_ == aEchoValue ||
         std::find(echoValues_.begin(), echoValues_.end(), aEchoValue) !=
           echoValues_.end();
}

void
ClientConnection::ArmTimer(base::Duration aTimeout)
{
  ++timerGeneration_;
  if (aTimeout <= base::Duration::zero()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(aTimeout);
  timer_.async_wait([self = shared_from_this(), generation = timerGeneration_](
                      const boost::system::error_code& aError) {
    if (aError || self->isClosed_ || generation != self->timerGeneration_) {
      return;
    }
    self->OnTimeout();
  });
}

void
ClientConnection::OnTimeout()
{
  if (onConnected_) {
    const auto ready = std::exchange(onConnected_, nullptr);
    Cancel();
    ready(false);
    return;
  }
  if (observer_ == nullptr) {
    return;
  }
  const Silence silence = MeasureSilence();
  if (silence.unreadBytes_ > 0) {
    ArmTimer(kSilenceCheckInterval);
    return;
  }
  if (silence.ownDelay_ > kMaxTimerDelay &&
      !std::exchange(wasExtendedForDelay_, true)) {
    lastByteAt_ += silence.ownDelay_;
    ArmTimer(std::min(silence.ownDelay_, NextByteTimeout()));
    return;
  }
  const SilenceDecision decision = observer_->OnSilence(silence);
  if (observer_ == nullptr || isClosed_) {
    return;
  }
  if (decision == SilenceDecision::EndCall) {
    Finish(CallOutcome::TimedOut);
    return;
  }
  ArmTimer(kSilenceCheckInterval);
}

Silence
ClientConnection::MeasureSilence() const
{
  const base::Instant now = base::MonotonicNow();
  Silence silence;
  silence.duration_ = now - lastByteAt_;
  silence.ownDelay_ =
    std::max(std::chrono::duration_cast<base::Duration>(now - timer_.expiry()),
             base::Duration::zero());
  boost::system::error_code ignored;
  silence.unreadBytes_ = socket_.available(ignored);
  return silence;
}

base::Duration
ClientConnection::NextByteTimeout() const
{
  return isHeadReceived_ && !isStale_ ? GapTimeout() : call_.firstByteTimeout_;
}

base::Duration
ClientConnection::GapTimeout() const
{
  return hasBody_ ? call_.gapTimeout_
                  : call_.firstGapTimeout_.value_or(call_.gapTimeout_);
}

void
ClientConnection::Write()
{
  isWriting_ = true;
  asio::async_write(socket_,
                    asio::buffer(call_.bytes_),
                    [self = shared_from_this()](
                      const boost::system::error_code& aError, std::size_t) {
                      self->isWriting_ = false;
                      // A failed write is not reported here: the read first
                      // returns any response that the server sent.
                      self->hasWriteFailed_ = aError.failed();
                      // If the call has already ended, its bytes are no
                      // longer needed.
                      if (!aError && self->observer_ == nullptr) {
                        self->call_.bytes_.clear();
                      }
                    });
}

void
ClientConnection::Read()
{
  if (isReading_ || isClosed_ || isPaused_) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(
    input_.prepare(kReadBytes),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      self->isReading_ = false;
      self->OnRead(aError, aBytes);
    });
}

void
ClientConnection::OnRead(const boost::system::error_code& aError,
                         std::size_t aBytes)
{
  if (isClosed_ || observer_ == nullptr) {
    return;
  }
  if (aError) {
    OnReadError(aError);
    return;
  }
  input_.commit(aBytes);
  lastByteAt_ = base::MonotonicNow();
  wasExtendedForDelay_ = false;
  if (!responseBeganAt_) {
    responseBeganAt_ = lastByteAt_;
  }
  Parse();
}

void
ClientConnection::Parse()
{
  const auto self = shared_from_this();
  while (observer_ != nullptr && !isClosed_ && input_.size() > 0) {
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->header_limit(kMaxHeadBytes);
      parser_->body_limit(call_.limits_.maxBodyBytes_);
      parser_->skip(call_.isHeadRequest_);
      isHeadReceived_ = false;
    }
    boost::system::error_code error;
    const std::size_t consumed = parser_->put(input_.data(), error);
    input_.consume(consumed);
    if (error && error != http::error::need_more) {
      Finish(CallOutcome::Malformed);
      return;
    }
    if (parser_->is_header_done() &&
        parser_->get().result_int() < kFirstStatus) {
      Finish(CallOutcome::Malformed);
      return;
    }
    if (parser_->is_header_done() && !isHeadReceived_ && !AcceptHead()) {
      return;
    }
    DeliverBody();
    if (observer_ == nullptr || isClosed_) {
      return;
    }
    if (parser_->is_done()) {
      const bool isStale = isStale_;
      const bool isInformational = parser_->get().result_int() < 200;
      if (!isStale && !isInformational) {
        RecordKeepAlive();
        Finish(CallOutcome::Complete);
        return;
      }
      parser_.reset();
      ++extraResponses_;
      responseBeganAt_.reset();
      if (input_.size() > 0) {
        responseBeganAt_ = lastByteAt_;
      }
      continue;
    }
    if (consumed == 0) {
      break;
    }
  }
  if (observer_ != nullptr && !isClosed_ && IsBeyondLimits(lastByteAt_)) {
    Reject();
    return;
  }
  if (observer_ != nullptr && !isClosed_) {
    if (!isStale_ && isHeadReceived_ && !isPaused_) {
      ArmTimer(GapTimeout());
    }
    Read();
  }
}

bool
ClientConnection::IsBeyondLimits(base::Instant aNow) const
{
  const bool isReadingOwnBody = isHeadReceived_ && !isStale_ && parser_;
  if (isReadingOwnBody) {
    const base::Duration maxTime = call_.limits_.maxBodyTime_;
    const bool isLate = maxTime > base::Duration::zero() && bodyBeganAt_ &&
                        aNow - *bodyBeganAt_ > maxTime;
    return isLate || input_.size() > kMaxUnparsedBytes;
  }
  return extraResponses_ > kMaxExtraResponses ||
         input_.size() > kMaxUnparsedBytes ||
         (responseBeganAt_ && aNow - *responseBeganAt_ > kMaxHeadTime);
}

bool
ClientConnection::AcceptHead()
{
  isHeadReceived_ = true;
  const ResponseHead& head = parser_->get();
  const std::string_view echoed = ValueOf(head, call_.echoField_);
  // Servers may send a second response to an earlier call. Passing it on would
  // give one caller's data to another.
  const bool isOfOtherCall =
    echoed.empty() ? MayBeSurplus(head) : echoed != call_.echoValue_;
  isStale_ = !call_.echoField_.empty() && isOfOtherCall;
  hasReadEcho_ = hasReadEcho_ || !echoed.empty();
  if (isStale_ || head.result_int() < 200) {
    return true;
  }
  framing_ = FramingOf(*parser_);
  bodyBeganAt_ = lastByteAt_;
  observer_->OnHead(head);
  return observer_ != nullptr && !isClosed_;
}

bool
ClientConnection::MayBeSurplus(const ResponseHead& aHead) const
{
  const bool isSuccess =
    http::to_status_class(aHead.result()) == http::status_class::successful;
  return !call_.echoValue_.empty() &&
         (hasCarriedUnnamed_ || (hasReadEcho_ && isSuccess));
}

void
ClientConnection::DeliverBody()
{
  if (!isHeadReceived_ || !parser_) {
    return;
  }
  std::string bytes = std::move(parser_->get().body());
  parser_->get().body().clear();
  if (!bytes.empty() && !isStale_) {
    hasBody_ = true;
    observer_->OnBody(bytes);
  }
}

void
ClientConnection::OnReadError(const boost::system::error_code& aError)
{
  // A reset is told once only: if the write got its error, the read gets none.
  const bool wasRequestTaken = !isWriting_ && !hasWriteFailed_;
  const bool isOrderly = aError == asio::error::eof && wasRequestTaken;
  if (!isOrderly || !parser_ || !isHeadReceived_ || isStale_) {
    Finish(CallOutcome::Broken);
    return;
  }
  boost::system::error_code error;
  parser_->put_eof(error);
  const bool isComplete = !error && parser_->is_done();
  Finish(isComplete ? CallOutcome::Complete : CallOutcome::Broken);
}

void
ClientConnection::RecordKeepAlive()
{
  const ResponseHead& head = parser_->get();
  // Surplus bytes belong to no call, so the connection can't be reused.
  isReusable_ = parser_->keep_alive() && !parser_->need_eof() && !isWriting_ &&
                input_.size() == 0;
  const auto seconds = ParseKeepAliveSeconds(ValueOf(head, "Keep-Alive"));
  base::Duration allowed = kDefaultIdleLimit;
  if (seconds) {
    allowed = std::chrono::seconds(*seconds) - kKeepAliveMargin;
  }
  usableUntil_ = base::MonotonicNow() + allowed;
}

void
ClientConnection::Finish(CallOutcome aOutcome)
{
  CallObserver* observer = std::exchange(observer_, nullptr);
  const auto self = shared_from_this();
  ++timerGeneration_;
  timer_.cancel();
  parser_.reset();
  if (!isReusable_) {
    isClosed_ = true;
    CloseSocket(socket_);
  }
  if (observer != nullptr) {
    observer->OnEnd(aOutcome);
  }
}

void
ClientConnection::Cancel()
{
  observer_ = nullptr;
  onConnected_ = nullptr;
  isReusable_ = false;
  isClosed_ = true;
  ++timerGeneration_;
  timer_.cancel();
  CloseSocket(socket_);
}

void
ClientConnection::Reject()
{
  if (observer_ != nullptr) {
    isReusable_ = false;
    Finish(CallOutcome::Malformed);
  }
}

void
ClientConnection::SetPaused(bool aIsPaused)
{
  if (aIsPaused == isPaused_) {
    return;
  }
  isPaused_ = aIsPaused;
  lastByteAt_ = base::MonotonicNow();
  wasExtendedForDelay_ = false;
  ArmTimer(isPaused_ ? base::Duration::zero() : GapTimeout());
  if (!isPaused_ && observer_ != nullptr) {
    Read();
  }
}

bool
ClientConnection::IsReusable() const
{
  return isReusable_ && !isClosed_;
}

bool
ClientConnection::IsIdleAndOpen()
{
  char byte = 0;
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  (void)socket_.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace pumiceturn::httpstream
