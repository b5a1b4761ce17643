#include "process/limits/rate_holder.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Depth of a bucket beyond the burst: one second of the rate, and at least some
// requests, because few requests per second vary the most.
constexpr double kMinExtraDepth = 5;
// Tokens of a bucket that begins: part of what the window allows, and at least
// some requests. Small, because a rate may change its holder more than once in
// a window.
constexpr double kFirstTokensFraction = 0.05;
constexpr double kMinFirstTokens = 8;
constexpr milliseconds kMaxRetryAfter{1000};
// Answers that are kept for queries that come again.
constexpr size_t kMaxDecided = 1024;

double AllowedInWindow(const ServingWorkspace& workspace) {
  const std::chrono::duration<double> window = SlidingWindowCounter::kWindow;
  return workspace.rate_per_second * window.count() + workspace.burst;
}

double DepthOf(const ServingWorkspace& workspace) {
  return workspace.burst + std::max(workspace.rate_per_second, kMinExtraDepth);
}

}  // namespace

void RateHolder::SetConfig(ServingConfigPtr config) {
  config_ = std::move(config);
  std::erase_if(usage_, [&](const auto& item) {
    return config_->FindWorkspace(item.first) == nullptr;
  });
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
  if (workspace == nullptr) {
    return decision;
  }
  Usage& usage = UsageOf(*workspace, now);
  const double counted = static_cast<double>(usage.granted.Sum(now)) +
                         members_.GrantedByOthers(workspace->name, now);
  if (counted + 1 > AllowedInWindow(*workspace) ||
      !usage.bucket.TrySpend(1, now)) {
    decision.outcome = RateOutcome::kExceeded;
    decision.retry_after = usage.bucket.WaitFor(1, now, kMaxRetryAfter);
    return decision;
  }
  usage.granted.Add(now);
  decision.outcome = RateOutcome::kGranted;
  return decision;
}

RateHolder::Usage& RateHolder::UsageOf(const ServingWorkspace& workspace,
                                       TimePoint now) {
  const double depth = DepthOf(workspace);
  const auto known = usage_.find(workspace.name);
  if (known != usage_.end()) {
    known->second.bucket.SetRate(workspace.rate_per_second, depth, now);
    return known->second;
  }
  const double first = std::max(
      kFirstTokensFraction * AllowedInWindow(workspace), kMinFirstTokens);
  Usage usage{.bucket = TokenBucket(workspace.rate_per_second, depth, now)};
  usage.bucket.Spend(std::max(depth - first, 0.0), now);
  return usage_.emplace(workspace.name, usage).first->second;
}

std::map<std::string, double> RateHolder::Granted(TimePoint now) {
  std::map<std::string, double> granted;
  for (auto& [workspace, usage] : usage_) {
    if (const std::int64_t count = usage.granted.Sum(now); count > 0) {
      granted[workspace] = static_cast<double>(count);
    }
  }
  return granted;
}

}  // namespace carawayrelay
