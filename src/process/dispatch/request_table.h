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
  kAdmission,    // waits for tokens of the rate limit
  kIntent,       // waits for its intent row
  kQueued,       // waits for a backend server
  kAwaitConfig,  // waits for the configuration that an agent works under
  kRunning,      // handed over to an agent
  kBetween,      // its attempt ended; only within one call of Handle()
};

// One online request between its admission and its end.
struct ActiveRequest {
  ClientRequest call;
  Access access;
  TimePoint deadline;
  RequestPhase phase = RequestPhase::kQueued;
  // The intent row is durable.
  bool has_intent = false;
  // The caller left, but the answer is wanted for the intent row.
  bool is_caller_gone = false;
  // Span of the request in this entry.
  TraceContext span;

  // Attempts so far that count towards the limit of the retry policy.
  int attempts = 0;
  // Combined over the attempts that ended.
  RunState run_state = RunState::kNotRun;
  std::vector<ConnectionId> tried;

  // The running attempt; valid in kRunning.
  AttemptId attempt{0};
  ConnectionId backend{0};
  ConfigVersion submitted_version = kNoConfig;
  StreamAssembler assembler;
  // Answer so far; kept when it is not streamed or is wanted for the intent.
  std::string body;
  bool has_output = false;
  std::optional<TimePoint> first_part;
};

// The online requests of an entry, indexed by id, key, deadline and attempt.
class RequestTable {
 public:
  // The reference stays valid until Erase().
  ActiveRequest& Add(ActiveRequest&& request);
  ActiveRequest* Find(RequestId id);
  void Erase(RequestId id);
  size_t size() const { return requests_.size(); }

  // Makes `attempt` the running one of the request.
  void StartAttempt(ActiveRequest& request,
                    AttemptId attempt,
                    ConnectionId backend);
  // Forgets the running attempt; later frames for it find nothing.
  void EndAttempt(ActiveRequest& request);
  // The request whose running attempt this is on this connection, or nullptr.
  ActiveRequest* FindAttempt(AttemptId attempt, ConnectionId backend);

  std::vector<RequestId> RunningOn(ConnectionId backend) const;
  std::vector<RequestId> InPhase(RequestPhase phase) const;
  // Requests whose key is no longer valid under `config`.
  std::vector<RequestId> WithWithdrawnKey(const ConfigSnapshot& config) const;
  // The request that expired first, when one has.
  std::optional<RequestId> FirstExpired(TimePoint now) const;
  std::optional<TimePoint> NextDeadline() const;

 private:
  std::unordered_map<RequestId, ActiveRequest> requests_;
  std::unordered_map<AttemptId, RequestId> attempts_;
  std::unordered_map<std::string, std::set<RequestId>> by_key_;
  std::set<std::pair<TimePoint, RequestId>> by_deadline_;
};

}  // namespace carawayrelay
