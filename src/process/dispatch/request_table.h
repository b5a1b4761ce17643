#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

enum class RequestPhase {
  kAwaitingTokens,   // waits for a token of the rate limit
  kAwaitingIntent,   // waits until its intent row is durable
  kQueued,           // waits for a free slot on a backend server
  kAwaitingConfig,   // waits for the newer configuration of an agent
  kRunning,          // submitted to an agent
  kBetweenAttempts,  // an attempt ended; only during one call of Handle()
};

// An online request from its authorization to its end.
struct ActiveRequest {
  ClientRequest call;
  Access access;
  TimePoint deadline;
  RequestPhase phase = RequestPhase::kQueued;
  // True once the intent row is durable.
  bool has_intent = false;
  // True once the client disconnected. The request keeps running only if its
  // response has to be stored in the intent row.
  bool is_client_disconnected = false;
  // Span of the request in this entry.
  TraceContext span;

  // Attempts that count towards the limit of the retry policy.
  int attempts = 0;
  // Run state combined over the attempts that ended.
  RunState run_state = RunState::kNotRun;
  // Connections of the agents that the request was submitted to.
  std::vector<ConnectionId> tried_agents;

  // The running attempt and the connection of its agent; valid in kRunning.
  AttemptId attempt{0};
  ConnectionId backend{0};
  // Configuration version that the latest attempt was submitted under.
  ConfigVersion submitted_version = kNoConfig;
  StreamAssembler assembler;
  // Response body received so far. Kept only when the response is not streamed
  // or has to be stored in the intent row.
  std::string response_body;
  // True once a part of the response was forwarded to the client.
  bool has_output = false;
  // Time at which the first part of the response was received.
  std::optional<TimePoint> first_part_at;
};

// The active online requests of an entry, indexed by id, key, deadline and
// attempt.
class RequestTable {
 public:
  // Adds a request with a new id. The reference stays valid until Erase().
  ActiveRequest& Add(ActiveRequest&& request);
  ActiveRequest* Find(RequestId id);
  void Erase(RequestId id);
  size_t size() const { return requests_.size(); }

  // Registers `attempt` as the running attempt of the request.
  void StartAttempt(ActiveRequest& request,
                    AttemptId attempt,
                    ConnectionId backend);
  // Unregisters the running attempt, so that FindAttempt() returns nullptr for
  // late frames.
  void EndAttempt(ActiveRequest& request);
  // Returns the request with this running attempt on this connection, or
  // nullptr.
  ActiveRequest* FindAttempt(AttemptId attempt, ConnectionId backend);

  std::vector<RequestId> RunningOn(ConnectionId backend) const;
  std::vector<RequestId> InPhase(RequestPhase phase) const;
  // Returns the requests whose key is not valid under `config`.
  std::vector<RequestId> WithInvalidKey(const ConfigSnapshot& config) const;
  // Returns the expired request with the earliest deadline, if any.
  std::optional<RequestId> FirstExpired(TimePoint now) const;
  std::optional<TimePoint> NextDeadline() const;

 private:
  std::unordered_map<RequestId, ActiveRequest> requests_;
  std::unordered_map<AttemptId, RequestId> attempts_;
  std::unordered_map<std::string, std::set<RequestId>> by_key_;
  std::set<std::pair<TimePoint, RequestId>> by_deadline_;
};

}  // namespace carawayrelay
