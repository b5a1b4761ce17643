#pragma once

#include <algorithm>
#include <chrono>

#include "request/boot_clock.h"

namespace carawayrelay {

// Token bucket. TrySpend() grants at most burst + rate * W tokens in any time
// interval of length W.
class TokenBucket {
 public:
  // Creates a full bucket.
  TokenBucket(double rate_per_second, double burst, TimePoint now)
      : rate_(rate_per_second), burst_(burst), tokens_(burst), updated_(now) {}

  // Spends `tokens` if the bucket holds that many, else returns false.
  bool TrySpend(double tokens, TimePoint now) {
    Refill(now);
    if (tokens_ < tokens) {
      return false;
    }
    tokens_ -= tokens;
    return true;
  }

  // Returns the number of tokens in the bucket, which is negative after Spend()
  // took more than it held.
  double TokensAt(TimePoint now) {
    Refill(now);
    return tokens_;
  }

  // Spends `tokens` unconditionally. The content may become negative.
  void Spend(double tokens, TimePoint now) {
    Refill(now);
    tokens_ -= tokens;
  }

  // Returns the time until `tokens` can be spent, at most `limit`.
  std::chrono::milliseconds WaitFor(double tokens,
                                    TimePoint now,
                                    std::chrono::milliseconds limit) {
    Refill(now);
    const double missing = tokens - tokens_;
    if (missing <= 0) {
      return std::chrono::milliseconds(0);
    }
    if (missing >= rate_ * std::chrono::duration<double>(limit).count()) {
      return limit;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double>(missing / rate_));
  }

  // Changes rate and burst. Keeps the tokens, up to the new burst.
  void SetRate(double rate_per_second, double burst, TimePoint now) {
    Refill(now);
    rate_ = rate_per_second;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

 private:
  void Refill(TimePoint now) {
    if (now > updated_) {
      const std::chrono::duration<double> passed = now - updated_;
      tokens_ = std::min(burst_, tokens_ + rate_ * passed.count());
      updated_ = now;
    }
  }

  double rate_;
  double burst_;
  double tokens_;
  TimePoint updated_;
};

}  // namespace carawayrelay
