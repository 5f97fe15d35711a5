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

/// A stream of messages to one caller over gRPC's callback interface: messages
/// are queued and written one after the other, and no thread waits. Kept alive
/// by itself until gRPC is done with it. Thread-safe; its lock is innermost and
/// is not held while gRPC is called.
template<typename Message>
class MessageStream final : public grpc::ServerWriteReactor<Message>
{
public:
  struct Handlers
  {
    std::function<void()> cancelled_; ///< Caller gone; called once at most.
    std::function<void()> drained_;   ///< All that was queued is written.
  };

  static std::shared_ptr<MessageStream> Make()
  {
    auto stream = std::shared_ptr<MessageStream>(new MessageStream);
    stream->self_ = stream;
    return stream;
  }

  /// Before the reactor is handed to gRPC.
  void SetHandlers(Handlers aHandlers) { handlers_ = std::move(aHandlers); }

  void Push(Message aMessage)
  {
    std::vector<Message> one;
    one.push_back(std::move(aMessage));
    PushAll(std::move(one));
  }

  /// Queues messages as one: the stream is not drained before the last of them
  /// is written.
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

  /// Ends the RPC when all that was queued before is written.
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

  /// @return whether the RPC ends or has ended.
  [[nodiscard]] bool IsClosing()
  {
    const std::lock_guard lock(mutex_);
    return closing_.has_value();
  }

  void OnWriteDone(bool aIsOk) override
  {
    bool isDrained = false;
    {
      const std::lock_guard lock(mutex_);
      isWriting_ = false;
      if (!aIsOk) {
        queue_.clear();
      }
      isDrained = aIsOk && queue_.empty() && !closing_.has_value();
    }
    WriteNext();
    if (isDrained && handlers_.drained_) {
      handlers_.drained_();
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
