#include "process/serving/request_intake.h"

#include <chrono>
#include <utility>

#include "platform/client_codec.h"

namespace carawayrelay {
namespace {

// Retry-After when too many events wait.
constexpr std::chrono::milliseconds kOverloadedRetry{500};

void Respond(HttpExchange& exchange, const Refusal& refusal) {
  const CompleteResponse response = platform::EncodeRefusal(refusal);
  exchange.Respond(response.status, response.headers, response.body);
}

// Another entry serves the client at once.
void RefuseLeaving(HttpExchange& exchange) {
  exchange.CloseAfterResponse();
  Respond(exchange, {.code = RefusalCode::kLeaving,
                     .reason = "this entry is about to stop",
                     .retry_after = std::chrono::milliseconds(0)});
}

}  // namespace

void RequestIntake::Accept(HttpRequest request, HttpExchangePtr exchange) {
  const std::lock_guard lock(mutex_);
  if (is_closed_) {
    RefuseLeaving(*exchange);
    return;
  }
  ServingEvent event(
      HttpRequestArrived{std::move(request), std::move(exchange)});
  if (!events_.TryPush(event)) {
    Respond(*std::get<HttpRequestArrived>(event).exchange,
            {.code = RefusalCode::kOverloaded,
             .reason = "too many events are waiting",
             .retry_after = kOverloadedRetry});
  }
}

void RequestIntake::Close() {
  const std::lock_guard lock(mutex_);
  is_closed_ = true;
  while (auto event = events_.TryPop()) {
    if (const auto* arrived = std::get_if<HttpRequestArrived>(&*event)) {
      RefuseLeaving(*arrived->exchange);
    }
  }
}

}  // namespace carawayrelay
