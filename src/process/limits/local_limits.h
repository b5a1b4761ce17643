#pragma once

#include <chrono>
#include <map>
#include <string>

#include "carawayrelay/request.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// Rate limits that this entry counts alone. Used in place of SharedLimits when
// limits are not shared between entries.
class LocalLimits {
 public:
  // Upper bound of RetryAfter().
  static constexpr std::chrono::milliseconds kMaxRetryAfter{10000};

  void AdoptConfig(const ConfigSnapshot& config, TimePoint now) {
    std::map<std::string, TokenBucket> buckets;
    for (const WorkspaceConfig& w : config.document().workspaces) {
      const auto old = buckets_.find(w.name);
      TokenBucket bucket = old == buckets_.end()
                               ? TokenBucket(w.rate_per_second, w.burst, now)
                               : old->second;
      bucket.SetRate(w.rate_per_second, w.burst, now);
      buckets.emplace(w.name, bucket);
    }
    buckets_ = std::move(buckets);
  }

  // Spends one token of the workspace. Returns false if it has none or the
  // workspace is unknown.
  bool TrySpend(const std::string& workspace, TimePoint now) {
    const auto it = buckets_.find(workspace);
    return it != buckets_.end() && it->second.TrySpend(1, now);
  }

  // Returns the time after which a refused client should try again.
  std::chrono::milliseconds RetryAfter(const std::string& workspace,
                                       TimePoint now) {
    const auto it = buckets_.find(workspace);
    return it == buckets_.end() ? kMaxRetryAfter
                                : it->second.WaitFor(1, now, kMaxRetryAfter);
  }

 private:
  std::map<std::string, TokenBucket> buckets_;
};

}  // namespace carawayrelay
