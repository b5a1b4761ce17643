#pragma once

#include <bitset>
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
  // The holder has had the whole rate for a short time only, or has a part of
  // it, so the workspace may be refused although it is within its rate.
  bool is_settling = false;
};

// Workspaces are divided into shards by a hash of their names. The rates of one
// shard have the same holder.
inline constexpr size_t kRateShards = 32;
using RateShardSet = std::bitset<kRateShards>;

// Identifies one start of a frontend. Drawn at random.
enum class RateProcessId : std::uint64_t {};

// Asks another frontend to lend its part of the rates of `shards`.
struct RateLoanRequest {
  std::string node;  // of the sender
  RateProcessId process{0};
  // Time of the sender's clock, since its boot.
  std::chrono::microseconds sent_at{0};
  RateShardSet shards;
};

// Lends the sender's part of the rates of `shards` to the process `holder`.
struct RateLoan {
  std::string node;  // of the sender
  RateProcessId process{0};
  RateProcessId holder{0};
  // From the request. The loan ends `duration` after it, on the clock of the
  // holder, and so before the sender lends its part to anyone else.
  std::chrono::microseconds request_sent_at{0};
  std::chrono::milliseconds duration{0};
  double part = 0;  // of each rate, above 0 and at most 1
  RateShardSet shards;
};

// Ends the loans of `shards` that the sender got by requests sent up to
// `sent_at`. The sender does not use them any more.
struct RateLoanReturn {
  std::string node;
  RateProcessId process{0};
  std::chrono::microseconds sent_at{0};
  RateShardSet shards;
};

// Ends all loans that earlier processes of the sender's frontend made to the
// receiver.
struct RateLoanRecall {
  std::string node;  // of the sender
  RateProcessId process{0};
};

// The response to a RateLoanRecall: the sender grants nothing from loans of
// earlier processes of the asking frontend, now or later.
struct RateLoanRecalled {
  std::string node;          // of the sender
  RateProcessId process{0};  // that recalled the loans
};

// A datagram between two frontends.
using RateMessage = std::variant<RateRequest,
                                 RateDecision,
                                 RateLoanRequest,
                                 RateLoan,
                                 RateLoanReturn,
                                 RateLoanRecall,
                                 RateLoanRecalled>;

std::string EncodeRateMessage(const RateMessage& message);
// Fails with kInvalid when the bytes are malformed, hold no known message or
// values out of range, or have another protocol version.
Result<RateMessage> DecodeRateMessage(std::string_view bytes);

}  // namespace carawayrelay
