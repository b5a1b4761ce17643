#include "process/limits/rate_holder.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Least depth of a bucket in requests: a shallow one refuses random arrivals of
// a workspace within its rate.
constexpr double kMinDepth = 8;
constexpr milliseconds kMaxRetryAfter{1000};
// Answers that are kept for queries that come again.
constexpr size_t kMaxDecided = 1024;
// Parts are fractions whose sum may be slightly below that of the integers.
constexpr double kRounding = 1e-6;
// Loans of at least this part of a rate count as the whole of it: one of many
// frontends that is down makes no difference to a workspace.
constexpr double kWholePart = 0.9;

double AllowedInWindow(const ServingWorkspace& workspace) {
  const std::chrono::duration<double> window = SlidingWindowCounter::kWindow;
  return workspace.rate_per_second * window.count() + workspace.burst;
}

double DepthOf(const ServingWorkspace& workspace) {
  return std::max(workspace.burst, kMinDepth);
}

// Tokens that a bucket may hold beyond the burst. A part that moves to another
// holder brings a debt of as many, since its former holder may have spent them.
double ExtraDepthOf(const ServingWorkspace& workspace) {
  return DepthOf(workspace) - workspace.burst;
}

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

size_t RateShardOf(const std::string& workspace) {
  return XXH3_64bits(workspace.data(), workspace.size()) % kRateShards;
}

void RateHolder::SetConfig(ServingConfigPtr config) {
  config_ = std::move(config);
  for (Shard& shard : shards_) {
    std::erase_if(shard.usage, [&](const auto& item) {
      return config_->FindWorkspace(item.first) == nullptr;
    });
  }
}

void RateHolder::AddLoan(const RateLoan& loan, TimePoint now) {
  const TimePoint until = TimePoint(loan.request_sent_at) + loan.duration;
  if (until <= now) {
    return;
  }
  for (size_t i = 0; i < kRateShards; ++i) {
    if (!loan.shards[i]) {
      continue;
    }
    Shard& shard = shards_[i];
    ExpireLoans(shard, now);
    const auto [it, is_new] = shard.loans.try_emplace(loan.node);
    Loan& known = it->second;
    known.process = loan.process;
    known.until = std::max(known.until, until);
    if (is_new || known.part != loan.part) {
      known.part = loan.part;
      known.since = now;
      UpdatePart(shard, now);
    }
  }
}

void RateHolder::DropLoans(const RateShardSet& shards, TimePoint now) {
  for (size_t i = 0; i < kRateShards; ++i) {
    if (shards[i]) {
      ExpireLoans(shards_[i], now);
      shards_[i].loans.clear();
      UpdatePart(shards_[i], now);
    }
  }
}

void RateHolder::DropLoansOf(const std::string& node,
                             RateProcessId process,
                             TimePoint now) {
  for (Shard& shard : shards_) {
    const auto it = shard.loans.find(node);
    if (it != shard.loans.end() && it->second.process != process) {
      ExpireLoans(shard, now);
      shard.loans.erase(node);
      UpdatePart(shard, now);
    }
  }
}

void RateHolder::ExpireLoans(Shard& shard, TimePoint now) {
  while (true) {
    const auto first =
        std::min_element(shard.loans.begin(), shard.loans.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.until < b.second.until;
                         });
    if (first == shard.loans.end() || first->second.until > now) {
      return;
    }
    const TimePoint ended_at = first->second.until;
    shard.loans.erase(first);
    UpdatePart(shard, ended_at);
  }
}

void RateHolder::UpdatePart(Shard& shard, TimePoint at) {
  double sum = 0;
  for (const auto& [node, loan] : shard.loans) {
    sum += loan.part;
  }
  const double part = std::min(sum, 1.0);
  const double gained = std::max(part - shard.part, 0.0);
  shard.part = part;
  if (part < kWholePart) {
    shard.whole_since.reset();
  } else if (!shard.whole_since) {
    shard.whole_since = at;
  }
  for (auto& [name, usage] : shard.usage) {
    const ServingWorkspace& workspace = usage.workspace;
    usage.bucket.SetRate(workspace.rate_per_second * part,
                         DepthOf(workspace) * part, at);
    usage.bucket.Spend(ExtraDepthOf(workspace) * gained, at);
  }
}

bool RateHolder::IsSettling(const Shard& shard, TimePoint now) {
  return !shard.whole_since ||
         now - *shard.whole_since < SlidingWindowCounter::kWindow;
}

RateHolder::Usage& RateHolder::UsageOf(Shard& shard,
                                       const ServingWorkspace& workspace,
                                       TimePoint now) {
  const double rate = workspace.rate_per_second * shard.part;
  const double depth = DepthOf(workspace) * shard.part;
  const auto known = shard.usage.find(workspace.name);
  if (known != shard.usage.end()) {
    Usage& usage = known->second;
    if (usage.workspace.rate_per_second != workspace.rate_per_second ||
        usage.workspace.burst != workspace.burst) {
      usage.workspace = workspace;
      usage.bucket.SetRate(rate, depth, now);
    }
    return usage;
  }
  // Nothing was granted from these loans yet.
  double tokens = 0;
  for (const auto& [node, loan] : shard.loans) {
    const double gathered =
        workspace.rate_per_second * SecondsBetween(loan.since, now) -
        ExtraDepthOf(workspace);
    tokens += std::min(gathered, DepthOf(workspace)) * loan.part;
  }
  Usage usage{.workspace = workspace, .bucket = TokenBucket(rate, depth, now)};
  usage.bucket.Spend(depth - std::min(tokens, depth), now);
  return shard.usage.emplace(workspace.name, std::move(usage)).first->second;
}

RateDecision RateHolder::Decide(const RateRequest& request, TimePoint now) {
  if (const auto it = decided_.find(request.id); it != decided_.end()) {
    return it->second;
  }
  const RateDecision decision = DecideOnce(request, now);
  decided_.emplace(request.id, decision);
  decided_order_.push_back(request.id);
  if (decided_order_.size() > kMaxDecided) {
    decided_.erase(decided_order_.front());
    decided_order_.pop_front();
  }
  return decision;
}

RateDecision RateHolder::DecideOnce(const RateRequest& request, TimePoint now) {
  RateDecision decision{.id = request.id};
  const ServingWorkspace* workspace =
      config_ ? config_->FindWorkspace(request.workspace) : nullptr;
  Shard& shard = shards_[RateShardOf(request.workspace)];
  ExpireLoans(shard, now);
  if (workspace == nullptr || shard.part <= 0) {
    return decision;
  }
  Usage& usage = UsageOf(shard, *workspace, now);
  const auto counted = static_cast<double>(usage.granted.Sum(now));
  if (counted + 1 > AllowedInWindow(*workspace) * shard.part + kRounding ||
      !usage.bucket.TrySpend(1 - kRounding, now)) {
    decision.outcome = RateOutcome::kExceeded;
    decision.is_settling = IsSettling(shard, now);
    decision.retry_after = usage.bucket.WaitFor(1, now, kMaxRetryAfter);
    return decision;
  }
  usage.granted.Add(now);
  decision.outcome = RateOutcome::kGranted;
  return decision;
}

}  // namespace carawayrelay
