#include "process/limits/rate_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// How long a holder may take to answer. Much longer than a round trip between
// zones, because a holder on a small VM may be busy.
constexpr milliseconds kAnswerTimeout{50};
// Datagrams may be lost, so a query is sent again.
constexpr int kMaxSends = 4;
// An answer that comes later does not count: the holder granted the request in
// an earlier window than that in which it would run.
constexpr milliseconds kMaxAnswerAge = kAnswerTimeout * kMaxSends;
// Between two requests of a holder for loans. It grows with the number of
// frontends, so that their requests cost each of them the same.
constexpr milliseconds kMinRequestInterval{200};
constexpr milliseconds kRequestIntervalPerMember{4};
// A loan outlasts this many requests, since datagrams may be lost or late.
constexpr int kRequestsPerLoan = 5;
constexpr int kRequestsUntilSilent = 4;
// Limits of the time after which a client may send a request again that no
// holder decided.
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{1500};
// A request whose rate nobody holds asks again after this long.
constexpr milliseconds kUndecidedWait{50};
// Least time until a request over the rate asks again.
constexpr milliseconds kMinExceededWait{10};
// How often a frontend checks which shards it holds.
constexpr milliseconds kUpdateInterval{25};

microseconds SinceBoot(TimePoint at) {
  return std::chrono::duration_cast<microseconds>(at.time_since_epoch());
}

}  // namespace

RateAdmission::RateAdmission(std::string node,
                             std::uint64_t seed,
                             MessageSender send)
    : node_(std::move(node)),
      random_(seed),
      process_(RateProcessId{random_()}),
      send_(std::move(send)) {}

void RateAdmission::ApplyRows(const std::vector<StoredRow>& rows,
                              std::uint64_t version,
                              TimePoint now) {
  members_.Apply(rows, version, now);
  const milliseconds interval = std::max(
      kMinRequestInterval, kRequestIntervalPerMember *
                               static_cast<int>(members_.peers().size() + 1));
  holders_.SetTiming({.request_interval = interval,
                      .silence_limit = interval * kRequestsUntilSilent});
}

milliseconds RateAdmission::LoanTime() const {
  return holders_.timing().request_interval * kRequestsPerLoan;
}

bool RateAdmission::IsReady(TimePoint now) const {
  return members_.IsKnown() && (lender_.IsLending(now) ||
                                (heard_at_ && now - *heard_at_ < LoanTime()));
}

void RateAdmission::Admit(const ServingWorkspace& workspace,
                          TimePoint now,
                          const RateWaitLimits& limits,
                          RateVerdictCallback done) {
  if (workspace.rate_per_second <= 0) {
    done(RateAdmitted{});
    return;
  }
  Ask({.workspace = workspace.name, .limits = limits, .done = std::move(done)},
      now);
}

void RateAdmission::Ask(RateWaiter waiter, TimePoint now) {
  const RateRequestId id{random_()};
  const std::optional<std::string> holder =
      members_.IsKnown() ? holders_.HolderOf(RateShardOf(waiter.workspace), now)
                         : std::nullopt;
  if (holder == node_) {
    const RateDecision decision =
        holder_.Decide({.id = id, .workspace = waiter.workspace}, now);
    Finish(std::move(waiter), decision, now);
    return;
  }
  const std::string* address = holder ? members_.FindAddress(*holder) : nullptr;
  if (address == nullptr) {
    Finish(std::move(waiter), {.id = id}, now);
    return;
  }
  ++counters_.asked;
  SendQuery(id,
            {.waiter = std::move(waiter),
             .holder = *holder,
             .address = *address,
             .started_at = now},
            now);
}

void RateAdmission::SendQuery(RateRequestId id, Query query, TimePoint now) {
  ++query.sends;
  query.timeout_at = now + kAnswerTimeout;
  send_(query.address,
        RateRequest{.id = id, .workspace = query.waiter.workspace});
  queries_.insert_or_assign(id, std::move(query));
}

milliseconds RateAdmission::TimeUntilHeld(const std::string& workspace,
                                          TimePoint now) const {
  const TimePoint free_at =
      std::min(lender_.FreeAt(RateShardOf(workspace)), now + kMaxRetryAfter);
  const Duration wait =
      std::max(free_at - now, Duration(0)) + holders_.timing().request_interval;
  return std::clamp(std::chrono::ceil<milliseconds>(wait), kMinRetryAfter,
                    kMaxRetryAfter);
}

