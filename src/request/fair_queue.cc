#include "request/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

#include "request/overloaded.h"

namespace carawayrelay {
namespace {

// When there are more flows than this, those without waiting requests are
// evicted, so that removed workspaces do not stay in memory.
constexpr size_t kMaxIdleFlows = 4096;

}  // namespace

FairQueue::FairQueue(FairPolicy policy, size_t capacity)
    : policy_(policy), capacity_(capacity) {}

std::optional<RequestId> FairQueue::Push(QueuedRequest request) {
  const RequestId id = request.id;
  std::optional<RequestId> dropped;
  if (size_ >= capacity_) {
    if (std::holds_alternative<FifoOrder>(policy_) || capacity_ == 0) {
      return id;
    }
  }
  const std::string workspace = request.workspace;
  Flow& flow = FlowFor(workspace, request.weight);
  flow.waiting.push_back(
      {.request = std::move(request), .arrival = next_arrival_++});
  ++size_;
  if (size_ > capacity_) {
    Flow& longest = FlowFurthestOverShare()->second;
    dropped = longest.waiting.back().request.id;
    longest.waiting.pop_back();
    --size_;
  }
  return dropped;
}

void FairQueue::Requeue(QueuedRequest request) {
  const std::string workspace = request.workspace;
  Flow& flow = FlowFor(workspace, request.weight);
  flow.waiting.push_front({.request = std::move(request), .is_charged = true});
  ++size_;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  if (size_ == 0) {
    return std::nullopt;
  }
  const auto it =
      std::visit([&](const auto& policy) { return NextFlow(policy); }, policy_);
  Flow& flow = it->second;
  assert(!flow.waiting.empty());
  Waiting next = std::move(flow.waiting.front());
  flow.waiting.pop_front();
  --size_;
  if (!next.is_charged) {
    flow.deficit -= next.request.cost;
    flow.served += next.request.cost / flow.weight;
  }
  if (flow.waiting.empty()) {
    // An idle workspace must not accumulate credit.
    flow.deficit = 0;
    EvictIdleFlows();
  }
  return std::move(next.request);
}

bool FairQueue::Remove(RequestId id, const std::string& workspace) {
  const auto it = flows_.find(workspace);
  if (it == flows_.end()) {
    return false;
  }
  std::deque<Waiting>& waiting = it->second.waiting;
  const auto found =
      std::find_if(waiting.begin(), waiting.end(),
                   [&](const Waiting& w) { return w.request.id == id; });
  if (found == waiting.end()) {
    return false;
  }
  waiting.erase(found);
  --size_;
  return true;
}

void FairQueue::Charge(const std::string& workspace,
                       double weight,
                       double tokens) {
  const auto it = flows_.find(workspace);
  if (it != flows_.end()) {
    it->second.served += tokens / weight;
  }
}

FairQueue::Flow& FairQueue::FlowFor(const std::string& workspace,
                                    double weight) {
  Flow& flow = flows_[workspace];
  flow.weight = weight;
  if (flow.waiting.empty()) {
    RaiseToFloor(flow);
  }
  return flow;
}

// A workspace that was idle gets no credit for the capacity that it left unused
// in the meantime.
void FairQueue::RaiseToFloor(Flow& flow) const {
  flow.served = std::max(flow.served, served_floor_);
}

FairQueue::Flows::iterator FairQueue::FlowFurthestOverShare() {
  auto most = flows_.end();
  double most_share = -1;
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    const double share =
        static_cast<double>(it->second.waiting.size()) / it->second.weight;
    if (!it->second.waiting.empty() && share > most_share) {
      most = it;
      most_share = share;
    }
  }
  assert(most != flows_.end());
  return most;
}

FairQueue::Flows::iterator FairQueue::NextFlow(const FifoOrder& policy) {
  auto next = flows_.end();
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (!it->second.waiting.empty() &&
        (next == flows_.end() || it->second.waiting.front().arrival <
                                     next->second.waiting.front().arrival)) {
      next = it;
    }
  }
  return next;
}

FairQueue::Flows::iterator FairQueue::NextFlow(
    const DeficitRoundRobin& policy) {
  const auto can_serve = [](const Flow& flow) {
    const Waiting& first = flow.waiting.front();
    return first.is_charged || flow.deficit >= first.request.cost;
  };
  auto it = flows_.lower_bound(current_workspace_);
  if (it != flows_.end() && it->first == current_workspace_) {
    if (!it->second.waiting.empty() && can_serve(it->second)) {
      return it;
    }
    ++it;
  }
  SkipIdleRounds(policy);
  while (true) {
    if (it == flows_.end()) {
      it = flows_.begin();
    }
    Flow& flow = it->second;
    if (!flow.waiting.empty()) {
      flow.deficit += policy.quantum * flow.weight;
      if (can_serve(flow)) {
        current_workspace_ = it->first;
        return it;
      }
    }
    ++it;
  }
}

// Grants in one step all rounds in which no workspace can be served. A request
// with a large cost and a small weight would otherwise need very many
// iterations.
void FairQueue::SkipIdleRounds(const DeficitRoundRobin& policy) {
  double rounds = std::numeric_limits<double>::infinity();
  for (const auto& [name, flow] : flows_) {
    if (!flow.waiting.empty()) {
      const Waiting& first = flow.waiting.front();
      const double missing =
          first.is_charged ? 0 : first.request.cost - flow.deficit;
      rounds =
          std::min(rounds, std::ceil(missing / (policy.quantum * flow.weight)));
    }
  }
  if (rounds <= 1) {
    return;
  }
  for (auto& [name, flow] : flows_) {
    if (!flow.waiting.empty()) {
      flow.deficit += (rounds - 1) * policy.quantum * flow.weight;
    }
  }
}

FairQueue::Flows::iterator FairQueue::NextFlow(
    const VirtualTokenCounter& policy) {
  auto next = flows_.end();
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (!it->second.waiting.empty() &&
        (next == flows_.end() || it->second.served < next->second.served)) {
      next = it;
    }
  }
  served_floor_ = std::max(served_floor_, next->second.served);
  return next;
}

void FairQueue::EvictIdleFlows() {
  if (flows_.size() > kMaxIdleFlows) {
    std::erase_if(flows_,
                  [](const auto& flow) { return flow.second.waiting.empty(); });
  }
}

}  // namespace carawayrelay
