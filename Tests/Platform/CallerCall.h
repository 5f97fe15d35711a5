#pragma once

#include "LibHttpStream/ClientConnection.h"

#include <memory>
#include <optional>
#include <string>

namespace pumiceturn::adapter {

/// One call of a caller and its response.
class CallerCall : public httpstream::CallObserver
{
public:
  void OnHead(const httpstream::ResponseHead& aHead) override
  {
    status_ = aHead.result_int();
    seal_ = httpstream::ValueOf(aHead, "Server-Seal");
    retryAfter_ = httpstream::ValueOf(aHead, "Retry-After");
  }
  void OnBody(std::string_view aBytes) override { body_.append(aBytes); }
  void OnEnd(httpstream::CallOutcome aOutcome) override { outcome_ = aOutcome; }

  [[nodiscard]] bool HasEnded() const { return outcome_.has_value(); }

  unsigned status_ = 0;
  std::string seal_;
  std::string retryAfter_;
  std::string body_;
  std::optional<httpstream::CallOutcome> outcome_;
  std::shared_ptr<httpstream::ClientConnection> connection_;
};

} // namespace pumiceturn::adapter