void RateAdmission::Finish(RateWaiter waiter,
                           const RateDecision& decision,
                           TimePoint now) {
  if (decision.outcome == RateOutcome::kGranted) {
    waiter.done(RateAdmitted{});
    return;
  }
  const bool is_exceeded = decision.outcome == RateOutcome::kExceeded;
  const milliseconds wait =
      is_exceeded ? std::max(decision.retry_after, kMinExceededWait)
                  : kUndecidedWait;
  const TimePoint wait_until = is_exceeded && !decision.is_settling
                                   ? waiter.limits.exceeded_until
                                   : waiter.limits.settling_until;
  if (now + wait <= wait_until && waiting_.HasPlace(waiter.workspace)) {
    ++counters_.waited;
    waiting_.Add(std::move(waiter), now + wait);
    return;
  }
  if (is_exceeded) {
    waiter.done(RateExceeded{.retry_after = decision.retry_after});
    return;
  }
  ++counters_.alone;
  waiter.done(
      RateUnavailable{.retry_after = TimeUntilHeld(waiter.workspace, now)});
}

void RateAdmission::AskForWaiters(TimePoint now) {
  for (RateWaiter& waiter : waiting_.TakeDue(now)) {
    Ask(std::move(waiter), now);
  }
}

void RateAdmission::HandleMessage(const std::string& address,
                                  const RateMessage& message,
                                  TimePoint now) {
  std::visit([&](const auto& m) { Handle(address, m, now); }, message);
}

void RateAdmission::Handle(const std::string& address,
                           const RateRequest& request,
                           TimePoint now) {
  send_(address, holder_.Decide(request, now));
}

void RateAdmission::Handle(const std::string& /*address*/,
                           const RateDecision& decision,
                           TimePoint now) {
  // An answer to a query that was decided meanwhile has no effect.
  if (auto node = queries_.extract(decision.id)) {
    Query& query = node.mapped();
    const bool is_late = now - query.started_at > kMaxAnswerAge;
    Finish(std::move(query.waiter),
           is_late ? RateDecision{.id = decision.id} : decision, now);
  }
}

void RateAdmission::Handle(const std::string& address,
                           const RateLoanRequest& request,
                           TimePoint now) {
  // The rank of a frontend whose row was not read yet is not known.
  if (members_.FindAddress(request.node) == nullptr) {
    return;
  }
  heard_at_ = now;
  const RateShardSet accepted =
      holders_.NoteRequest(request.node, request.shards, now);
  if (const std::optional<RateLoan> loan = Lend(request, accepted, now)) {
    send_(address, *loan);
  } else if (!lender_.IsLending(now)) {
    early_requests_[request.node] = {
        .address = address, .request = request, .at = now};
  }
}

void RateAdmission::Handle(const std::string& /*address*/,
                           const RateLoan& loan,
                           TimePoint now) {
  if (loan.holder != process_ || recalled_.Contains(loan)) {
    return;
  }
  RateLoan usable = loan;
  for (size_t shard = 0; shard < kRateShards; ++shard) {
    usable.shards[shard] =
        loan.shards[shard] && own_[shard] &&
        loan.request_sent_at > SinceBoot(returned_at_[shard]);
  }
  holder_.AddLoan(usable, now);
}

void RateAdmission::Handle(const std::string& /*address*/,
                           const RateLoanReturn& loan_return,
                           TimePoint now) {
  lender_.Return(loan_return);
  holders_.NoteReturn(loan_return.node, loan_return.shards, now);
}

void RateAdmission::Handle(const std::string& address,
                           const RateLoanRecall& recall,
                           TimePoint now) {
  recalled_.Note(recall.node, recall.process, now);
  holder_.DropLoansOf(recall.node, recall.process, now);
  send_(address, RateLoanRecalled{.node = node_, .process = recall.process});
}

void RateAdmission::Handle(const std::string& /*address*/,
                           const RateLoanRecalled& recalled,
                           TimePoint now) {
  if (recalled.process == process_) {
    recaller_.NoteAnswer(recalled.node);
    UpdateRecalls(now);
  }
}

void RateAdmission::UpdateRecalls(TimePoint now) {
  if (!lender_.IsStarted()) {
    return;
  }
  if (recaller_.IsDone() && !lender_.IsLending(now)) {
    lender_.StartAt(now);
  }
  if (lender_.IsLending(now)) {
    recaller_.Stop();
    AnswerEarlyRequests(now);
    return;
  }
  for (const std::string& address : recaller_.DueAddresses(now)) {
    send_(address, RateLoanRecall{.node = node_, .process = process_});
  }
}

