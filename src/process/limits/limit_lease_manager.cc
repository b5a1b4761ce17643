#include "process/limits/limit_lease_manager.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace carawayrelay {
namespace {

// Other nodes wait this long before they take a free lease, so that the
// preferred node gets it and the shards are spread over the nodes.
constexpr std::chrono::milliseconds kNonPreferredNodeDelay{700};
// The list of VMs lags behind. A VM that has been missing from it for this long
// is not running.
constexpr std::chrono::seconds kAbsentMemberExpiry{30};

Fence Next(Fence fence) {
  return Fence{ToInt(fence) + 1};
}

// Rendezvous hash: the live node with the highest score is the preferred holder
// of a shard.
std::uint64_t Score(int shard, const std::string& node) {
  return XXH64(node.data(), node.size(), static_cast<XXH64_hash_t>(shard));
}

bool SameNodes(const std::vector<MemberShare>& members,
               std::vector<std::string> live,
               const std::vector<std::string>& expired) {
  std::vector<std::string> names;
  for (const MemberShare& member : members) {
    const bool is_expired =
        std::find(expired.begin(), expired.end(), member.node) != expired.end();
    if (member.share > 0 || is_expired) {
      names.push_back(member.node);
    }
  }
  std::sort(names.begin(), names.end());
  std::sort(live.begin(), live.end());
  return names == live;
}

}  // namespace

LimitLeaseManager::LimitLeaseManager(std::string node, LimitTimes times)
    : node_(std::move(node)), times_(times) {}

bool LimitLeaseManager::IsPreferred(int shard, const EntryNodes& nodes) const {
  return std::none_of(nodes.live.begin(), nodes.live.end(),
                      [&](const std::string& node) {
                        return Score(shard, node) > Score(shard, node_);
                      });
}

std::vector<std::string> LimitLeaseManager::ExpiredMembers(
    Shard& shard,
    const EntryNodes& nodes,
    TimePoint now) {
  std::vector<std::string> expired;
  if (nodes.listed.empty()) {
    return expired;
  }
  for (const MemberShare& member : shard.row.members) {
    if (std::find(nodes.listed.begin(), nodes.listed.end(), member.node) !=
        nodes.listed.end()) {
      shard.absent_since.erase(member.node);
      continue;
    }
    const TimePoint since =
        shard.absent_since.try_emplace(member.node, now).first->second;
    if (now >= since + kAbsentMemberExpiry) {
      expired.push_back(member.node);
    }
  }
  return expired;
}

LimitRowWrite LimitLeaseManager::TakeOver(
    int index,
    const Shard& shard,
    const EntryNodes& nodes,
    const std::vector<std::string>& expired) const {
  LimitRow row = shard.row;
  row.holder = node_;
  row.fence = Next(row.fence);
  row.renewal = 0;
  row.members = NextMembers(row.members, nodes.live, expired, {});
  return {.shard = index, .row = std::move(row), .etag = shard.etag};
}

std::optional<LimitRowWrite> LimitLeaseManager::RenewOrChange(
    int index,
    const Shard& shard,
    const EntryNodes& nodes,
    const std::vector<std::string>& expired) const {
  LimitRow row = shard.row;
  ++row.renewal;
  const bool may_change =
      shard.acknowledged_fence == row.fence && !nodes.live.empty();
  if (may_change && !SameNodes(row.members, nodes.live, expired)) {
    row.fence = Next(row.fence);
    row.members =
        NextMembers(row.members, nodes.live, expired, shard.acknowledged);
  }
  return LimitRowWrite{
      .shard = index, .row = std::move(row), .etag = shard.etag};
}

std::optional<LimitRowWrite> LimitLeaseManager::HandleRow(
    int index,
    const std::optional<LimitRow>& row,
    const std::string& etag,
    const EntryNodes& nodes,
    TimePoint now,
    std::vector<LimitLeaseEvent>& events) {
  const auto [it, is_new] = shards_.try_emplace(index);
  Shard& shard = it->second;
  if (is_new || shard.etag != etag) {
    const bool lost = shard.held && row && row->fence != shard.row.fence;
    shard.etag = etag;
    shard.row = row.value_or(LimitRow{});
    shard.unchanged_since = now;
    if (lost) {
      shard.held = false;
      events.push_back(LeaseLost{.shard = index});
    }
    if (row) {
      events.push_back(ShardRowRead{.shard = index, .row = *row});
    }
  }
  const std::vector<std::string> expired = ExpiredMembers(shard, nodes, now);
  if (shard.held) {
    return RenewOrChange(index, shard, nodes, expired);
  }
  const bool preferred = IsPreferred(index, nodes);
  const Duration extra =
      preferred ? Duration::zero() : Duration(kNonPreferredNodeDelay);
  // A row without a holder was released. A row that names this node was written
  // before a restart and is treated like a row of another node.
  const Duration wait =
      shard.row.holder.empty() ? extra : times_.lease + times_.margin + extra;
  if (now < shard.unchanged_since + wait) {
    return std::nullopt;
  }
  return TakeOver(index, shard, nodes, expired);
}

void LimitLeaseManager::HandleWritten(const LimitRowWrite& write,
                                      const Result<std::string>& etag,
                                      TimePoint write_started,
                                      TimePoint now,
                                      std::vector<LimitLeaseEvent>& events) {
  // If the write failed or its outcome is unknown, the next read returns the
  // stored row. The lease is not extended here, so it can only end too early.
  if (!etag) {
    return;
  }
  Shard& shard = shards_[write.shard];
  const bool had_lease = shard.held;
  const bool row_is_first = write.etag.empty();
  shard.row = write.row;
  shard.etag = etag.value();
  shard.unchanged_since = write_started;
  shard.held = write.row.holder == node_;
  const TimePoint until = write_started + times_.lease;
  if (!shard.held) {
    events.push_back(LeaseLost{.shard = write.shard});
    return;
  }
  if (had_lease) {
    events.push_back(
        LeaseRenewed{.shard = write.shard, .row = write.row, .until = until});
    return;
  }
  // Grants of the previous holder stay valid until their lifetime ends.
  const TimePoint granting_from =
      row_is_first ? now : now + times_.grant_lifetime + times_.margin;
  events.push_back(LeaseAcquired{.shard = write.shard,
                                 .row = write.row,
                                 .until = until,
                                 .granting_from = granting_from});
}

void LimitLeaseManager::SetAcknowledged(int index,
                                        Fence fence,
                                        std::vector<std::string> nodes) {
  Shard& shard = shards_[index];
  shard.acknowledged_fence = fence;
  shard.acknowledged = std::move(nodes);
}

std::vector<LimitRowWrite> LimitLeaseManager::Release() {
  std::vector<LimitRowWrite> writes;
  for (auto& [index, shard] : shards_) {
    if (shard.held) {
      LimitRow row = shard.row;
      row.holder.clear();
      ++row.renewal;
      writes.push_back(
          {.shard = index, .row = std::move(row), .etag = shard.etag});
    }
  }
  return writes;
}

}  // namespace carawayrelay
