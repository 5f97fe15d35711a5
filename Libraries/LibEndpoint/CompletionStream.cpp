#include "LibEndpoint/CompletionStream.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::endpoint {

namespace {

constexpr int kHttpOk = 200;
constexpr std::size_t kMaxErrorBytes = 512;
constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::string_view kFinishReasonCancelled = "cancelled";

std::string
StringOrEmpty(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || !found->is_string()) {
    return {};
  }
  return found->get<std::string>();
}

} // namespace

std::string
CompletionStream::MakeBody(const CompletionRequest& aRequest)
{
  const nlohmann::json body{
    { "id", aRequest.id_ },
    { "model", aRequest.model_ },
    { "prompt", aRequest.prompt_ },
    { "max_tokens", aRequest.maxTokens_ },
    { "resume_from", aRequest.resumeTokens_ },
    { "stream", true },
  };
  return body.dump();
}

bool
CompletionStream::OnStatus(int aStatus, base::Instant aNow)
{
  lastReceived_ = aNow;
  end_.httpStatus_ = aStatus;
  stopped_ = shouldStop_();
  return !stopped_;
}

bool
CompletionStream::OnBody(std::string_view aChunk, base::Instant aNow)
{
  lastReceived_ = aNow;
  if (end_.httpStatus_ != kHttpOk) {
    errorBody_.append(aChunk.substr(0, kMaxErrorBytes - errorBody_.size()));
    return true;
  }
  if (shouldStop_()) {
    stopped_ = true;
    return false;
  }
  const auto onData = [this](std::string_view aData) { return OnData(aData); };
  if (parser_.Push(aChunk, onData)) {
    return true;
  }
  malformed_ = malformed_ || !stopped_;
  return false;
}

bool
CompletionStream::OnData(std::string_view aData)
{
  if (aData == kEndMarker) {
    done_ = true;
    return true;
  }
  const auto event = nlohmann::json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    return false;
  }
  if (const auto usage = event.find("usage");
      usage != event.end() && usage->is_object()) {
    end_.cachedPromptTokens_ = usage->value("cached_tokens", 0U);
  }
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) {
    return event.contains("usage");
  }
  const nlohmann::json& choice = choices->front();
  if (!choice.is_object()) {
    return false;
  }
  const std::string text = StringOrEmpty(choice, "text");
  if (!text.empty()) {
    ++end_.tokens_;
    stopped_ = onToken_(text) == TokenDecision::Stop;
  }
  const std::string reason = StringOrEmpty(choice, "finish_reason");
  if (!reason.empty()) {
    end_.finishReason_ = reason;
  }
  return !stopped_;
}

CompletionEnd
CompletionStream::End() const
{
  CompletionEnd end = end_;
  if (end.httpStatus_ != kHttpOk) {
    end.code_ = base::ResultCode::EndpointFailed;
    end.ran_ = base::Ran::Unknown;
    end.detail_ =
      "HTTP status " + std::to_string(end.httpStatus_) + ": " + errorBody_;
    return end;
  }
  if (end.finishReason_ == kFinishReasonCancelled || stopped_) {
    end.code_ = base::ResultCode::Cancelled;
    end.ran_ = base::Ran::Unknown;
    return end;
  }
  if (malformed_) {
    end.code_ = base::ResultCode::EndpointFailed;
    end.ran_ = base::Ran::Unknown;
    end.detail_ = "malformed event stream";
    return end;
  }
  if (!done_ || end.finishReason_.empty()) {
    end.code_ = base::ResultCode::EndpointCrashed;
    end.ran_ = base::Ran::Unknown;
    end.detail_ = "the stream ended before the answer was whole";
  }
  return end;
}

} // namespace pumiceturn::endpoint