void RateAdmission::AnswerEarlyRequests(TimePoint now) {
  for (const auto& [node, early] : early_requests_) {
    // A later request is on its way otherwise.
    if (now - early.at >= holders_.timing().request_interval) {
      continue;
    }
    const RateShardSet accepted =
        holders_.NoteRequest(node, early.request.shards, now);
    if (const auto loan = Lend(early.request, accepted, now)) {
      send_(early.address, *loan);
    }
  }
  early_requests_.clear();
}

std::optional<RateLoan> RateAdmission::Lend(const RateLoanRequest& request,
                                            const RateShardSet& shards,
                                            TimePoint now) {
  if (!members_.IsKnown()) {
    return std::nullopt;
  }
  const milliseconds duration = LoanTime();
  const RateShardSet lent = lender_.Lend(request, shards, duration, now);
  if (lent.none()) {
    return std::nullopt;
  }
  return RateLoan{.node = node_,
                  .process = process_,
                  .holder = request.process,
                  .request_sent_at = request.sent_at,
                  .duration = duration,
                  .part = members_.part(),
                  .shards = lent};
}

void RateAdmission::Tick(TimePoint now) {
  RepeatQueries(now);
  UpdateRecalls(now);
  AskForWaiters(now);
  if (now >= next_update_at_) {
    next_update_at_ = now + kUpdateInterval;
    UpdateLoans(now);
  }
}

void RateAdmission::RepeatQueries(TimePoint now) {
  std::vector<RateRequestId> due;
  for (const auto& [id, query] : queries_) {
    if (now >= query.timeout_at) {
      due.push_back(id);
    }
  }
  for (const RateRequestId id : due) {
    Query query = std::move(queries_.extract(id).mapped());
    if (query.sends < kMaxSends) {
      ++counters_.repeated;
      SendQuery(id, std::move(query), now);
      continue;
    }
    LogDecision(LogEvent::kRateHolderSilent, "holder", query.holder,
                "workspace", query.waiter.workspace);
    holders_.NoteSilent(query.holder, now);
    Finish(std::move(query.waiter), {.id = id}, now);
  }
}

void RateAdmission::UpdateLoans(TimePoint now) {
  const RateShardSet own = holders_.Own(now);
  const RateShardSet lost = own_ & ~own;
  const bool has_new = (own & ~own_).any();
  if (lost.any() || has_new) {
    LogDecision(LogEvent::kRateShardsHeld, "held", own.count(), "before",
                own_.count(), "members", members_.peers().size() + 1);
  }
  own_ = own;
  if (lost.any()) {
    ReturnLoans(lost, now);
  }
  if (own_.any() && (has_new || now >= next_request_at_)) {
    RequestLoans(now);
  }
}

void RateAdmission::ReturnLoans(const RateShardSet& shards, TimePoint now) {
  holder_.DropLoans(shards, now);
  for (size_t shard = 0; shard < kRateShards; ++shard) {
    if (shards[shard]) {
      returned_at_[shard] = now;
    }
  }
  const RateLoanReturn loan_return{.node = node_,
                                   .process = process_,
                                   .sent_at = SinceBoot(now),
                                   .shards = shards};
  lender_.Return(loan_return);
  for (const RateMembers::Peer& peer : members_.peers()) {
    send_(peer.address, loan_return);
  }
}

void RateAdmission::RequestLoans(TimePoint now) {
  next_request_at_ = now + holders_.timing().request_interval;
  const RateLoanRequest request{.node = node_,
                                .process = process_,
                                .sent_at = SinceBoot(now),
                                .shards = own_};
  if (const std::optional<RateLoan> loan = Lend(request, own_, now)) {
    Handle(/*address=*/"", *loan, now);
  }
  for (const RateMembers::Peer& peer : members_.peers()) {
    send_(peer.address, request);
  }
}

std::optional<TimePoint> RateAdmission::NextTimeout() const {
  std::optional<TimePoint> next;
  if (own_.any()) {
    next = std::max(next_request_at_, next_update_at_);
  }
  const auto add = [&next](TimePoint at) {
    next = std::min(next.value_or(at), at);
  };
  for (const auto& [id, query] : queries_) {
    add(query.timeout_at);
  }
  if (const auto due = recaller_.NextDue()) {
    add(*due);
  }
  if (const auto due = waiting_.NextDue()) {
    add(*due);
  }
  return next;
}

void RateAdmission::Leave(TimePoint now) {
  holders_.Leave();
  UpdateLoans(now);
}

}  // namespace carawayrelay
