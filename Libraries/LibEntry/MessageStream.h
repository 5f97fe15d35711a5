#pragma once

#include <grpcpp/support/server_callback.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace pumiceturn::entry {

/// Streams messages to one caller through gRPC's callback API. Messages are
/// queued and written in order; no thread blocks. Owns itself until gRPC calls
/// OnDone(). Thread-safe. While the stream's lock is held, no other lock is
/// taken and gRPC isn't called.
template<typename Message>
class MessageStream final : public grpc::ServerWriteReactor<Message>
{
public:
  struct Handlers
  {
    /// The caller cancelled; called at most once.
    std::function<void()> cancelled_;
    std::function<void()> allWritten_; ///< All queued messages were written.
  };

  static std::shared_ptr<MessageStream> Make()
  {
    auto stream = std::shared_ptr<MessageStream>(new MessageStream);
    stream->self_ = stream;
    return stream;
  }

  /// Must be called before the reactor is returned to gRPC.
  void SetHandlers(Handlers aHandlers) { handlers_ = std::move(aHandlers); }

  void Push(Message aMessage)
  {
    std::vector<Message> one;
    one.push_back(std::move(aMessage));
    PushAll(std::move(one));
  }

  /// Queues several messages at once; allWritten_ isn't called before the last
  /// one is written.
  void PushAll(std::vector<Message> aMessages)
  {
    {
      const std::lock_guard lock(mutex_);
      if (closing_.has_value()) {
        return;
      }
      std::move(aMessages.begin(), aMessages.end(), std::back_inserter(queue_));
    }
    WriteNext();
  }

  /// Finishes the RPC after all queued messages were written.
  void Close(grpc::Status aStatus)
  {
    {
      const std::lock_guard lock(mutex_);
      if (closing_.has_value()) {
        return;
      }
      closing_ = std::move(aStatus);
    }
    WriteNext();
  }

  /// @return whether Close() was called.
  [[nodiscard]] bool IsClosing()
  {
    const std::lock_guard lock(mutex_);
    return closing_.has_value();
  }

  void OnWriteDone(bool aIsOk) override
  {
    bool isAllWritten = false;
    {
      const std::lock_guard lock(mutex_);
      isWriting_ = false;
      if (!aIsOk) {
        queue_.clear();
      }
      isAllWritten = aIsOk && queue_.empty() && !closing_.has_value();
    }
    WriteNext();
    if (isAllWritten && handlers_.allWritten_) {
      handlers_.allWritten_();
    }
  }

  void OnCancel() override
  {
    Close(grpc::Status::CANCELLED);
    if (handlers_.cancelled_) {
      handlers_.cancelled_();
    }
  }

  void OnDone() override
  {
    handlers_ = {};
    const auto self = std::move(self_);
  }

private:
  MessageStream() = default;

  void WriteNext()
  {
    std::optional<grpc::Status> finish;
    {
      const std::lock_guard lock(mutex_);
      if (isWriting_ || isFinished_) {
        return;
      }
      if (!queue_.empty()) {
        isWriting_ = true;
        current_ = std::move(queue_.front());
        queue_.pop_front();
      } else if (closing_.has_value()) {
        isFinished_ = true;
        finish = *closing_;
      } else {
        return;
      }
    }
    if (finish.has_value()) {
      this->Finish(std::move(*finish));
    } else {
      this->StartWrite(&current_);
    }
  }

  std::mutex mutex_;
  Handlers handlers_;
  std::deque<Message> queue_;
  Message current_;
  bool isWriting_ = false;
  bool isFinished_ = false;
  std::optional<grpc::Status> closing_;
  std::shared_ptr<MessageStream> self_;
};

} // namespace pumiceturn::entry
