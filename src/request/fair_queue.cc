#include "request/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

#include "request/overloaded.h"

namespace carawayrelay {
namespace {

// Lanes without waiting requests are dropped beyond this number, so that
// workspaces that were removed do not stay in memory.
constexpr size_t kMaxIdleLanes = 4096;

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
  Lane& lane = LaneFor(workspace, request.weight);
  lane.waiting.push_back(
      {.request = std::move(request), .arrival = next_arrival_++});
  ++size_;
  if (size_ > capacity_) {
    Lane& over = MostOverShare()->second;
    dropped = over.waiting.back().request.id;
    over.waiting.pop_back();
    --size_;
  }
  return dropped;
}

void FairQueue::Return(QueuedRequest request) {
  const std::string workspace = request.workspace;
  Lane& lane = LaneFor(workspace, request.weight);
  lane.waiting.push_front({.request = std::move(request), .is_charged = true});
  ++size_;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  if (size_ == 0) {
    return std::nullopt;
  }
  const auto it =
      std::visit([&](const auto& policy) { return NextLane(policy); }, policy_);
  Lane& lane = it->second;
  assert(!lane.waiting.empty());
  Waiting next = std::move(lane.waiting.front());
  lane.waiting.pop_front();
  --size_;
  if (!next.is_charged) {
    lane.deficit -= next.request.cost;
    lane.served += next.request.cost / lane.weight;
  }
  if (lane.waiting.empty()) {
    // An idle workspace must not save up turns.
    lane.deficit = 0;
    ForgetIdleLanes();
  }
  return std::move(next.request);
}

bool FairQueue::Remove(RequestId id, const std::string& workspace) {
  const auto it = lanes_.find(workspace);
  if (it == lanes_.end()) {
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
  const auto it = lanes_.find(workspace);
  if (it != lanes_.end()) {
    it->second.served += tokens / weight;
  }
}

FairQueue::Lane& FairQueue::LaneFor(const std::string& workspace,
                                    double weight) {
  Lane& lane = lanes_[workspace];
  lane.weight = weight;
  if (lane.waiting.empty()) {
    LiftCounter(lane);
  }
  return lane;
}

// A workspace that comes back from idle does not get the capacity that it left
// unused in the meantime.
void FairQueue::LiftCounter(Lane& lane) const {
  lane.served = std::max(lane.served, floor_);
}

FairQueue::Lanes::iterator FairQueue::MostOverShare() {
  auto most = lanes_.end();
  double most_share = -1;
  for (auto it = lanes_.begin(); it != lanes_.end(); ++it) {
    const double share =
        static_cast<double>(it->second.waiting.size()) / it->second.weight;
    if (!it->second.waiting.empty() && share > most_share) {
      most = it;
      most_share = share;
    }
  }
  assert(most != lanes_.end());
  return most;
}

FairQueue::Lanes::iterator FairQueue::NextLane(const FifoOrder& policy) {
  auto next = lanes_.end();
  for (auto it = lanes_.begin(); it != lanes_.end(); ++it) {
    if (!it->second.waiting.empty() &&
        (next == lanes_.end() || it->second.waiting.front().arrival <
                                     next->second.waiting.front().arrival)) {
      next = it;
    }
  }
  return next;
}

FairQueue::Lanes::iterator FairQueue::NextLane(
    const DeficitRoundRobin& policy) {
  const auto can_serve = [](const Lane& lane) {
    const Waiting& first = lane.waiting.front();
    return first.is_charged || lane.deficit >= first.request.cost;
  };
  auto it = lanes_.lower_bound(turn_);
  if (it != lanes_.end() && it->first == turn_) {
    if (!it->second.waiting.empty() && can_serve(it->second)) {
      return it;
    }
    ++it;
  }
  SkipIdleRounds(policy);
  while (true) {
    if (it == lanes_.end()) {
      it = lanes_.begin();
    }
    Lane& lane = it->second;
    if (!lane.waiting.empty()) {
      lane.deficit += policy.quantum * lane.weight;
      if (can_serve(lane)) {
        turn_ = it->first;
        return it;
      }
    }
    ++it;
  }
}

// Grants the rounds in which no workspace could be served all at once, because
// a large cost with a small weight takes very many of them.
void FairQueue::SkipIdleRounds(const DeficitRoundRobin& policy) {
  double rounds = std::numeric_limits<double>::infinity();
  for (const auto& [name, lane] : lanes_) {
    if (!lane.waiting.empty()) {
      const Waiting& first = lane.waiting.front();
      const double missing =
          first.is_charged ? 0 : first.request.cost - lane.deficit;
      rounds =
          std::min(rounds, std::ceil(missing / (policy.quantum * lane.weight)));
    }
  }
  if (rounds <= 1) {
    return;
  }
  for (auto& [name, lane] : lanes_) {
    if (!lane.waiting.empty()) {
      lane.deficit += (rounds - 1) * policy.quantum * lane.weight;
    }
  }
}

FairQueue::Lanes::iterator FairQueue::NextLane(
    const VirtualTokenCounter& policy) {
  auto next = lanes_.end();
  for (auto it = lanes_.begin(); it != lanes_.end(); ++it) {
    if (!it->second.waiting.empty() &&
        (next == lanes_.end() || it->second.served < next->second.served)) {
      next = it;
    }
  }
  floor_ = std::max(floor_, next->second.served);
  return next;
}

void FairQueue::ForgetIdleLanes() {
  if (lanes_.size() > kMaxIdleLanes) {
    std::erase_if(lanes_,
                  [](const auto& lane) { return lane.second.waiting.empty(); });
  }
}

}  // namespace carawayrelay
