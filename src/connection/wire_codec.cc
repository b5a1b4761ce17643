#include "connection/wire_codec.h"

#include <algorithm>
#include <utility>

#include "carawayrelay/request.h"
#include "connection/compact_struct.h"
#include "wire_types.h"

namespace carawayrelay {
namespace {

std::int64_t ToWire(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}
template <class Id>
requires std::is_enum_v<Id> std::int64_t ToWire(Id id) {
  return ToWire(ToInt(id));
}
template <class Id>
Id FromWire(std::int64_t value) {
  return Id{static_cast<std::uint64_t>(value)};
}

const char* LinkClassName(LinkClass link_class) {
  switch (link_class) {
    case LinkClass::kOnline:
      return "online";
    case LinkClass::kBatch:
      return "batch";
    case LinkClass::kPeer:
      return "peer";
  }
  return "online";
}

Result<LinkClass> ParseLinkClass(const std::string& name) {
  for (LinkClass link_class :
       {LinkClass::kOnline, LinkClass::kBatch, LinkClass::kPeer}) {
    if (name == LinkClassName(link_class)) {
      return link_class;
    }
  }
  return Error{ErrorCode::kInvalid, "unknown link class '" + name + "'"};
}

void SetPayload(wire::Envelope& envelope, const Hello& m) {
  wire::Hello w;
  w.protocol_version = m.protocol_version;
  w.node = m.node;
  w.role = m.role == Role::kEntry ? "entry" : "agent";
  w.zone = m.zone;
  w.link_class = LinkClassName(m.link_class);
  w.config_version = ToWire(m.config_version);
  w.routes = m.routes;
  envelope.__set_hello(w);
}

void SetPayload(wire::Envelope& envelope, const Submit& m) {
  wire::Submit w;
  w.attempt = ToWire(m.attempt);
  w.workspace = m.workspace;
  w.route = m.route;
  w.method = m.method;
  w.path = m.path;
  w.body = m.body;
  w.stream = m.stream;
  w.repeatable = m.repeatable;
  w.config_version = ToWire(m.config_version);
  w.traceparent = m.traceparent;
  w.idempotency_key = m.idempotency_key;
  w.batch = m.chunk.has_value();
  if (m.chunk) {
    w.job = m.chunk->job;
    w.chunk = ToWire(m.chunk->chunk);
    w.fence = ToWire(m.chunk->fence);
  }
  envelope.__set_submit(w);
}

void SetPayload(wire::Envelope& envelope, const Part& m) {
  wire::Part w;
  w.attempt = ToWire(m.attempt);
  w.sequence = ToWire(m.sequence);
  w.data = m.data;
  envelope.__set_part(w);
}

void SetPayload(wire::Envelope& envelope, const End& m) {
  wire::End w;
  w.attempt = ToWire(m.attempt);
  w.parts = ToWire(m.parts);
  w.http_status = m.http_status;
  w.content_type = m.content_type;
  w.tokens = ToWire(m.tokens);
  envelope.__set_completed(w);
}

void SetPayload(wire::Envelope& envelope, const Refused& m) {
  wire::Refused w;
  w.attempt = ToWire(m.attempt);
  w.code = static_cast<int>(m.refusal.code);
  w.run_state = static_cast<int>(m.refusal.run_state);
  w.reason = m.refusal.reason;
  if (m.refusal.retry_after) {
    w.__set_retry_after_ms(m.refusal.retry_after->count());
  }
  envelope.__set_refused(w);
}

void SetPayload(wire::Envelope& envelope, const Cancel& m) {
  wire::Cancel w;
  w.attempt = ToWire(m.attempt);
  envelope.__set_cancel(w);
}

void SetPayload(wire::Envelope& envelope, const Status& m) {
  wire::Status w;
  w.window = m.window;
  w.running_online = m.running_online;
  w.running_batch = m.running_batch;
  w.leaving = m.leaving;
  w.cold = m.cold;
  w.zone_out = m.zone_out;
  w.config_version = ToWire(m.config_version);
  envelope.__set_status(w);
}

void SetPayload(wire::Envelope& envelope, const BatchCapacity& m) {
  wire::BatchRoom w;
  w.items = m.items;
  envelope.__set_batch_room(w);
}

void SetPayload(wire::Envelope& envelope, const ConfigUpdate& m) {
  wire::ConfigUpdate w;
  w.version = ToWire(m.version);
  w.content_hash = m.content_hash;
  w.document = m.document;
  envelope.__set_config_update(w);
}

void SetPayload(wire::Envelope& envelope, const LimitRequest& m) {
  wire::LimitAsk w;
  w.shard = m.shard;
  w.fence = ToWire(m.fence);
  w.member = m.member;
  w.acknowledged_reply = ToWire(m.acknowledged_reply);
  w.sequence = ToWire(m.sequence);
  for (const LimitDemand& demand : m.demands) {
    wire::LimitDemand d;
    d.workspace = demand.workspace;
    d.spent = demand.spent;
    d.wanted = demand.wanted;
    d.held = demand.held;
    w.demands.push_back(d);
  }
  envelope.__set_limit_ask(w);
}

void SetPayload(wire::Envelope& envelope, const LimitGrant& m) {
  wire::LimitGrant w;
  w.shard = m.shard;
  w.fence = ToWire(m.fence);
  w.accepted = m.accepted;
  w.reply = ToWire(m.reply);
  w.sequence = ToWire(m.sequence);
  w.live_for_ms = m.live_for.count();
  for (const LimitAllowance& allowance : m.allowances) {
    wire::LimitAllowance a;
    a.workspace = allowance.workspace;
    a.tokens = allowance.tokens;
    a.lifetime_ms = allowance.lifetime.count();
    w.allowances.push_back(a);
  }
  for (const LimitShare& share : m.shares) {
    wire::LimitShare s;
    s.member = share.member;
    s.share = share.share;
    w.shares.push_back(s);
  }
  envelope.__set_limit_grant(w);
}

Result<Message> ToMessage(wire::Hello& w) {
  BOOST_OUTCOME_TRY(LinkClass link_class, ParseLinkClass(w.link_class));
  return Hello{.protocol_version = w.protocol_version,
               .node = std::move(w.node),
               .role = w.role == "agent" ? Role::kAgent : Role::kEntry,
               .zone = std::move(w.zone),
               .link_class = link_class,
               .config_version = FromWire<ConfigVersion>(w.config_version),
               .routes = std::move(w.routes)};
}

Message ToMessage(wire::Submit& w) {
  Submit m{.attempt = FromWire<AttemptId>(w.attempt),
           .workspace = std::move(w.workspace),
           .route = std::move(w.route),
           .method = std::move(w.method),
           .path = std::move(w.path),
           .body = std::move(w.body),
           .stream = w.stream,
           .repeatable = w.repeatable,
           .config_version = FromWire<ConfigVersion>(w.config_version),
           .traceparent = std::move(w.traceparent),
           .idempotency_key = std::move(w.idempotency_key),
           .chunk = {}};
  if (w.batch) {
    m.chunk = ChunkRef{.job = std::move(w.job),
                       .chunk = static_cast<std::uint64_t>(w.chunk),
                       .fence = FromWire<Fence>(w.fence)};
  }
  return m;
}

Message ToMessage(wire::Part& w) {
  return Part{.attempt = FromWire<AttemptId>(w.attempt),
              .sequence = static_cast<std::uint64_t>(w.sequence),
              .data = std::move(w.data)};
}

Message ToMessage(wire::End& w) {
  return End{.attempt = FromWire<AttemptId>(w.attempt),
             .parts = static_cast<std::uint64_t>(w.parts),
             .http_status = w.http_status,
             .content_type = std::move(w.content_type),
             .tokens = static_cast<std::uint64_t>(w.tokens)};
}

Result<Message> ToMessage(wire::Refused& w) {
  if (w.code < 0 || w.code > static_cast<int>(kLastRefusalCode) ||
      w.run_state < 0 || w.run_state > static_cast<int>(RunState::kUnknown)) {
    return Error{ErrorCode::kInvalid, "refusal code or run state out of range"};
  }
  Refused m{.attempt = FromWire<AttemptId>(w.attempt),
            .refusal = {.code = static_cast<RefusalCode>(w.code),
                        .run_state = static_cast<RunState>(w.run_state),
                        .reason = std::move(w.reason),
                        .retry_after = {}}};
  if (w.__isset.retry_after_ms) {
    m.refusal.retry_after = std::chrono::milliseconds(w.retry_after_ms);
  }
  return m;
}

Message ToMessage(wire::Status& w) {
  return Status{.window = w.window,
                .running_online = w.running_online,
                .running_batch = w.running_batch,
                .leaving = w.leaving,
                .cold = w.cold,
                .zone_out = w.zone_out,
                .config_version = FromWire<ConfigVersion>(w.config_version)};
}

Message ToMessage(wire::ConfigUpdate& w) {
  return ConfigUpdate{.version = FromWire<ConfigVersion>(w.version),
                      .content_hash = std::move(w.content_hash),
                      .document = std::move(w.document)};
}

Message ToMessage(wire::LimitAsk& w) {
  LimitRequest m{
      .shard = w.shard,
      .fence = FromWire<Fence>(w.fence),
      .member = std::move(w.member),
      .acknowledged_reply = static_cast<std::uint64_t>(w.acknowledged_reply),
      .sequence = static_cast<std::uint64_t>(w.sequence),
      .demands = {}};
  for (wire::LimitDemand& d : w.demands) {
    m.demands.push_back({.workspace = std::move(d.workspace),
                         .spent = d.spent,
                         .held = d.held,
                         .wanted = d.wanted});
  }
  return m;
}

Message ToMessage(wire::LimitGrant& w) {
  LimitGrant m{.shard = w.shard,
               .fence = FromWire<Fence>(w.fence),
               .accepted = w.accepted,
               .reply = static_cast<std::uint64_t>(w.reply),
               .sequence = static_cast<std::uint64_t>(w.sequence),
               .allowances = {},
               .live_for = std::chrono::milliseconds(w.live_for_ms),
               .shares = {}};
  for (wire::LimitAllowance& a : w.allowances) {
    m.allowances.push_back(
        {.workspace = std::move(a.workspace),
         .tokens = a.tokens,
         .lifetime = std::chrono::milliseconds(a.lifetime_ms)});
  }
  for (wire::LimitShare& s : w.shares) {
    m.shares.push_back({.member = std::move(s.member), .share = s.share});
  }
  return m;
}

Result<Message> PayloadToMessage(wire::Envelope& envelope) {
  const auto& isset = envelope.__isset;
  if (isset.part) {
    return ToMessage(envelope.part);
  }
  if (isset.submit) {
    return ToMessage(envelope.submit);
  }
  if (isset.completed) {
    return ToMessage(envelope.completed);
  }
  if (isset.refused) {
    return ToMessage(envelope.refused);
  }
  if (isset.cancel) {
    return Cancel{.attempt = FromWire<AttemptId>(envelope.cancel.attempt)};
  }
  if (isset.status) {
    return ToMessage(envelope.status);
  }
  if (isset.batch_room) {
    return BatchCapacity{.items = envelope.batch_room.items};
  }
  if (isset.limit_ask) {
    return ToMessage(envelope.limit_ask);
  }
  if (isset.limit_grant) {
    return ToMessage(envelope.limit_grant);
  }
  if (isset.config_update) {
    return ToMessage(envelope.config_update);
  }
  if (isset.hello) {
    return ToMessage(envelope.hello);
  }
  return Error{ErrorCode::kInvalid, "frame holds no known message"};
}

}  // namespace

std::string Encode(const Message& message) {
  wire::Envelope envelope;
  envelope.protocol_version = kProtocolVersion;
  std::visit([&](const auto& m) { SetPayload(envelope, m); }, message);
  return WriteCompactStruct(envelope);
}

Result<Message> Decode(std::string_view payload) {
  wire::Envelope envelope;
  BOOST_OUTCOME_TRY(ReadCompactStruct(payload, envelope));
  if (envelope.protocol_version != kProtocolVersion) {
    return Error{ErrorCode::kInvalid,
                 "protocol version " +
                     std::to_string(envelope.protocol_version) + ", expected " +
                     std::to_string(kProtocolVersion)};
  }
  return PayloadToMessage(envelope);
}

}  // namespace carawayrelay
