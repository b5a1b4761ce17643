#include "connection/rate_message.h"

#include <algorithm>

#include "connection/compact_struct.h"
#include "wire_types.h"

namespace carawayrelay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Version 1 had holders with the whole rate and no loans.
constexpr std::int32_t kRateProtocolVersion = 2;
constexpr milliseconds kMaxRetryAfter{60000};
constexpr milliseconds kMaxLoanDuration{60000};

template <class Id>
std::int64_t ToWire(Id id) {
  return static_cast<std::int64_t>(ToInt(id));
}

template <class Id>
Id FromWire(std::int64_t id) {
  return Id{static_cast<std::uint64_t>(id)};
}

std::int64_t ToWire(const RateShardSet& shards) {
  return static_cast<std::int64_t>(shards.to_ullong());
}

// Ignores bits beyond the known shards.
RateShardSet ShardsFromWire(std::int64_t bits) {
  return {static_cast<unsigned long long>(bits)};
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

wire::RateRequest Encode(const RateRequest& request) {
  wire::RateRequest w;
  w.id = ToWire(request.id);
  w.workspace = request.workspace;
  return w;
}

wire::RateDecision Encode(const RateDecision& decision) {
  wire::RateDecision w;
  w.id = ToWire(decision.id);
  w.outcome = static_cast<std::int32_t>(decision.outcome);
  w.retry_after_ms = decision.retry_after.count();
  if (decision.is_settling) {
    w.__set_is_settling(true);
  }
  return w;
}

wire::RateLoanRequest Encode(const RateLoanRequest& request) {
  wire::RateLoanRequest w;
  w.node = request.node;
  w.process = ToWire(request.process);
  w.sent_at_us = request.sent_at.count();
  w.shards = ToWire(request.shards);
  return w;
}

wire::RateLoan Encode(const RateLoan& loan) {
  wire::RateLoan w;
  w.node = loan.node;
  w.process = ToWire(loan.process);
  w.holder = ToWire(loan.holder);
  w.request_sent_at_us = loan.request_sent_at.count();
  w.duration_ms = loan.duration.count();
  w.part = loan.part;
  w.shards = ToWire(loan.shards);
  return w;
}

wire::RateLoanReturn Encode(const RateLoanReturn& loan_return) {
  wire::RateLoanReturn w;
  w.node = loan_return.node;
  w.process = ToWire(loan_return.process);
  w.sent_at_us = loan_return.sent_at.count();
  w.shards = ToWire(loan_return.shards);
  return w;
}

wire::RateLoanRecall Encode(const RateLoanRecall& recall) {
  wire::RateLoanRecall w;
  w.node = recall.node;
  w.process = ToWire(recall.process);
  return w;
}

wire::RateLoanRecalled Encode(const RateLoanRecalled& recalled) {
  wire::RateLoanRecalled w;
  w.node = recalled.node;
  w.process = ToWire(recalled.process);
  return w;
}

RateMessage Decode(const wire::RateRequest& w) {
  return RateRequest{.id = FromWire<RateRequestId>(w.id),
                     .workspace = w.workspace};
}

RateMessage Decode(const wire::RateDecision& w) {
  return RateDecision{
      .id = FromWire<RateRequestId>(w.id),
      .outcome = OutcomeFromWire(w.outcome),
      .retry_after = std::clamp(milliseconds(w.retry_after_ms), milliseconds(0),
                                kMaxRetryAfter),
      .is_settling = w.is_settling};
}

RateMessage Decode(const wire::RateLoanRequest& w) {
  return RateLoanRequest{.node = w.node,
                         .process = FromWire<RateProcessId>(w.process),
                         .sent_at = microseconds(w.sent_at_us),
                         .shards = ShardsFromWire(w.shards)};
}

Result<RateMessage> Decode(const wire::RateLoan& w) {
  const milliseconds duration(w.duration_ms);
  const bool is_part = w.part > 0 && w.part <= 1;
  if (!is_part || duration < milliseconds(0) || duration > kMaxLoanDuration) {
    return Error{ErrorCode::kInvalid, "loan with values out of range"};
  }
  return RateMessage(
      RateLoan{.node = w.node,
               .process = FromWire<RateProcessId>(w.process),
               .holder = FromWire<RateProcessId>(w.holder),
               .request_sent_at = microseconds(w.request_sent_at_us),
               .duration = duration,
               .part = w.part,
               .shards = ShardsFromWire(w.shards)});
}

RateMessage Decode(const wire::RateLoanReturn& w) {
  return RateLoanReturn{.node = w.node,
                        .process = FromWire<RateProcessId>(w.process),
                        .sent_at = microseconds(w.sent_at_us),
                        .shards = ShardsFromWire(w.shards)};
}

RateMessage Decode(const wire::RateLoanRecall& w) {
  return RateLoanRecall{.node = w.node,
                        .process = FromWire<RateProcessId>(w.process)};
}

RateMessage Decode(const wire::RateLoanRecalled& w) {
  return RateLoanRecalled{.node = w.node,
                          .process = FromWire<RateProcessId>(w.process)};
}

}  // namespace

std::string EncodeRateMessage(const RateMessage& message) {
  wire::RateEnvelope envelope;
  envelope.protocol_version = kRateProtocolVersion;
  std::visit(
      Overloaded{
          [&](const RateRequest& request) {
            envelope.__set_request(Encode(request));
          },
          [&](const RateDecision& decision) {
            envelope.__set_decision(Encode(decision));
          },
          [&](const RateLoanRequest& request) {
            envelope.__set_loan_request(Encode(request));
          },
          [&](const RateLoan& loan) { envelope.__set_loan(Encode(loan)); },
          [&](const RateLoanReturn& loan_return) {
            envelope.__set_loan_return(Encode(loan_return));
          },
          [&](const RateLoanRecall& recall) {
            envelope.__set_loan_recall(Encode(recall));
          },
          [&](const RateLoanRecalled& recalled) {
            envelope.__set_loan_recalled(Encode(recalled));
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
    return Decode(envelope.request);
  }
  if (envelope.__isset.decision) {
    return Decode(envelope.decision);
  }
  if (envelope.__isset.loan_request) {
    return Decode(envelope.loan_request);
  }
  if (envelope.__isset.loan) {
    return Decode(envelope.loan);
  }
  if (envelope.__isset.loan_return) {
    return Decode(envelope.loan_return);
  }
  if (envelope.__isset.loan_recall) {
    return Decode(envelope.loan_recall);
  }
  if (envelope.__isset.loan_recalled) {
    return Decode(envelope.loan_recalled);
  }
  return Error{ErrorCode::kInvalid, "datagram holds no known message"};
}

}  // namespace carawayrelay
