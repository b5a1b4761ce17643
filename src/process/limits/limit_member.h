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

// Outcome for a request that waited for tokens.
struct AdmissionResult {
  RequestId request{0};
  bool admitted = false;
};

// An ask and the node that holds the lease.
struct AddressedLimitRequest {
  std::string holder;
  LimitRequest request;
};

// Spends the tokens of all shards in one entry process: from grants of the
// lease holders, or from this member's fallback share while it has no contact.
class LimitMember {
 public:
  LimitMember(std::string node, int shard_count, LimitTimes times);

  void SetConfig(ConfigPtr config) { config_ = std::move(config); }
  // The limits thread read the row of a shard.
  void SetShard(int shard, const LimitRow& row, TimePoint now);

  // Admits a request now, lets it wait for an answer of the lease holder, or
  // refuses it.
  Admission Admit(const std::string& workspace,
                  RequestId request,
                  TimePoint now);
  // Forgets a waiting request.
  void CancelWait(RequestId request);

  // Handles the answer to an ask.
  std::vector<AdmissionResult> HandleGrant(const LimitGrant& grant,
                                           TimePoint now);
  // Returns the asks that are due and the outcome of requests that waited too
  // long.
  std::vector<AddressedLimitRequest> TakeLimitRequests(TimePoint now);
  std::vector<AdmissionResult> TakeTimedOut(TimePoint now);
  // Earliest time at which TakeLimitRequests() or TakeTimedOut() has work.
  TimePoint NextDeadline(TimePoint now) const;

  // Time after which a refused caller may expect a token.
  std::chrono::milliseconds RetryAfter(const std::string& workspace) const;
  // True once every shard has answered, so that requests inside the rate are
  // not refused for want of a first contact.
  bool HasContactedAllShards() const;

 private:
  struct Waiting {
    RequestId request;
    TimePoint since;
  };
  struct Account {
    double tokens = 0;
    TimePoint expires;
    double spent = 0;            // since the last ask
    double spent_in_flight = 0;  // spent, as told by the ask in flight
    double smoothed_demand = 0;  // smoothed requests for each ask
    std::deque<Waiting> waiting;
    double fallback_tokens = 0;
    TimePoint fallback_refilled_at;
  };
  struct Shard {
    std::string holder;
    Fence fence{0};
    std::uint64_t last_response = 0;
    double share = 0;
    // From then on this member uses its fallback share.
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
  // An ask may be lost with what it told, so its spent tokens are told again.
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
