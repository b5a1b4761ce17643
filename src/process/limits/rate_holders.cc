#include "process/limits/rate_holders.h"

#include <algorithm>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSilencePenalty{1000};
// Frontends take the place of a silent holder one after the other, in the order
// of their ranks; those beyond this position at the same time.
constexpr size_t kMaxWaitPositions = 16;

}  // namespace

bool RateHolders::IsLive(const Shard& shard, TimePoint now) const {
  return !shard.holder.empty() && now - shard.asked_at < timing_.silence_limit;
}

RateShardSet RateHolders::NoteRequest(const std::string& node,
                                      const RateShardSet& shards,
                                      TimePoint now) {
  RateShardSet accepted;
  const auto ignored = ignored_until_.find(node);
  if (ignored != ignored_until_.end()) {
    if (now < ignored->second) {
      return accepted;
    }
    ignored_until_.erase(ignored);
  }
  for (size_t i = 0; i < kRateShards; ++i) {
    if (!shards[i]) {
      continue;
    }
    Shard& shard = shards_[i];
    const double rank = members_.RankOf(node, i);
    if (rank > members_.RankOf(node_, i)) {
      shard.better_asked_at = now;
    }
    if (!IsLive(shard, now) || shard.holder == node ||
        rank > members_.RankOf(shard.holder, i)) {
      shard.holder = node;
      shard.asked_at = now;
    }
    accepted[i] = shard.holder == node && !IsOwn(i, now);
  }
  return accepted;
}

void RateHolders::NoteReturn(const std::string& node,
                             const RateShardSet& shards,
                             TimePoint now) {
  for (size_t i = 0; i < kRateShards; ++i) {
    if (shards[i] && shards_[i].holder == node) {
      shards_[i].holder.clear();
      shards_[i].better_asked_at = now - timing_.silence_limit;
    }
  }
}

void RateHolders::NoteSilent(const std::string& node, TimePoint now) {
  ignored_until_[node] = now + kSilencePenalty;
  for (Shard& shard : shards_) {
    if (shard.holder == node) {
      shard.holder.clear();
    }
  }
}

bool RateHolders::IsOwn(size_t shard, TimePoint now) {
  if (is_leaving_ || !members_.IsKnown()) {
    return false;
  }
  if (!began_at_) {
    began_at_ = now;
  }
  const Shard& state = shards_[shard];
  if (IsLive(state, now)) {
    return members_.RankOf(node_, shard) > members_.RankOf(state.holder, shard);
  }
  const size_t above = members_.CountAbove(shard);
  if (above == 0) {
    return true;
  }
  const auto positions =
      static_cast<int>(std::min(above, kMaxWaitPositions) - 1);
  const Duration wait =
      timing_.silence_limit + timing_.request_interval * positions;
  return now - std::max(state.better_asked_at, *began_at_) >= wait;
}

RateShardSet RateHolders::Own(TimePoint now) {
  RateShardSet own;
  for (size_t i = 0; i < kRateShards; ++i) {
    own[i] = IsOwn(i, now);
  }
  return own;
}

std::optional<std::string> RateHolders::HolderOf(size_t shard, TimePoint now) {
  if (IsOwn(shard, now)) {
    return node_;
  }
  const Shard& state = shards_[shard];
  return IsLive(state, now) ? std::optional<std::string>(state.holder)
                            : std::nullopt;
}

}  // namespace carawayrelay
