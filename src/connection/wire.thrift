namespace cpp carawayrelay.wire

struct Hello {
  1: i32 protocol_version
  2: string node
  3: string role
  4: string zone
  5: string link_class
  6: i64 config_version
  7: list<string> routes
}

struct Submit {
  1: i64 attempt
  2: string workspace
  3: string route
  4: string method
  5: string path
  6: string body
  7: bool stream
  8: bool repeatable
  9: i64 config_version
  10: string traceparent
  11: bool batch
  12: string job
  13: i64 chunk
  14: i64 fence
  15: string idempotency_key
}

struct Part {
  1: i64 attempt
  2: i64 sequence
  3: binary data
}

struct End {
  1: i64 attempt
  2: i64 parts
  3: i32 http_status
  4: string content_type
  5: i64 tokens
}

struct Refused {
  1: i64 attempt
  2: i32 code
  3: i32 run_state
  4: string reason
  5: optional i64 retry_after_ms
}

struct Cancel {
  1: i64 attempt
}

struct Status {
  1: i32 window
  2: i32 running_online
  3: i32 running_batch
  4: bool leaving
  5: bool cold
  6: i64 config_version
  7: bool zone_out
}

struct BatchRoom {
  1: i32 items
}

struct ConfigUpdate {
  1: i64 version
  2: string content_hash
  3: string document
}

struct LimitDemand {
  1: string workspace
  2: double spent
  3: double wanted
  4: double held
}

struct LimitAsk {
  1: i32 shard
  2: i64 fence
  3: string member
  4: list<LimitDemand> demands
  5: i64 acknowledged_reply
  6: i64 sequence
}

struct LimitAllowance {
  1: string workspace
  2: double tokens
  3: i64 lifetime_ms
}

struct LimitShare {
  1: string member
  2: double share
}

struct LimitGrant {
  1: i32 shard
  2: i64 fence
  3: list<LimitAllowance> allowances
  4: i64 live_for_ms
  5: list<LimitShare> shares
  6: bool accepted
  7: i64 reply
  8: i64 sequence
}

struct Envelope {
  1: i32 protocol_version
  2: optional Hello hello
  3: optional Submit submit
  4: optional Part part
  5: optional End completed
  6: optional Refused refused
  7: optional Cancel cancel
  8: optional Status status
  9: optional BatchRoom batch_room
  10: optional ConfigUpdate config_update
  11: optional LimitAsk limit_ask
  12: optional LimitGrant limit_grant
}

// Datagrams between frontends.

struct RateRequest {
  1: i64 id
  2: string workspace
}

struct RateDecision {
  1: i64 id
  2: i32 outcome
  3: i64 retry_after_ms
  4: optional bool is_settling
}

struct RateLoanRequest {
  1: string node
  2: i64 process
  3: i64 sent_at_us
  4: i64 shards
}

struct RateLoan {
  1: string node
  2: i64 process
  3: i64 holder
  4: i64 request_sent_at_us
  5: i64 duration_ms
  6: double part
  7: i64 shards
}

struct RateLoanReturn {
  1: string node
  2: i64 process
  3: i64 sent_at_us
  4: i64 shards
}

struct RateLoanRecall {
  1: string node
  2: i64 process
}

struct RateLoanRecalled {
  1: string node
  2: i64 process
}

struct RateEnvelope {
  1: i32 protocol_version
  2: optional RateRequest request
  3: optional RateDecision decision
  4: optional RateLoanRequest loan_request
  5: optional RateLoan loan
  6: optional RateLoanReturn loan_return
  7: optional RateLoanRecall loan_recall
  8: optional RateLoanRecalled loan_recalled
}

// What a frontend knows about a backend server. Times are ages in the report.
struct HealthEvidence {
  1: i64 server
  2: i32 answers
  3: i32 failures
  4: i32 answer_age_ms
  5: i32 failure_age_ms
}

struct HealthReport {
  1: string reporter
  2: i64 process
  3: i64 sequence
  4: i32 age_ms
  5: list<HealthEvidence> servers
}

struct HealthEnvelope {
  1: i32 protocol_version
  2: list<HealthReport> reports
}
