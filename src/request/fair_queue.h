#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "request/ids.h"

namespace carawayrelay {

// In the order of arrival; the baseline for comparisons.
struct FifoOrder {};

// Workspaces take turns; each turn serves work worth `quantum` times the
// weight of the workspace.
struct DeficitRoundRobin {
  double quantum = 256;  // tokens
};

// Serves the workspace that has had the least work for its weight, counting
// the tokens that its answers turn out to have.
struct VirtualTokenCounter {};

using FairPolicy =
    std::variant<FifoOrder, DeficitRoundRobin, VirtualTokenCounter>;

struct QueuedRequest {
  RequestId id{0};
  std::string workspace;
  double weight = 1;
  double cost = 1;  // tokens
};

// Bounded queue of requests that wait for the same backend servers.
class FairQueue {
 public:
  FairQueue(FairPolicy policy, size_t capacity);

  // Adds a request. When the queue is full, returns the request that has to
  // go: the newest one of the workspace that is furthest over its share of the
  // queue, or the new one. FifoOrder always drops the new one.
  std::optional<RequestId> Push(QueuedRequest request);
  // Puts a request back before the others of its workspace, without a bound
  // and without counting its cost again.
  void Requeue(QueuedRequest request);
  // Takes the next request.
  std::optional<QueuedRequest> Pop();
  // Removes a request that no longer waits. Returns false when it is not here.
  bool Remove(RequestId id, const std::string& workspace);
  // Counts work that a workspace got beyond the cost of its requests.
  void Charge(const std::string& workspace, double weight, double tokens);

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct Waiting {
    QueuedRequest request;
    std::uint64_t arrival = 0;
    bool is_charged = false;
  };
  struct Flow {
    std::deque<Waiting> waiting;
    double weight = 1;
    double deficit = 0;
    // Tokens served for weight 1.
    double served = 0;
  };
  using Flows = std::map<std::string, Flow>;

  Flow& FlowFor(const std::string& workspace, double weight);
  void RaiseToFloor(Flow& flow) const;
  Flows::iterator FlowFurthestOverShare();
  Flows::iterator NextFlow(const FifoOrder& policy);
  Flows::iterator NextFlow(const DeficitRoundRobin& policy);
  Flows::iterator NextFlow(const VirtualTokenCounter& policy);
  void SkipIdleRounds(const DeficitRoundRobin& policy);
  void EvictIdleFlows();

  FairPolicy policy_;
  size_t capacity_;
  size_t size_ = 0;
  std::uint64_t next_arrival_ = 0;
  Flows flows_;
  // Workspace whose turn it is under DeficitRoundRobin.
  std::string current_workspace_;
  // Least counter of the waiting workspaces at the last Pop().
  double served_floor_ = 0;
};

}  // namespace carawayrelay
