#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Identifies a query to the holder of a rate. Drawn at random, so that the
// queries of two frontends do not share an id.
enum class RateRequestId : std::uint64_t {};

// Asks the holder of a workspace's rate to admit one request.
struct RateRequest {
  RateRequestId id{0};
  std::string workspace;
};

enum class RateOutcome {
  kGranted,   // the request counts against the rate
  kExceeded,  // the workspace is over its rate
  kUnknown,   // the asked frontend does not know the workspace
};

// The response to a RateRequest with the same id.
struct RateDecision {
  RateRequestId id{0};
  RateOutcome outcome = RateOutcome::kUnknown;
  // When a request of the workspace may be admitted again.
  std::chrono::milliseconds retry_after{0};
};

// A datagram between two frontends.
using RateMessage = std::variant<RateRequest, RateDecision>;

std::string EncodeRateMessage(const RateMessage& message);
// Fails with kInvalid when the bytes are malformed, hold no known message, or
// have another protocol version.
Result<RateMessage> DecodeRateMessage(std::string_view bytes);

}  // namespace carawayrelay
