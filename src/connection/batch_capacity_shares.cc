#include "connection/batch_capacity_shares.h"

#include <algorithm>
#include <utility>

namespace carawayrelay {

void BatchCapacityShares::Add(ConnectionId connection, TimePoint now) {
  members_[connection] = {
      .last_submit = now, .unused_since = now, .last_sent = {}};
}

void BatchCapacityShares::Remove(ConnectionId connection) {
  members_.erase(connection);
}

void BatchCapacityShares::OnSubmit(ConnectionId connection, TimePoint now) {
  const auto it = members_.find(connection);
  if (it == members_.end()) {
    return;
  }
  Member& member = it->second;
  member.offered = std::max(0, member.offered - 1);
  member.is_idle = false;
  member.last_submit = now;
  member.unused_since = now;
}

std::vector<BatchCapacityShares::Offer> BatchCapacityShares::Rebalance(
    int capacity,
    TimePoint now) {
  MarkIdle(now);
  const std::map<ConnectionId, int> targets = Targets(capacity);
  std::vector<Offer> changed;
  const auto set = [&](ConnectionId connection, Member& member, int items) {
    if (member.offered == 0) {
      member.unused_since = now;
    }
    member.offered = items;
    member.last_sent = now;
    changed.push_back({connection, items});
  };
  for (auto& [connection, member] : members_) {
    const int target = targets.at(connection);
    const bool is_due = now - member.last_sent >= kRebalanceInterval;
    if (is_due &&
        (member.is_idle ? target != member.offered : target < member.offered)) {
      set(connection, member, target);
    }
  }
  // Raises the offers to active connections without waiting for the interval,
  // so that entries with work are not delayed, but only by capacity that is not
  // offered to others.
  int left = capacity - offered();
  for (auto& [connection, member] : members_) {
    const int more = std::min(targets.at(connection) - member.offered, left);
    if (!member.is_idle && more > 0) {
      left -= more;
      set(connection, member, member.offered + more);
    }
  }
  return changed;
}

int BatchCapacityShares::offered() const {
  int sum = 0;
  for (const auto& [connection, member] : members_) {
    sum += member.is_idle ? 0 : member.offered;
  }
  return sum;
}

void BatchCapacityShares::MarkIdle(TimePoint now) {
  for (auto& [connection, member] : members_) {
    if (member.offered > 0 && now - member.unused_since > kIdleTimeout) {
      member.is_idle = true;
    }
  }
}

std::map<ConnectionId, int> BatchCapacityShares::Targets(int capacity) const {
  capacity = std::max(capacity, 0);
  std::map<ConnectionId, int> targets;
  std::vector<std::pair<TimePoint, ConnectionId>> active;
  for (const auto& [connection, member] : members_) {
    targets[connection] = std::min(capacity, 1);
    if (!member.is_idle) {
      active.emplace_back(member.last_submit, connection);
    }
  }
  // The remainder goes to the connections with the least recent submission.
  std::sort(active.begin(), active.end());
  const int count = static_cast<int>(active.size());
  for (int i = 0; i < count; ++i) {
    targets[active[i].second] =
        capacity / count + (i < capacity % count ? 1 : 0);
  }
  return targets;
}

}  // namespace carawayrelay
