#include "process/limits/limit_lease_holder.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace carawayrelay {
namespace {

// Suffix of the key in Bucket::outstanding for tokens that were granted to a
// member but that the member does not report.
constexpr const char* kUnaccountedSuffix = " (lost)";

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

int LimitShardOf(const std::string& workspace, int shard_count) {
  assert(shard_count > 0);
  return static_cast<int>(XXH64(workspace.data(), workspace.size(), 0) %
                          static_cast<std::uint64_t>(shard_count));
}

LimitLeaseHolder::LimitLeaseHolder(int shard,
                                   const LimitRow& row,
                                   TimePoint lease_until,
                                   TimePoint granting_from,
                                   LimitTimes times)
    : shard_(shard),
      fence_(row.fence),
      lease_until_(lease_until),
      granting_from_(granting_from),
      times_(times) {
  for (const MemberShare& member : row.members) {
    members_[member.node] = {.share = member.share,
                             .reserved = member.reserved};
  }
}

void LimitLeaseHolder::Renew(const LimitRow& row, TimePoint lease_until) {
  lease_until_ = std::max(lease_until_, lease_until);
  if (row.fence == fence_) {
    return;
  }
  fence_ = row.fence;
  std::map<std::string, Member> former = std::move(members_);
  members_.clear();
  for (const MemberShare& share : row.members) {
    members_[share.node] = {.share = share.share,
                            .reserved = share.reserved,
                            .live_until = former[share.node].live_until};
  }
}

std::vector<std::string> LimitLeaseHolder::Acknowledged() const {
  std::vector<std::string> nodes;
  for (const auto& [node, member] : members_) {
    if (member.acknowledged) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

double LimitLeaseHolder::ReservedShare(TimePoint now) const {
  double reserved = 0;
  for (const auto& [node, member] : members_) {
    if (member.live_until <= now) {
      reserved += member.acknowledged ? member.share
                                      : std::max(member.share, member.reserved);
    }
  }
  return std::min(reserved, 1.0);
}

void LimitLeaseHolder::Refill(Bucket& bucket,
                              const WorkspaceConfig& limits,
                              TimePoint now) {
  double outstanding = 0;
  for (auto it = bucket.outstanding.begin(); it != bucket.outstanding.end();) {
    // Tokens that expired without a report may have been spent, so they are not
    // returned to the bucket.
    if (it->second.expires <= now) {
      it = bucket.outstanding.erase(it);
    } else {
      outstanding += it->second.tokens;
      ++it;
    }
  }
  const double available = 1 - ReservedShare(now);
  const TimePoint from = std::max(bucket.refilled_at, granting_from_);
  if (now > from) {
    bucket.tokens += Seconds(now - from) * limits.rate_per_second * available;
  }
  bucket.refilled_at = now;
  bucket.tokens =
      std::clamp(bucket.tokens, 0.0,
                 std::max(0.0, limits.burst * available - outstanding));
}

void LimitLeaseHolder::RefillAll(const ConfigSnapshot& config, TimePoint now) {
  // Workspaces without demand so far are included. Otherwise their tokens for a
  // time in which shares were reserved would accrue later at the full rate.
  for (const WorkspaceConfig& limits : config.document().workspaces) {
    Bucket& bucket =
        buckets_.try_emplace(limits.name, Bucket{.refilled_at = granting_from_})
            .first->second;
    Refill(bucket, limits, now);
  }
}

void LimitLeaseHolder::RecordContact(const LimitRequest& request,
                                     const ConfigSnapshot& config,
                                     TimePoint now) {
  Member& member = members_[request.member];
  if (member.responses > 0 && request.acknowledged_reply == member.responses) {
    // The time up to this contact is refilled with the share still reserved.
    RefillAll(config, now);
    member.acknowledged = true;
    member.reserved = member.share;
    member.live_until = member.responded_at + times_.live_for;
  }
  ++member.responses;
  member.responded_at = now;
}

LimitAllowance LimitLeaseHolder::GrantTokens(const LimitDemand& demand,
                                             const LimitRequest& request,
                                             const WorkspaceConfig& limits,
                                             TimePoint now) {
  Bucket& bucket =
      buckets_.try_emplace(demand.workspace, Bucket{.refilled_at = now})
          .first->second;
  Refill(bucket, limits, now);
  // std::map keeps the reference valid when other elements are added.
  Outstanding& member_tokens = bucket.outstanding[request.member];
  const double unaccounted = std::max(
      0.0, member_tokens.tokens - demand.spent - std::max(0.0, demand.held));
  // RecordContact() has already counted the response to this request.
  const bool has_all_responses =
      request.acknowledged_reply != 0 &&
      request.acknowledged_reply + 1 == members_.at(request.member).responses;
  if (has_all_responses) {
    bucket.tokens += unaccounted;
  } else {
    // These tokens were in a response that the member may not have received, or
    // were granted to an earlier process of the member. They count as
    // outstanding until they expire.
    Outstanding& unreported =
        bucket.outstanding[request.member + kUnaccountedSuffix];
    unreported.tokens += unaccounted;
    unreported.expires = std::max(unreported.expires, member_tokens.expires);
  }
  member_tokens.tokens = std::max(0.0, demand.held);
  const double granted =
      std::clamp(demand.wanted - member_tokens.tokens, 0.0, bucket.tokens);
  bucket.tokens -= granted;
  member_tokens.tokens += granted;
  member_tokens.expires = now + times_.grant_lifetime + times_.margin;
  return {.workspace = demand.workspace,
          .tokens = granted,
          .lifetime = times_.grant_lifetime};
}

LimitGrant LimitLeaseHolder::Handle(const LimitRequest& request,
                                    const ConfigSnapshot& config,
                                    TimePoint now) {
  LimitGrant grant{
      .shard = shard_, .fence = fence_, .sequence = request.sequence};
  const TimePoint safe_until = lease_until_ - times_.margin;
  if (now >= safe_until) {
    return grant;
  }
  for (const auto& [node, member] : members_) {
    grant.shares.push_back({.member = node, .share = member.share});
  }
  // Members use their fallback shares until then.
  if (request.fence != fence_ || now < granting_from_) {
    return grant;
  }
  grant.accepted = true;
  RecordContact(request, config, now);
  grant.reply = members_.at(request.member).responses;
  grant.live_for = times_.live_for;
  for (const LimitDemand& demand : request.demands) {
    if (const WorkspaceConfig* limits =
            config.FindWorkspace(demand.workspace)) {
      grant.allowances.push_back(GrantTokens(demand, request, *limits, now));
    }
  }
  return grant;
}

}  // namespace carawayrelay
