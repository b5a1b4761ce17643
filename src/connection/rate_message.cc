#include "connection/rate_message.h"

#include <algorithm>

#include "connection/compact_struct.h"
#include "wire_types.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr std::int32_t kRateProtocolVersion = 1;
constexpr milliseconds kMaxRetryAfter{60000};

std::int64_t ToWire(RateRequestId id) {
  return static_cast<std::int64_t>(ToInt(id));
}

RateRequestId IdFromWire(std::int64_t id) {
  return RateRequestId{static_cast<std::uint64_t>(id)};
}

RateOutcome OutcomeFromWire(std::int32_t outcome) {
  for (const RateOutcome known :
       {RateOutcome::kGranted, RateOutcome::kExceeded}) {
    if (outcome == static_cast<std::int32_t>(known)) {
      return known;
    }
  }
  return RateOutcome::kUnknown;
}

}  // namespace

std::string EncodeRateMessage(const RateMessage& message) {
  wire::RateEnvelope envelope;
  envelope.protocol_version = kRateProtocolVersion;
  std::visit(Overloaded{
                 [&](const RateRequest& request) {
                   wire::RateRequest w;
                   w.id = ToWire(request.id);
                   w.workspace = request.workspace;
                   envelope.__set_request(w);
                 },
                 [&](const RateDecision& decision) {
                   wire::RateDecision w;
                   w.id = ToWire(decision.id);
                   w.outcome = static_cast<std::int32_t>(decision.outcome);
                   w.retry_after_ms = decision.retry_after.count();
                   envelope.__set_decision(w);
                 },
             },
             message);
  return WriteCompactStruct(envelope);
}

Result<RateMessage> DecodeRateMessage(std::string_view bytes) {
  wire::RateEnvelope envelope;
  BOOST_OUTCOME_TRY(ReadCompactStruct(bytes, envelope));
  if (envelope.protocol_version != kRateProtocolVersion) {
    return Error{ErrorCode::kInvalid,
                 "rate message of protocol version " +
                     std::to_string(envelope.protocol_version)};
  }
  if (envelope.__isset.request) {
    return RateMessage(RateRequest{.id = IdFromWire(envelope.request.id),
                                   .workspace = envelope.request.workspace});
  }
  if (envelope.__isset.decision) {
    return RateMessage(RateDecision{
        .id = IdFromWire(envelope.decision.id),
        .outcome = OutcomeFromWire(envelope.decision.outcome),
        .retry_after =
            std::clamp(milliseconds(envelope.decision.retry_after_ms),
                       milliseconds(0), kMaxRetryAfter)});
  }
  return Error{ErrorCode::kInvalid, "datagram holds no known message"};
}

}  // namespace carawayrelay
