#include "process/limits/limit_member.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Interval of requests without demand; short enough that the contact does not
// expire (LimitTimes::live_for) if one request is lost.
constexpr milliseconds kIdleLimitRequestInterval{150};
constexpr milliseconds kLimitRequestTimeout{250};
// Interval of requests to the lease holder while client requests wait for
// tokens.
constexpr milliseconds kRetryLimitRequestInterval{25};
// A client request waits up to this long for tokens, so that a request within
// the rate is not refused while a grant is on its way.
constexpr milliseconds kMaxWait{250};
// Maximum number of waiting client requests for each workspace.
constexpr size_t kMaxWaiting = 4096;
// Weight of the latest interval in the smoothed demand.
constexpr double kDemandSmoothing = 0.3;
constexpr double kOneToken = 1;
// Tolerance for rounding errors in sums of fractional tokens.
constexpr double kRounding = 1e-9;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LimitMember::LimitMember(std::string node, int shard_count, LimitTimes times)
    : node_(std::move(node)),
      times_(times),
      shards_(static_cast<size_t>(shard_count)) {}

LimitMember::Shard& LimitMember::ShardOf(const std::string& workspace) {
  return shards_[static_cast<size_t>(
      LimitShardOf(workspace, static_cast<int>(shards_.size())))];
}

const LimitMember::Shard& LimitMember::ShardOf(
    const std::string& workspace) const {
  return shards_[static_cast<size_t>(
      LimitShardOf(workspace, static_cast<int>(shards_.size())))];
}

void LimitMember::SetShard(int index, const LimitRow& row, TimePoint now) {
  Shard& shard = shards_.at(static_cast<size_t>(index));
  if (row.fence <= shard.fence) {
    return;
  }
  shard.holder = row.holder;
  shard.fence = row.fence;
  shard.last_response = 0;
  AbandonLimitRequest(shard);
  shard.next_limit_request_at = now;
}

void LimitMember::AbandonLimitRequest(Shard& shard) {
  shard.limit_request_in_flight = false;
  for (auto& [workspace, account] : shard.accounts) {
    account.spent += std::exchange(account.spent_in_flight, 0);
  }
}

bool LimitMember::TrySpend(Shard& shard,
                           Account& account,
                           const WorkspaceConfig& limits,
                           TimePoint now) {
  if (account.expires <= now) {
    account.tokens = 0;
  }
  if (account.tokens >= kOneToken - kRounding) {
    account.tokens -= kOneToken;
    account.spent += kOneToken;
    return true;
  }
  if (now < shard.live_until) {
    return false;
  }
  const TimePoint from =
      std::max(account.fallback_refilled_at, shard.live_until);
  if (account.fallback_refilled_at < shard.live_until) {
    account.fallback_tokens = 0;
  }
  account.fallback_tokens =
      std::min(account.fallback_tokens +
                   Seconds(now - from) * limits.rate_per_second * shard.share,
               limits.burst * shard.share);
  account.fallback_refilled_at = now;
  if (account.fallback_tokens < kOneToken - kRounding) {
    return false;
  }
  account.fallback_tokens -= kOneToken;
  return true;
}

Admission LimitMember::Admit(const std::string& workspace,
                             RequestId request,
                             TimePoint now) {
  const WorkspaceConfig* limits =
      config_ ? config_->FindWorkspace(workspace) : nullptr;
  if (limits == nullptr) {
    return Admission::kRefused;
  }
  Shard& shard = ShardOf(workspace);
  Account& account = shard.accounts[workspace];
  account.smoothed_demand += kDemandSmoothing;
  if (account.waiting.empty() && TrySpend(shard, account, *limits, now)) {
    return Admission::kAdmitted;
  }
  if (account.waiting.size() >= kMaxWaiting) {
    return Admission::kRefused;
  }
  account.waiting.push_back({.request = request, .since = now});
  // A LimitRequest in flight does not include the demand of this request.
  shard.next_limit_request_at = std::min(shard.next_limit_request_at, now);
  return Admission::kWaiting;
}

void LimitMember::CancelWait(RequestId request) {
  for (Shard& shard : shards_) {
    for (auto& [workspace, account] : shard.accounts) {
      std::erase_if(account.waiting, [&](const Waiting& waiting) {
        return waiting.request == request;
      });
    }
  }
}

LimitRequest LimitMember::MakeLimitRequest(int index,
                                           Shard& shard,
                                           TimePoint now) {
  LimitRequest request{.shard = index,
                       .fence = shard.fence,
                       .member = node_,
                       .acknowledged_reply = shard.last_response,
                       .sequence = ++shard.sequence};
  for (auto& [workspace, account] : shard.accounts) {
    const double wanted = std::ceil(account.smoothed_demand) +
                          static_cast<double>(account.waiting.size());
    if (account.expires <= now) {
      account.tokens = 0;
    }
    const bool idle = wanted == 0 && account.spent == 0 && account.tokens == 0;
    // Tokens that are no longer needed are returned to the lease holder.
    account.tokens = std::min(account.tokens, wanted);
    if (!idle) {
      request.demands.push_back({.workspace = workspace,
                                 .spent = account.spent,
                                 .held = account.tokens,
                                 .wanted = wanted});
    }
    account.spent_in_flight = std::exchange(account.spent, 0);
    account.smoothed_demand *= 1 - kDemandSmoothing;
    if (account.smoothed_demand < 0.05) {
      account.smoothed_demand = 0;
    }
  }
  return request;
}

