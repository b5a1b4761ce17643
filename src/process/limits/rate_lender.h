#pragma once

#include <array>
#include <chrono>
#include <string>

#include "connection/rate_message.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// The part of the rates that this frontend owns. It is lent to one frontend at
// a time for each shard, and to the next one only when the loan is over. So the
// sum of all parts that frontends grant from never exceeds the rate, whatever
// they know of each other.
//
// Used on the event loop thread.
class RateLender {
 public:
  // Nothing is lent before `at`: an earlier process of this frontend may have
  // lent the same part.
  void StartAt(TimePoint at) { starts_at_ = at; }
  // Lends nothing more until the next StartAt().
  void Suspend() { starts_at_ = TimePoint::max(); }
  bool IsStarted() const { return starts_at_ != TimePoint::max(); }
  bool IsLending(TimePoint now) const { return now >= starts_at_; }

  // Returns when the part of the shard can be lent to a frontend that does not
  // have it yet.
  TimePoint FreeAt(size_t shard) const;

  // Lends those of `shards` that are free, or lent to the sender of `request`
  // already, to it until `duration` after `now`. Returns them.
  RateShardSet Lend(const RateLoanRequest& request,
                    const RateShardSet& shards,
                    std::chrono::milliseconds duration,
                    TimePoint now);
  // Ends loans that their holder does not use any more.
  void Return(const RateLoanReturn& loan_return);

 private:
  struct Loan {
    std::string node;
    RateProcessId process{0};
    std::chrono::microseconds request_sent_at{0};
    TimePoint until{};
  };

  TimePoint starts_at_ = TimePoint::max();
  std::array<Loan, kRateShards> loans_;
};

}  // namespace carawayrelay
