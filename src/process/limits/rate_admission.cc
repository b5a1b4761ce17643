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
// Datagrams may be lost, so a question is sent twice before the next holder is
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
                                  Question question,
                                  TimePoint now) {
  std::vector<RateMembers::Holder> holders =
      members_.HoldersOf(question.workspace, now);
  if (holders.empty() || question.holders_asked >= kMaxHoldersAsked) {
    question.done(DecideAlone(question, now));
    return;
  }
  question.holder = std::move(holders.front());
  if (question.holder.node == node_) {
    Finish(question,
           holder_.Decide({.id = id, .workspace = question.workspace}, now),
           now);
    return;
  }
  ++counters_.asked;
  ++question.holders_asked;
  question.sends_to_holder = 0;
  SendQuestion(id, std::move(question), now);
}

void RateAdmission::SendQuestion(RateRequestId id,
                                 Question question,
                                 TimePoint now) {
  ++question.sends_to_holder;
  question.timeout_at = now + kAnswerTimeout;
  send_(question.holder.address,
        RateRequest{.id = id, .workspace = question.workspace});
  questions_.insert_or_assign(id, std::move(question));
}

void RateAdmission::Finish(const Question& question,
                           const RateDecision& decision,
                           TimePoint now) {
  switch (decision.outcome) {
    case RateOutcome::kGranted:
      question.done(RateAdmitted{});
      return;
    case RateOutcome::kExceeded:
      question.done(RateExceeded{.retry_after = decision.retry_after});
      return;
    case RateOutcome::kUnknown:
      question.done(DecideAlone(question, now));
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
                   // An answer to a question that was decided meanwhile has no
                   // effect.
                   if (auto node = questions_.extract(decision.id)) {
                     Finish(node.mapped(), decision, now);
                   }
                 },
             },
             message);
}

void RateAdmission::Tick(TimePoint now) {
  std::vector<RateRequestId> due;
  for (const auto& [id, question] : questions_) {
    if (now >= question.timeout_at) {
      due.push_back(id);
    }
  }
  for (const RateRequestId id : due) {
    Question question = std::move(questions_.extract(id).mapped());
    if (question.sends_to_holder < kSendsToHolder) {
      ++counters_.repeated;
      SendQuestion(id, std::move(question), now);
      continue;
    }
    LogDecision(LogEvent::kRateHolderSilent, "holder", question.holder.node,
                "workspace", question.workspace);
    members_.NoteSilent(question.holder.node, now);
    AskNextHolder(id, std::move(question), now);
  }
}

std::optional<TimePoint> RateAdmission::NextTimeout() const {
  std::optional<TimePoint> next;
  for (const auto& [id, question] : questions_) {
    next = std::min(next.value_or(question.timeout_at), question.timeout_at);
  }
  return next;
}

RateVerdict RateAdmission::DecideAlone(const Question& question,
                                       TimePoint now) {
  ++counters_.alone;
  const double members =
      static_cast<double>(std::max<size_t>(members_.size(), 1));
  const double rate = question.rate_per_second / members;
  const double depth = std::max(question.burst / members, 1.0);
  TokenBucket& bucket =
      own_parts_.try_emplace(question.workspace, rate, depth, now)
          .first->second;
  bucket.SetRate(rate, depth, now);
  if (bucket.TrySpend(1, now)) {
    return RateAdmitted{};
  }
  return RateExceeded{.retry_after = bucket.WaitFor(1, now, kMaxRetryAfter)};
}

}  // namespace carawayrelay
