#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/limits/limit_lease_holder.h"

namespace carawayrelay {

enum class Admission { kAdmitted, kWaiting, kRefused };

// Outcome for a request for which Admit() returned kWaiting.
struct AdmissionResult {
  RequestId request{0};
  bool admitted = false;
};

// A request for tokens and the node that holds the lease of the shard.
struct AddressedLimitRequest {
  std::string holder;
  LimitRequest request;
};

// Admits the requests of one entry process against the limits of all shards.
// Spends tokens that the lease holders granted, or tokens of this member's
// fallback share while it has no contact with a holder.
class LimitMember {
 public:
  LimitMember(std::string node, int shard_count, LimitTimes times);

  void SetConfig(ConfigPtr config) { config_ = std::move(config); }
  // Applies the row of a shard that the limits thread read or wrote.
  void SetShard(int shard, const LimitRow& row, TimePoint now);

  // Admits a request now, queues it until the lease holder grants tokens, or
  // refuses it.
  Admission Admit(const std::string& workspace,
                  RequestId request,
                  TimePoint now);
  // Removes a waiting request.
  void CancelWait(RequestId request);

  // Handles the response to a request for tokens.
  std::vector<AdmissionResult> HandleGrant(const LimitGrant& grant,
                                           TimePoint now);
  // Returns the requests for tokens that are due.
  std::vector<AddressedLimitRequest> TakeLimitRequests(TimePoint now);
  // Returns the outcome of waiting requests that can be admitted now or have
  // waited too long.
  std::vector<AdmissionResult> TakeTimedOut(TimePoint now);
  // Earliest time at which TakeLimitRequests() or TakeTimedOut() has work.
  TimePoint NextDeadline(TimePoint now) const;

  // Returns the time after which a refused client may expect a token.
  std::chrono::milliseconds RetryAfter(const std::string& workspace) const;
  // Returns whether every shard has accepted a request for tokens. Before that,
  // requests within the rate would be refused because no tokens were granted.
  bool HasContactedAllShards() const;

 private:
  struct Waiting {
    RequestId request;
    TimePoint since;
  };
  // Tokens and waiting requests of one workspace.
  struct Account {
    double tokens = 0;
    TimePoint expires;
    double spent = 0;            // since the last LimitRequest
    double spent_in_flight = 0;  // spent, as reported by the request in flight
    double smoothed_demand = 0;  // client requests per LimitRequest
    std::deque<Waiting> waiting;
    double fallback_tokens = 0;
    TimePoint fallback_refilled_at;
  };
  struct Shard {
    std::string holder;
    Fence fence{0};
    std::uint64_t last_response = 0;
    double share = 0;
    // From this time on the member uses its fallback share.
    TimePoint live_until;
    std::uint64_t sequence = 0;
    bool limit_request_in_flight = false;
    TimePoint limit_request_sent_at;
    TimePoint next_limit_request_at;
    std::map<std::string, Account> accounts;
  };

  Shard& ShardOf(const std::string& workspace);
  const Shard& ShardOf(const std::string& workspace) const;
  bool TrySpend(Shard& shard,
                Account& account,
                const WorkspaceConfig& limits,
                TimePoint now);
  // Gives up the request in flight. Its report of spent tokens may be lost, so
  // the next request reports them again.
  static void AbandonLimitRequest(Shard& shard);
  LimitRequest MakeLimitRequest(int index, Shard& shard, TimePoint now);
  void AdmitWaiting(Shard& shard,
                    const std::string& workspace,
                    Account& account,
                    TimePoint now,
                    std::vector<AdmissionResult>& results);

  std::string node_;
  LimitTimes times_;
  ConfigPtr config_;
  std::vector<Shard> shards_;
};

}  // namespace carawayrelay
