#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "request/ids.h"

namespace carawayrelay {

// First in, first out, without fairness. The baseline for comparisons.
struct FifoOrder {};

// Serves the workspaces in turn. In each round, a workspace receives a credit
// of `quantum` times its weight.
struct DeficitRoundRobin {
  double quantum = 256;  // tokens
};

// Serves the workspace that has received the least service relative to its
// weight. The actual tokens of its responses are included through Charge().
struct VirtualTokenCounter {};

using FairPolicy =
    std::variant<FifoOrder, DeficitRoundRobin, VirtualTokenCounter>;

struct QueuedRequest {
  RequestId id{0};
  std::string workspace;
  double weight = 1;
  double cost = 1;  // tokens
};

// Bounded queue of the requests that wait for the same set of backend servers,
// with one flow for each workspace.
class FairQueue {
 public:
  FairQueue(FairPolicy policy, size_t capacity);

  // Adds a request. When the queue is full, drops a request and returns its id:
  // the newest request of the workspace with the most waiting requests relative
  // to its weight, which may be `request` itself. FifoOrder always drops
  // `request`.
  std::optional<RequestId> Push(QueuedRequest request);
  // Puts a request back in front of the others of its workspace. Ignores the
  // capacity and does not charge the cost again.
  void Requeue(QueuedRequest request);
  // Removes and returns the next request, or nothing when the queue is empty.
  std::optional<QueuedRequest> Pop();
  // Removes a request, such as a cancelled one. Returns false when the queue
  // does not contain it.
  bool Remove(RequestId id, const std::string& workspace);
  // Charges a workspace for service beyond the estimated cost of its requests.
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
    // Tokens served, divided by the weight.
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
  // Workspace that DeficitRoundRobin is serving.
  std::string current_workspace_;
  // Highest value that the smallest `served` of the waiting workspaces had at
  // any Pop(). VirtualTokenCounter only.
  double served_floor_ = 0;
};

}  // namespace carawayrelay
