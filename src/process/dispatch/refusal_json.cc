#include "process/dispatch/refusal_json.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace carawayrelay {
namespace {

// Error types that client libraries of this API recognize.
const char* ErrorType(RefusalCode code) {
  switch (code) {
    case RefusalCode::kInvalidRequest:
    case RefusalCode::kNotFound:
    case RefusalCode::kConflict:
    case RefusalCode::kTooLarge:
    case RefusalCode::kHeadersTooLarge:
      return "invalid_request_error";
    case RefusalCode::kUnauthorized:
      return "authentication_error";
    case RefusalCode::kForbidden:
      return "permission_error";
    case RefusalCode::kRateLimited:
      return "rate_limit_error";
    default:
      return "server_error";
  }
}

}  // namespace

std::string ToJson(const Refusal& refusal) {
  nlohmann::json error = {{"message", refusal.reason},
                          {"type", ErrorType(refusal.code)},
                          {"code", ToString(refusal.code)},
                          {"run_state", ToString(refusal.run_state)}};
  if (refusal.retry_after) {
    error["retry_after"] =
        std::chrono::duration<double>(*refusal.retry_after).count();
  }
  // A reason may quote bytes of the request that are not valid UTF-8.
  return nlohmann::json{{"error", std::move(error)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpHeaders RefusalHeaders(const Refusal& refusal) {
  HttpHeaders headers{{"Content-Type", "application/json"}};
  if (refusal.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after);
    headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return headers;
}

void SendRefusal(HttpExchange& exchange, const Refusal& refusal) {
  exchange.Respond(HttpStatus(refusal.code), RefusalHeaders(refusal),
                   ToJson(refusal));
}

}  // namespace carawayrelay
