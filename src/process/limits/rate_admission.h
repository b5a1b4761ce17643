#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "connection/rate_message.h"
#include "process/limits/rate_holder.h"
#include "process/limits/rate_holders.h"
#include "process/limits/rate_lender.h"
#include "process/limits/rate_loan_recall.h"
#include "process/limits/rate_members.h"
#include "process/limits/rate_verdict.h"
#include "process/limits/rate_wait_queue.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Keeps the rates of workspaces over all frontends together: asks the holder of
// a workspace's rate about each request, and answers the queries of others.
// Lends the part of the rates that this frontend owns, and as a holder borrows
// the parts of the others.
//
// A query without an answer is sent again a few times. Then the request counts
// as not decided, since its rate may be in use elsewhere. A request that is not
// admitted at once waits and asks again as long as its caller allows.
//
// Used on the event loop thread.
class RateAdmission {
 public:
  // Sends a message to the frontend at `address`. It may be lost.
  using MessageSender =
      std::function<void(const std::string& address, const RateMessage&)>;

  // `node` is the name of this frontend.
  RateAdmission(std::string node, std::uint64_t seed, MessageSender send);

  void SetConfig(const ServingConfigPtr& config) { holder_.SetConfig(config); }
  // Applies a complete read of the rows of all frontends.
  void ApplyRows(const std::vector<StoredRow>& rows,
                 std::uint64_t version,
                 TimePoint now);
  // How long the part of this frontend may still be lent by an earlier process.
  std::chrono::milliseconds LoanTime() const;
  RateLender& lender() { return lender_; }
  // Begins to recall the loans of earlier processes of this frontend, so that
  // its part can be lent before the time of one loan is over. Must be called
  // after the rows of all frontends were read.
  void RecallLoans() { recaller_.Begin(members_.peers()); }
  // Lends nothing until the lender is started again.
  void SuspendLending() {
    recaller_.Stop();
    lender_.Suspend();
  }
  // Decides whether a request of the workspace may run. A request that cannot
  // be admitted yet waits within `limits`, unless too many wait. Calls `done`
  // once, from this call or later.
  void Admit(const ServingWorkspace& workspace,
             TimePoint now,
             const RateWaitLimits& limits,
             RateVerdictCallback done);
  // Handles a message from the frontend at `address`.
  void HandleMessage(const std::string& address,
                     const RateMessage& message,
                     TimePoint now);
  // Repeats queries that got no answer in time, and asks for loans.
  void Tick(TimePoint now);
  // When Tick() has something to do next.
  std::optional<TimePoint> NextTimeout() const;
  // Returns all loans to their owners, because this frontend stops.
  void Leave(TimePoint now);
  // Whether requests can be decided: this frontend lends its part, or another
  // one holds rates.
  bool IsReady(TimePoint now) const;

  const RateMembers& members() const { return members_; }

  struct Counters {
    std::uint64_t asked = 0;     // requests that another frontend decided
    std::uint64_t repeated = 0;  // queries sent again
    std::uint64_t alone = 0;     // requests that no holder decided
    std::uint64_t waited = 0;    // times that a request waited to ask again
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Query {
    RateWaiter waiter;
    std::string holder;  // node that is asked
    std::string address;
    int sends = 0;
    TimePoint started_at{};
    TimePoint timeout_at{};
  };

  // Asks the holder of the workspace's rate.
  void Ask(RateWaiter waiter, TimePoint now);
  void SendQuery(RateRequestId id, Query query, TimePoint now);
  // Passes the decision on, or lets the request wait to ask again.
  void Finish(RateWaiter waiter, const RateDecision& decision, TimePoint now);
  void AskForWaiters(TimePoint now);
  // Sends the recalls that are due, and begins to lend once all frontends have
  // answered them.
  void UpdateRecalls(TimePoint now);
  // Lends to the holders that asked before this frontend began to lend.
  void AnswerEarlyRequests(TimePoint now);
  // Returns when a holder is likely to have loans of the workspace's rate.
  std::chrono::milliseconds TimeUntilHeld(const std::string& workspace,
                                          TimePoint now) const;
  void RepeatQueries(TimePoint now);
  // Returns the loans of shards that this frontend no longer holds, and asks
  // for loans of those that it holds.
  void UpdateLoans(TimePoint now);
  void ReturnLoans(const RateShardSet& shards, TimePoint now);
  void RequestLoans(TimePoint now);
  // Lends what the request may have and returns the answer to it, if any.
  std::optional<RateLoan> Lend(const RateLoanRequest& request,
                               const RateShardSet& shards,
                               TimePoint now);
  void Handle(const std::string& address,
              const RateRequest& request,
              TimePoint now);
  void Handle(const std::string& address,
              const RateDecision& decision,
              TimePoint now);
  void Handle(const std::string& address,
              const RateLoanRequest& request,
              TimePoint now);
  void Handle(const std::string& address, const RateLoan& loan, TimePoint now);
  void Handle(const std::string& address,
              const RateLoanReturn& loan_return,
              TimePoint now);
  void Handle(const std::string& address,
              const RateLoanRecall& recall,
              TimePoint now);
  void Handle(const std::string& address,
              const RateLoanRecalled& recalled,
              TimePoint now);

  const std::string node_;
  std::mt19937_64 random_;
  const RateProcessId process_;
  MessageSender send_;
  RateMembers members_{node_};
  RateHolders holders_{node_, members_};
  RateHolder holder_;
  RateLender lender_;
  RateLoanRecaller recaller_;
  RecalledLoans recalled_;
  // The latest request of each holder before this frontend began to lend.
  struct EarlyRequest {
    std::string address;
    RateLoanRequest request;
    TimePoint at{};
  };
  std::map<std::string, EarlyRequest> early_requests_;  // by node
  RateShardSet own_;  // shards that this frontend holds
  // When loans of a shard were returned last. Answers to older requests do not
  // count any more.
  std::array<TimePoint, kRateShards> returned_at_{};
  TimePoint next_request_at_{};
  TimePoint next_update_at_{};
  std::optional<TimePoint> heard_at_;  // of the newest request for loans
  std::map<RateRequestId, Query> queries_;
  RateWaitQueue waiting_;
  Counters counters_;
};

}  // namespace carawayrelay
