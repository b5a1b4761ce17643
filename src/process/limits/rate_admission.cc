#include "process/limits/rate_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// How long a holder may take to answer. Much longer than a round trip between
// zones, because a holder on a small VM may be busy.
constexpr milliseconds kAnswerTimeout{50};
// Datagrams may be lost, so a query is sent twice before the next holder is
// asked.
constexpr int kSendsToHolder = 2;
constexpr int kMaxHoldersAsked = 3;
constexpr milliseconds kMaxRetryAfter{1000};

}  // namespace

void RateAdmission::SetConfig(const ServingConfigPtr& config) {
  std::erase_if(own_parts_, [&](const auto& item) {
    return config->FindWorkspace(item.first) == nullptr;
  });
  holder_.SetConfig(config);
}

void RateAdmission::Admit(const ServingWorkspace& workspace,
                          TimePoint now,
                          VerdictCallback done) {
  if (workspace.rate_per_second <= 0) {
    done(RateAdmitted{});
    return;
  }
  if (!members_.IsKnown()) {
    done(RateUnavailable{});
    return;
  }
  AskNextHolder(RateRequestId{random_()},
                {.workspace = workspace.name,
                 .rate_per_second = workspace.rate_per_second,
                 .burst = workspace.burst,
                 .done = std::move(done)},
                now);
}

void RateAdmission::AskNextHolder(RateRequestId id,
                                  Query query,
                                  TimePoint now) {
  std::optional<RateMembers::Holder> holder =
      members_.HolderOf(query.workspace, now);
  if (!holder || query.holders_asked >= kMaxHoldersAsked) {
    query.done(DecideAlone(query, now));
    return;
  }
  query.holder = *std::move(holder);
  if (query.holder.node == node_ && !members_.IsSettled()) {
    query.done(RateUnavailable{});
    return;
  }
  if (query.holder.node == node_) {
    Finish(query, holder_.Decide({.id = id, .workspace = query.workspace}, now),
           now);
    return;
  }
  ++counters_.asked;
  ++query.holders_asked;
  query.sends_to_holder = 0;
  SendQuery(id, std::move(query), now);
}

void RateAdmission::SendQuery(RateRequestId id, Query query, TimePoint now) {
  ++query.sends_to_holder;
  query.timeout_at = now + kAnswerTimeout;
  send_(query.holder.address,
        RateRequest{.id = id, .workspace = query.workspace});
  queries_.insert_or_assign(id, std::move(query));
}

void RateAdmission::Finish(const Query& query,
                           const RateDecision& decision,
                           TimePoint now) {
  switch (decision.outcome) {
    case RateOutcome::kGranted:
      query.done(RateAdmitted{});
      return;
    case RateOutcome::kExceeded:
      query.done(RateExceeded{.retry_after = decision.retry_after});
      return;
    case RateOutcome::kUnknown:
      query.done(DecideAlone(query, now));
      return;
  }
}

void RateAdmission::HandleMessage(const std::string& address,
                                  const RateMessage& message,
                                  TimePoint now) {
  std::visit(Overloaded{
                 [&](const RateRequest& request) {
                   send_(address, holder_.Decide(request, now));
                 },
                 [&](const RateDecision& decision) {
                   // An answer to a query that was decided meanwhile has no
                   // effect.
                   if (auto node = queries_.extract(decision.id)) {
                     Finish(node.mapped(), decision, now);
                   }
                 },
             },
             message);
}

void RateAdmission::Tick(TimePoint now) {
  std::vector<RateRequestId> due;
  for (const auto& [id, query] : queries_) {
    if (now >= query.timeout_at) {
      due.push_back(id);
    }
  }
  for (const RateRequestId id : due) {
    Query query = std::move(queries_.extract(id).mapped());
    if (query.sends_to_holder < kSendsToHolder) {
      ++counters_.repeated;
      SendQuery(id, std::move(query), now);
      continue;
    }
    LogDecision(LogEvent::kRateHolderSilent, "holder", query.holder.node,
                "workspace", query.workspace);
    members_.NoteSilent(query.holder.node, now);
    AskNextHolder(id, std::move(query), now);
  }
}

std::optional<TimePoint> RateAdmission::NextTimeout() const {
  std::optional<TimePoint> next;
  for (const auto& [id, query] : queries_) {
    next = std::min(next.value_or(query.timeout_at), query.timeout_at);
  }
  return next;
}

RateVerdict RateAdmission::DecideAlone(const Query& query, TimePoint now) {
  ++counters_.alone;
  const double members =
      static_cast<double>(std::max<size_t>(members_.size(), 1));
  const double rate = query.rate_per_second / members;
  const double depth = std::max(query.burst / members, 1.0);
  TokenBucket& bucket =
      own_parts_.try_emplace(query.workspace, rate, depth, now).first->second;
  bucket.SetRate(rate, depth, now);
  if (bucket.TrySpend(1, now)) {
    return RateAdmitted{};
  }
  return RateExceeded{.retry_after = bucket.WaitFor(1, now, kMaxRetryAfter)};
}

}  // namespace carawayrelay
