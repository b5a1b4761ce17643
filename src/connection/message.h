#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Version of the protocol between the processes of the system. Peers with
// another major version are refused when the connection opens.
inline constexpr int kProtocolVersion = 1;

// Purpose of a connection; online and batch work never share one.
enum class LinkClass { kOnline, kBatch, kPeer };
enum class Role { kEntry, kAgent };

// First message in both directions.
struct Hello {
  int protocol_version = kProtocolVersion;
  std::string node;
  Role role = Role::kEntry;
  std::string zone;
  LinkClass link_class = LinkClass::kOnline;
  ConfigVersion config_version = kNoConfig;
  std::vector<std::string> routes;
};

// Names the leased chunk that a batch item belongs to.
struct ChunkRef {
  std::string job;
  std::uint64_t chunk = 0;
  Fence fence{0};
};

// Runs one request or batch item on the backend server of the agent.
struct Submit {
  AttemptId attempt{0};
  std::string workspace;
  std::string route;
  std::string method;
  std::string path;
  std::string body;
  bool stream = false;
  bool repeatable = true;
  ConfigVersion config_version = kNoConfig;
  std::string traceparent;
  std::string idempotency_key;
  // Set for batch items only.
  std::optional<ChunkRef> chunk;
};

// A piece of an answer. Sequence numbers start at 0.
struct Part {
  AttemptId attempt{0};
  std::uint64_t sequence = 0;
  std::string data;
};

// Ends an answer; `parts` is the number of Part messages before it.
struct End {
  AttemptId attempt{0};
  std::uint64_t parts = 0;
  int http_status = 0;
  std::string content_type;
  std::uint64_t tokens = 0;
};

// Ends an attempt without a whole answer.
struct Refused {
  AttemptId attempt{0};
  Refusal refusal;
};

struct Cancel {
  AttemptId attempt{0};
};

// State of an agent. It lags and is a hint for the choice of backend server.
struct Status {
  int window = 0;
  int running_online = 0;
  int running_batch = 0;
  bool leaving = false;
  bool cold = false;
  bool zone_out = false;
  ConfigVersion config_version = kNoConfig;
};

// Number of batch items that the agent can start now, beyond those that the
// entry has submitted already.
struct BatchCapacity {
  int items = 0;
};

struct ConfigUpdate {
  ConfigVersion version = kNoConfig;
  std::string content_hash;
  std::string document;
};

// Tokens of one workspace that a member spent since its last answered ask, the
// tokens that it holds unspent, and the number that it would like to hold.
struct LimitDemand {
  std::string workspace;
  double spent = 0;
  double held = 0;
  double wanted = 0;
};

// Sent by a member to the lease holder of a rate-limit shard.
struct LimitAsk {
  int shard = 0;
  Fence fence{0};
  std::string member;
  // Number of the last LimitGrant that the member got under this fence, or 0.
  std::uint64_t acknowledged_reply = 0;
  // Number of the ask; the answer repeats it, so that a late answer cannot
  // pass for the answer to a later ask.
  std::uint64_t sequence = 0;
  std::vector<LimitDemand> demands;
};

struct LimitAllowance {
  std::string workspace;
  double tokens = 0;
  std::chrono::milliseconds lifetime{0};
};

struct LimitShare {
  std::string member;
  double share = 0;
};

// Answer of the lease holder. Not accepted when the receiver does not hold the
// lease of the shard, or the ask carries another fence. The member may use its
// fallback share once `live_for` has passed since the last grant it got.
struct LimitGrant {
  int shard = 0;
  Fence fence{0};
  bool accepted = false;
  // Counts the accepted answers to this member, from 1.
  std::uint64_t reply = 0;
  std::uint64_t sequence = 0;
  std::vector<LimitAllowance> allowances;
  std::chrono::milliseconds live_for{0};
  std::vector<LimitShare> shares;
};

using Message = std::variant<Hello,
                             Submit,
                             Part,
                             End,
                             Refused,
                             Cancel,
                             Status,
                             BatchCapacity,
                             ConfigUpdate,
                             LimitAsk,
                             LimitGrant>;

}  // namespace carawayrelay
