#pragma once

#include <algorithm>
#include <chrono>

#include "request/boot_clock.h"

namespace carawayrelay {

// Tokens that arrive at a steady rate up to a burst. In any time W it yields
// at most burst + rate * W tokens.
class TokenBucket {
 public:
  // Starts full.
  TokenBucket(double rate_per_second, double burst, TimePoint now)
      : rate_(rate_per_second), burst_(burst), tokens_(burst), updated_(now) {}

  bool TrySpend(double tokens, TimePoint now) {
    Refill(now);
    if (tokens_ < tokens) {
      return false;
    }
    tokens_ -= tokens;
    return true;
  }

  // The content, negative when in debt.
  double TokensAt(TimePoint now) {
    Refill(now);
    return tokens_;
  }

  // Spends without asking; the bucket may go into debt.
  void Spend(double tokens, TimePoint now) {
    Refill(now);
    tokens_ -= tokens;
  }

  // Time until `tokens` can be spent, at most `limit`.
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

  // Keeps the content, cut to the new burst.
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
