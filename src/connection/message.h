#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Version of the protocol between carawayrelay processes. A connection to a
// peer with another version is closed when its first message is received.
inline constexpr int kProtocolVersion = 1;

// Purpose of a connection. Online and batch work never share a connection.
enum class LinkClass { kOnline, kBatch, kPeer };
enum class Role { kEntry, kAgent };

// First message on a connection, in both directions.
struct Hello {
  int protocol_version = kProtocolVersion;
  std::string node;
  Role role = Role::kEntry;
  std::string zone;
  LinkClass link_class = LinkClass::kOnline;
  ConfigVersion config_version = kNoConfig;
  std::vector<std::string> routes;
};

// Identifies the leased chunk that a batch item belongs to.
struct ChunkRef {
  std::string job;
  std::uint64_t chunk = 0;
  Fence fence{0};
};

// Requests that the agent run a request or batch item on its backend server.
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

// A part of the body of a response. Sequence numbers start at 0.
struct Part {
  AttemptId attempt{0};
  std::uint64_t sequence = 0;
  std::string data;
};

// Ends a complete response. `parts` is the number of Part messages before it.
struct End {
  AttemptId attempt{0};
  std::uint64_t parts = 0;
  int http_status = 0;
  std::string content_type;
  std::uint64_t tokens = 0;
};

// Ends an attempt without a complete response.
struct Refused {
  AttemptId attempt{0};
  Refusal refusal;
};

struct Cancel {
  AttemptId attempt{0};
};

// State of an agent. It lags and serves as a hint for the choice of a backend
// server.
struct Status {
  // Maximum number of concurrent calls to the backend server.
  int window = 0;
  // Online requests that run or wait on the agent.
  int running_online = 0;
  int running_batch = 0;
  bool leaving = false;   // the agent is shutting down
  bool cold = false;      // the backend server is assumed to be cold
  bool zone_out = false;  // the availability zone is out of service
  ConfigVersion config_version = kNoConfig;
};

// Number of batch items that the agent can start now, in addition to those that
// the entry has already submitted.
struct BatchCapacity {
  int items = 0;
};

struct ConfigUpdate {
  ConfigVersion version = kNoConfig;
  std::string content_hash;
  std::string document;
};

// Demand of a member for the rate-limit tokens of one workspace: the tokens
// spent since its last LimitRequest that got a response, the unspent tokens
// that it holds, and the number of tokens that it wants to hold.
struct LimitDemand {
  std::string workspace;
  double spent = 0;
  double held = 0;
  double wanted = 0;
};

// Sent by a member of a rate-limit shard to the lease holder of the shard.
struct LimitRequest {
  int shard = 0;
  Fence fence{0};
  std::string member;
  // `reply` of the last LimitGrant that the member received under this fence,
  // or 0 when it received none.
  std::uint64_t acknowledged_reply = 0;
  // Number of the request. The response repeats it, so that a late response is
  // not taken for the response to a later request.
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

// Response of the lease holder to a LimitRequest. The request is not accepted
// when the receiver does not hold the lease of the shard or the request carries
// another fence. The member may use its fallback share once `live_for` has
// passed since it received its last accepted grant.
struct LimitGrant {
  int shard = 0;
  Fence fence{0};
  bool accepted = false;
  // Number of this accepted response to the member, counted from 1.
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
                             LimitRequest,
                             LimitGrant>;

}  // namespace carawayrelay