std::vector<AddressedLimitRequest> LimitMember::TakeLimitRequests(
    TimePoint now) {
  std::vector<AddressedLimitRequest> requests;
  for (size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.limit_request_in_flight &&
        now >= shard.limit_request_sent_at + kLimitRequestTimeout) {
      AbandonLimitRequest(shard);
    }
    if (shard.holder.empty() || shard.limit_request_in_flight ||
        now < shard.next_limit_request_at) {
      continue;
    }
    requests.push_back(
        {.holder = shard.holder,
         .request = MakeLimitRequest(static_cast<int>(i), shard, now)});
    shard.limit_request_in_flight = true;
    shard.limit_request_sent_at = now;
    shard.next_limit_request_at = now + kIdleLimitRequestInterval;
  }
  return requests;
}

void LimitMember::AdmitWaiting(Shard& shard,
                               const std::string& workspace,
                               Account& account,
                               TimePoint now,
                               std::vector<AdmissionResult>& results) {
  const WorkspaceConfig* limits =
      config_ ? config_->FindWorkspace(workspace) : nullptr;
  while (!account.waiting.empty()) {
    const Waiting& front = account.waiting.front();
    const bool admitted =
        limits != nullptr && TrySpend(shard, account, *limits, now);
    if (!admitted && now < front.since + kMaxWait) {
      return;
    }
    results.push_back({.request = front.request, .admitted = admitted});
    account.waiting.pop_front();
  }
}

std::vector<AdmissionResult> LimitMember::HandleGrant(const LimitGrant& grant,
                                                      TimePoint now) {
  std::vector<AdmissionResult> results;
  if (grant.shard < 0 || static_cast<size_t>(grant.shard) >= shards_.size()) {
    return results;
  }
  Shard& shard = shards_[static_cast<size_t>(grant.shard)];
  if (!shard.limit_request_in_flight || grant.sequence != shard.sequence) {
    // The request timed out. Its tokens are not used: the holder takes them
    // back with the next request.
    return results;
  }
  if (!grant.accepted) {
    AbandonLimitRequest(shard);
  }
  shard.limit_request_in_flight = false;
  if (grant.fence != shard.fence) {
    if (grant.fence > shard.fence) {
      shard.fence = grant.fence;
      shard.last_response = 0;
      shard.next_limit_request_at = now;
    }
    return results;
  }
  if (!grant.accepted) {
    return results;
  }
  for (auto& [workspace, account] : shard.accounts) {
    account.spent_in_flight = 0;
  }
  shard.last_response = grant.reply;
  shard.live_until = now + grant.live_for;
  shard.share = 0;
  for (const LimitShare& share : grant.shares) {
    if (share.member == node_) {
      shard.share = share.share;
    }
  }
  for (const LimitAllowance& allowance : grant.allowances) {
    Account& account = shard.accounts[allowance.workspace];
    account.tokens += allowance.tokens;
    account.expires = shard.limit_request_sent_at + allowance.lifetime;
  }
  for (auto& [workspace, account] : shard.accounts) {
    AdmitWaiting(shard, workspace, account, now, results);
    if (!account.waiting.empty()) {
      shard.next_limit_request_at = now + kRetryLimitRequestInterval;
    }
  }
  return results;
}

std::vector<AdmissionResult> LimitMember::TakeTimedOut(TimePoint now) {
  std::vector<AdmissionResult> results;
  for (Shard& shard : shards_) {
    for (auto& [workspace, account] : shard.accounts) {
      AdmitWaiting(shard, workspace, account, now, results);
    }
  }
  return results;
}

TimePoint LimitMember::NextDeadline(TimePoint now) const {
  TimePoint next = now + kIdleLimitRequestInterval;
  for (const Shard& shard : shards_) {
    if (!shard.holder.empty()) {
      next = std::min(next,
                      shard.limit_request_in_flight
                          ? shard.limit_request_sent_at + kLimitRequestTimeout
                          : shard.next_limit_request_at);
    }
    for (const auto& [workspace, account] : shard.accounts) {
      if (!account.waiting.empty()) {
        next = std::min(next, account.waiting.front().since + kMaxWait);
      }
    }
  }
  return std::max(next, now);
}

milliseconds LimitMember::RetryAfter(const std::string& workspace) const {
  const WorkspaceConfig* limits =
      config_ ? config_->FindWorkspace(workspace) : nullptr;
  if (limits == nullptr || limits->rate_per_second <= 0) {
    return milliseconds(1000);
  }
  return std::max(
      milliseconds(1),
      milliseconds(static_cast<std::int64_t>(1000 / limits->rate_per_second)));
}

bool LimitMember::HasContactedAllShards() const {
  return std::all_of(shards_.begin(), shards_.end(), [](const Shard& shard) {
    return shard.live_until != TimePoint();
  });
}

}  // namespace carawayrelay
