#include "process/limits/rate_lender.h"

#include <algorithm>

namespace carawayrelay {

TimePoint RateLender::FreeAt(size_t shard) const {
  return std::max(starts_at_, loans_[shard].until);
}

RateShardSet RateLender::Lend(const RateLoanRequest& request,
                              const RateShardSet& shards,
                              std::chrono::milliseconds duration,
                              TimePoint now) {
  RateShardSet lent;
  if (!IsLending(now)) {
    return lent;
  }
  for (size_t shard = 0; shard < kRateShards; ++shard) {
    Loan& loan = loans_[shard];
    // A new process of the same frontend means that the former one has ended.
    if (!shards[shard] || (now < loan.until && loan.node != request.node)) {
      continue;
    }
    const bool is_renewed = loan.process == request.process;
    loan.node = request.node;
    loan.process = request.process;
    // Requests may arrive out of order.
    loan.request_sent_at = is_renewed
                               ? std::max(loan.request_sent_at, request.sent_at)
                               : request.sent_at;
    loan.until = std::max(loan.until, now + duration);
    lent.set(shard);
  }
  return lent;
}

void RateLender::Return(const RateLoanReturn& loan_return) {
  for (size_t shard = 0; shard < kRateShards; ++shard) {
    Loan& loan = loans_[shard];
    if (loan_return.shards[shard] && loan.node == loan_return.node &&
        loan.process == loan_return.process &&
        loan.request_sent_at <= loan_return.sent_at) {
      loan.until = TimePoint{};
    }
  }
}

}  // namespace carawayrelay
