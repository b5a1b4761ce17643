#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/dispatch/common_event.h"
#include "process/limits/limit_lease_holder.h"
#include "process/limits/limit_lease_manager.h"
#include "process/limits/limit_member.h"

namespace carawayrelay {

// Rate limits that all entries share. This entry is a member of every shard and
// holds the leases of some. Converts lease events and requests for tokens into
// messages to the other entries. Used on the dispatch thread.
class SharedLimits {
 public:
  struct Options {
    std::string node;
    int shard_count = 4;
    LimitTimes times;
  };

  explicit SharedLimits(const Options& options);

  void AdoptConfig(ConfigPtr config);
  // Adds or removes a connection to the entry on `node`.
  void AddPeer(ConnectionId connection, const std::string& node);
  void RemovePeer(ConnectionId connection);
  void HandleLease(const LimitLeaseEvent& event, TimePoint now);
  void HandleLimitRequest(ConnectionId from,
                          const LimitRequest& request,
                          TimePoint now);
  void HandleGrant(const LimitGrant& grant, TimePoint now);

  Admission Admit(const std::string& workspace,
                  RequestId request,
                  TimePoint now);
  bool HasContactedAllShards() const { return member_.HasContactedAllShards(); }
  void CancelWait(RequestId request) { member_.CancelWait(request); }
  std::chrono::milliseconds RetryAfter(const std::string& workspace) const {
    return member_.RetryAfter(workspace);
  }

  // Sends the requests for tokens that are due and decides waiting client
  // requests whose time limit has passed.
  void Advance(TimePoint now);
  TimePoint NextDeadline(TimePoint now) const {
    return member_.NextDeadline(now);
  }

  std::vector<SendMessage> TakeMessages();
  std::vector<AdmissionResult> TakeResults();
  // Returns, for each shard whose lease this entry holds, the nodes that
  // acknowledged its fence.
  std::vector<AcknowledgedNodes> Acknowledged() const;

 private:
  LimitGrant MakeGrant(const LimitRequest& request, TimePoint now);
  void AddResults(const std::vector<AdmissionResult>& results);

  Options options_;
  ConfigPtr config_;
  LimitMember member_;
  std::map<int, LimitLeaseHolder> holders_;
  std::map<ConnectionId, std::string> peers_;
  std::vector<SendMessage> messages_;
  std::vector<AdmissionResult> results_;
};

}  // namespace carawayrelay
