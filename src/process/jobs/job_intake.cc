#include "process/jobs/job_intake.h"

#include <utility>
#include <vector>

#include "process/jobs/job_responses.h"
#include "process/telemetry/decision_log.h"
#include "request/random_backoff.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstRetry{20};
constexpr int kMaxDoublings = 3;
// A submission that is not stored within this time is refused.
constexpr milliseconds kSubmitLimit{2500};
// Size of a segment, in bytes. A worker that claims a few items of a large job
// reads this much, and one segment passes in milliseconds.
constexpr size_t kSegmentBytes = size_t{256} << 10;

}  // namespace

bool JobIntake::RespondWithoutWrite(const ClientCall& call,
                                    const ServingWorkspace& workspace) {
  if (const JobTable::Entry* existing = jobs_.Find(call.request_id)) {
    // The client resends the job because it did not receive the response.
    send_response_(call.client,
                   existing->job.workspace == workspace.name
                       ? ClientResponseEvent(EmptyObject(202))
                       : ClientResponseEvent(JobOfAnotherWorkspace()));
    return true;
  }
  if (submissions_.contains(call.request_id)) {
    send_response_(call.client,
                   Refusal{.code = RefusalCode::kConflict,
                           .run_state = RunState::kUnknown,
                           .reason = "the same job is being stored"});
    return true;
  }
  return false;
}

std::int64_t JobIntake::ReservedTokens(const BulkJob& job) const {
  std::int64_t tokens = 0;
  for (const auto& [id, submission] : submissions_) {
    if (submission.job.workspace == job.workspace &&
        submission.job.route == job.route && jobs_.Find(id) == nullptr) {
      tokens += submission.job.PendingTokens();
    }
  }
  return tokens;
}

bool JobIntake::IsOverLimit(const BulkJob& job,
                            const ServingRoute& route) const {
  const std::int64_t limit = route.bulk.max_pending_tokens;
  const std::int64_t pending =
      jobs_.PendingTokens(job.workspace, job.route) + ReservedTokens(job);
  if (limit <= 0 || pending + job.PendingTokens() <= limit) {
    return false;
  }
  LogDecision(LogEvent::kJobRefused, "job", job.id, "workspace", job.workspace,
              "pending_tokens", pending, "job_tokens", job.PendingTokens(),
              "limit", limit);
  return true;
}

void JobIntake::Submit(const ClientCall& call,
                       const Access& access,
                       TimePoint now) {
  const std::string id = call.request_id;
  if (RespondWithoutWrite(call, access.workspace)) {
    return;
  }
  const auto items = platform::DecodeSubmission(call.body);
  if (!items) {
    send_response_(call.client, Refusal{.code = RefusalCode::kInvalidRequest,
                                        .reason = items.error().message});
    return;
  }
  BulkJob job{.id = id,
              .workspace = access.workspace.name,
              .route = access.route.name,
              .config_version = access.config_version,
              .accepted = store_.StoreTime(now)};
  std::vector<std::string> item_ids;
  for (const platform::SubmittedItem& item : items.value()) {
    job.items.push_back({.tokens = item.tokens});
    item_ids.push_back(item.id);
  }
  if (IsOverLimit(job, access.route)) {
    send_response_(
        call.client,
        Refusal{.code = RefusalCode::kRateLimited,
                .reason = "too many tokens of the workspace are waiting",
                .retry_after = kJobRetryAfter});
    return;
  }
  Submission& submission = submissions_[id];
  submission.client = call.client;
  submission.job = std::move(job);
  submission.arrived = now;
  submission.row = EncodeInlineSubmission(call.body);
  if (submission.row.size() > job_rows::kMaxValueBytes) {
    submission.row =
        EncodeLayout(WriteSegments(id, call.body, std::move(item_ids)));
    return;
  }
  StoreRows(id, now);
}

SubmissionLayout JobIntake::WriteSegments(const std::string& job,
                                          const std::string& body,
                                          std::vector<std::string> item_ids) {
  SubmissionLayout layout{.item_ids = std::move(item_ids)};
  std::vector<platform::EncodedItems> ranges =
      platform::SplitSubmission(body, kSegmentBytes);
  submissions_.at(job).segments_left = ranges.size();
  for (platform::EncodedItems& range : ranges) {
    layout.segments.push_back({.first_item = range.first_item,
                               .bytes = range.text.size(),
                               .digest = SegmentDigest(range.text)});
    const SubmissionSegment& segment = layout.segments.back();
    transfers_.Add({.request = ObjectWrite{.name = SegmentObject(job, segment),
                                           .data = std::move(range.text)},
                    .bytes = segment.bytes,
                    .time_limit = kSubmitLimit},
                   [this, job](const StoreResponse& response) {
                     OnSegmentWritten(job, response);
                   });
  }
  return layout;
}

void JobIntake::OnSegmentWritten(const std::string& job,
                                 const StoreResponse& response) {
  const auto it = submissions_.find(job);
  if (it == submissions_.end()) {
    return;  // another segment failed
  }
  // A segment that exists already has the same bytes, because its name stands
  // for them.
  if (response.status == StoreStatus::kDone ||
      response.status == StoreStatus::kConditionFailed) {
    if (--it->second.segments_left == 0) {
      StoreRows(job, clock_.now());
    }
  } else if (response.status == StoreStatus::kRejected) {
    Reject(job);
  } else {
    FinishUnstored(job);
  }
}

void JobIntake::Tick(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [job, submission] : submissions_) {
    if (submission.segments_left == 0 && !submission.is_running &&
        now >= submission.retry_at) {
      due.push_back(job);
    }
  }
  for (const std::string& job : due) {
    StoreRows(job, now);
  }
}

void JobIntake::StoreRows(const std::string& job, TimePoint now) {
  Submission& submission = submissions_.at(job);
  if (now - submission.arrived >= kSubmitLimit) {
    FinishUnstored(job);
    return;
  }
  submission.is_running = true;
  const RowKey key = job_rows::State(job);
  RowsTransaction transaction;
  transaction.expected.push_back({.key = key, .version = 0});
  transaction.writes.push_back(
      {.key = key, .value = EncodeBulkJob(submission.job)});
  transaction.writes.push_back(
      {.key = job_rows::Submission(job), .value = submission.row});
  store_.Send(std::move(transaction),
              [this, job](const StoreResponse& response) {
                submissions_.at(job).is_running = false;
                OnStored(job, response);
              });
}

void JobIntake::OnStored(const std::string& job,
                         const StoreResponse& response) {
  Submission& submission = submissions_.at(job);
  if (response.status == StoreStatus::kDone) {
    jobs_.Put({.key = job_rows::State(job),
               .value = EncodeBulkJob(submission.job),
               .version = response.version});
    Finish(job, EmptyObject(202), "accepted");
    return;
  }
  if (response.status == StoreStatus::kConditionFailed) {
    for (const StoredRow& row : response.rows) {
      if (row.key.table == job_rows::kStates) {
        jobs_.Put(row);
      }
    }
    const JobTable::Entry* existing = jobs_.Find(job);
    const bool is_same = existing == nullptr ||
                         existing->job.workspace == submission.job.workspace;
    Finish(job,
           is_same ? ClientResponseEvent(EmptyObject(202))
                   : ClientResponseEvent(JobOfAnotherWorkspace()),
           "already_accepted");
    return;
  }
  submission.may_exist |= response.status == StoreStatus::kUnknown;
  if (response.status == StoreStatus::kRejected) {
    Reject(job);
    return;
  }
  Retry(job, response);
}

void JobIntake::Retry(const std::string& job, const StoreResponse& response) {
  Submission& submission = submissions_.at(job);
  submission.retry_at =
      clock_.now() +
      RandomBackoff(kFirstRetry, submission.failures, kMaxDoublings, random_);
  ++submission.failures;
  LogDecision(LogEvent::kJobStoreRetry, "job", job, "status",
              ToString(response.status), "reason", response.reason, "failures",
              submission.failures);
}

void JobIntake::Reject(const std::string& job) {
  const bool may_exist = submissions_.at(job).may_exist;
  Finish(
      job,
      Refusal{.code = RefusalCode::kInvalidRequest,
              .run_state = may_exist ? RunState::kUnknown : RunState::kNotRun,
              .reason = "the store does not take the job"},
      "rejected");
}

void JobIntake::FinishUnstored(const std::string& job) {
  Finish(
      job,
      submissions_.at(job).may_exist
          ? ClientResponseEvent(Refusal{.code = RefusalCode::kDeadline,
                                        .run_state = RunState::kUnknown,
                                        .reason = "the store did not answer"})
          : ClientResponseEvent(StoreUnavailable("the store takes no writes")),
      "store_down");
}

void JobIntake::Finish(const std::string& job,
                       ClientResponseEvent response,
                       const std::string& outcome) {
  auto node = submissions_.extract(job);
  const Submission& submission = node.mapped();
  LogDecision(LogEvent::kJobSubmitted, "job", job, "workspace",
              submission.job.workspace, "route", submission.job.route, "items",
              submission.job.items.size(), "outcome", outcome, "ms",
              ToMilliseconds(clock_.now() - submission.arrived));
  send_response_(submission.client, std::move(response));
}

}  // namespace carawayrelay
