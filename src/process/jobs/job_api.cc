#include "process/jobs/job_api.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstRetry{20};
constexpr int kMaxDoublings = 3;
// A submission that is not stored within this time is refused.
constexpr milliseconds kSubmitLimit{2500};
// When a client should retry after a refusal.
constexpr milliseconds kRetryAfter{300};
// Limit of result text in one response, in bytes, unless it contains a single
// result; clients accept at most 1 MB.
constexpr size_t kMaxResultBytes = 900000;
// First byte of a stored submission: the body follows in the row, or the body
// is in an object.
constexpr char kInlineBody = 'b';
constexpr char kObjectBody = 'o';

HeaderList JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

CompleteResponse EmptyObject(int status) {
  return {.status = status, .headers = JsonHeaders(), .body = "{}"};
}

Refusal StoreUnavailable(std::string reason) {
  return {.code = RefusalCode::kStoreDown,
          .reason = std::move(reason),
          .retry_after = kRetryAfter};
}

}  // namespace

std::int64_t JobApi::ReservedTokens(const BulkJob& job) const {
  std::int64_t tokens = 0;
  for (const auto& [id, submission] : submissions_) {
    if (submission.job.workspace == job.workspace &&
        submission.job.route == job.route && jobs_.Find(id) == nullptr) {
      tokens += submission.job.PendingTokens();
    }
  }
  return tokens;
}

void JobApi::Submit(ClientCall call, const Access& access, TimePoint now) {
  const ServingRoute& route = access.route;
  const ServingWorkspace& workspace = access.workspace;
  const std::string id = call.request_id;
  if (const JobTable::Entry* existing = jobs_.Find(id)) {
    // The client resends the job because it did not receive the response.
    send_response_(call.client,
                   existing->job.workspace == workspace.name
                       ? ClientResponseEvent(EmptyObject(202))
                       : ClientResponseEvent(
                             Refusal{.code = RefusalCode::kNotFound,
                                     .reason = "job of another workspace"}));
    return;
  }
  if (submissions_.contains(id)) {
    send_response_(call.client,
                   Refusal{.code = RefusalCode::kConflict,
                           .run_state = RunState::kUnknown,
                           .reason = "the same job is being stored"});
    return;
  }
  const auto items = platform::DecodeSubmission(call.body);
  if (!items) {
    send_response_(call.client, Refusal{.code = RefusalCode::kInvalidRequest,
                                        .reason = items.error().message});
    return;
  }
  BulkJob job{.id = id,
              .workspace = workspace.name,
              .route = route.name,
              .config_version = access.config_version,
              .accepted = store_.StoreTime(now)};
  for (const platform::SubmittedItem& item : items.value()) {
    job.items.push_back({.tokens = item.tokens});
  }
  const std::int64_t limit = route.bulk.max_pending_tokens;
  const std::int64_t pending =
      jobs_.PendingTokens(job.workspace, job.route) + ReservedTokens(job);
  if (limit > 0 && pending + job.PendingTokens() > limit) {
    LogDecision(LogEvent::kJobRefused, "job", id, "workspace", job.workspace,
                "pending_tokens", pending, "job_tokens", job.PendingTokens(),
                "limit", limit);
    send_response_(
        call.client,
        Refusal{.code = RefusalCode::kRateLimited,
                .reason = "too many tokens of the workspace are waiting",
                .retry_after = kRetryAfter});
    return;
  }
  submissions_.emplace(id, Submission{.client = call.client,
                                      .job = std::move(job),
                                      .body = std::move(call.body),
                                      .arrived = now});
  StoreSubmission(id, now);
}

void JobApi::Tick(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [job, submission] : submissions_) {
    if (!submission.is_running && now >= submission.retry_at) {
      due.push_back(job);
    }
  }
  for (const std::string& job : due) {
    StoreSubmission(job, now);
  }
}

void JobApi::StoreSubmission(const std::string& job, TimePoint now) {
  Submission& submission = submissions_.at(job);
  if (now - submission.arrived >= kSubmitLimit) {
    FinishSubmission(
        job,
        submission.may_exist
            ? ClientResponseEvent(Refusal{.code = RefusalCode::kDeadline,
                                          .run_state = RunState::kUnknown,
                                          .reason = "the store did not answer"})
            : ClientResponseEvent(
                  StoreUnavailable("the store takes no writes")),
        "store_down");
    return;
  }
  submission.is_running = true;
  const bool needs_object =
      submission.body.size() + 1 > job_rows::kMaxValueBytes;
  if (needs_object && !submission.object_written) {
    WriteObject(job);
  } else {
    WriteRows(job);
  }
}

void JobApi::WriteObject(const std::string& job) {
  store_.Send(ObjectWrite{.name = job_rows::SubmissionObject(job),
                          .data = submissions_.at(job).body},
              [this, job](const StoreResponse& response) {
                Submission& submission = submissions_.at(job);
                submission.is_running = false;
                // The object may exist from an earlier attempt for the same
                // job.
                if (response.status == StoreStatus::kDone ||
                    response.status == StoreStatus::kConditionFailed) {
                  submission.object_written = true;
                  StoreSubmission(job, clock_.now());
                  return;
                }
                RetrySubmission(job, response);
              });
}

void JobApi::WriteRows(const std::string& job) {
  const Submission& submission = submissions_.at(job);
  const RowKey key = job_rows::State(job);
  RowsTransaction transaction;
  transaction.expected.push_back({.key = key, .version = 0});
  transaction.writes.push_back(
      {.key = key, .value = EncodeBulkJob(submission.job)});
  transaction.writes.push_back({.key = job_rows::Submission(job),
                                .value = submission.object_written
                                             ? std::string(1, kObjectBody)
                                             : kInlineBody + submission.body});
  store_.Send(std::move(transaction),
              [this, job](const StoreResponse& response) {
                submissions_.at(job).is_running = false;
                OnStored(job, response);
              });
}

void JobApi::OnStored(const std::string& job, const StoreResponse& response) {
  Submission& submission = submissions_.at(job);
  if (response.status == StoreStatus::kDone) {
    jobs_.Put({.key = job_rows::State(job),
               .value = EncodeBulkJob(submission.job),
               .version = response.version});
    FinishSubmission(job, EmptyObject(202), "accepted");
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
    FinishSubmission(job,
                     is_same ? ClientResponseEvent(EmptyObject(202))
                             : ClientResponseEvent(Refusal{
                                   .code = RefusalCode::kNotFound,
                                   .reason = "job of another workspace"}),
                     "already_accepted");
    return;
  }
  submission.may_exist |= response.status == StoreStatus::kUnknown;
  RetrySubmission(job, response);
}

void JobApi::RetrySubmission(const std::string& job,
                             const StoreResponse& response) {
  Submission& submission = submissions_.at(job);
  if (response.status == StoreStatus::kRejected) {
    FinishSubmission(
        job,
        Refusal{.code = RefusalCode::kInvalidRequest,
                .run_state = submission.may_exist ? RunState::kUnknown
                                                  : RunState::kNotRun,
                .reason = "the store does not take the job"},
        "rejected");
    return;
  }
  submission.retry_at =
      clock_.now() +
      kFirstRetry * (1 << std::min(submission.failures, kMaxDoublings));
  ++submission.failures;
  LogDecision(LogEvent::kJobStoreRetry, "job", job, "status",
              ToString(response.status), "reason", response.reason, "failures",
              submission.failures);
}

void JobApi::FinishSubmission(const std::string& job,
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

void JobApi::Handle(ClientCallId client,
                    platform::JobCall call,
                    const std::string& workspace,
                    bool is_current) {
  std::visit(
      Overloaded{
          [&](platform::ReadResults& read) {
            WithJob(client, read.job, workspace, is_current,
                    [this, client, from = read.from](const BulkJob& job) {
                      SendResults(client, job, from);
                    });
          },
          [&](platform::ReadItemBody& read) {
            WithJob(client, read.job, workspace, /*is_current=*/true,
                    [this, client, item = read.item](const BulkJob& job) {
                      SendItemBody(client, job, item);
                    });
          },
          [&](platform::EndJob& end) {
            WithJob(client, end.job, workspace, /*is_current=*/true,
                    [this, client](const BulkJob& job) {
                      MarkJobEnded(client, job);
                    });
          },
      },
      call);
}

void JobApi::WithJob(ClientCallId client,
                     const std::string& job,
                     const std::string& workspace,
                     bool is_current,
                     std::function<void(const BulkJob&)> then) {
  const auto use = [this, client, workspace,
                    then = std::move(then)](const JobTable::Entry* entry) {
    if (entry == nullptr || entry->job.workspace != workspace) {
      send_response_(client, Refusal{.code = RefusalCode::kNotFound,
                                     .reason = "no such job"});
      return;
    }
    // A copy, because the table may change while a store call is running.
    then(BulkJob(entry->job));
  };
  const JobTable::Entry* existing = jobs_.Find(job);
  if (existing != nullptr && is_current) {
    use(existing);
    return;
  }
  const RowKey key = job_rows::State(job);
  store_.Send(
      RowsRead{.table = key.table,
               .part = key.part,
               .from = key.key,
               .to = key.key + '\0'},
      [this, client, job, use](StoreResponse response) {
        if (response.status != StoreStatus::kDone) {
          RefuseUnavailable(client, job, "the store cannot be read");
          return;
        }
        use(response.rows.empty() ? nullptr : jobs_.Put(response.rows[0]));
      });
}

void JobApi::RefuseUnavailable(ClientCallId client,
                               const std::string& job,
                               const std::string& reason) {
  LogDecision(LogEvent::kJobReadFailed, "job", job, "reason", reason);
  send_response_(client, StoreUnavailable(reason));
}

void JobApi::SendResults(ClientCallId client, const BulkJob& job, size_t from) {
  const size_t total = job.items.size();
  const auto respond_with = [this, client, total,
                             from](const std::vector<ItemResult>& results) {
    send_response_(client, CompleteResponse{.status = 200,
                                            .headers = JsonHeaders(),
                                            .body = platform::EncodeResults(
                                                total, from, results)});
  };
  if (from >= job.listed) {
    respond_with({});
    return;
  }
  const RowKey first = job_rows::Result(job.id, from);
  const std::string id = job.id;
  store_.Send(
      RowsRead{.table = first.table,
               .part = first.part,
               .from = first.key,
               .to = job_rows::Result(job.id, job.listed).key},
      [this, client, id, respond_with](const StoreResponse& response) {
        if (response.status != StoreStatus::kDone || response.rows.empty()) {
          RefuseUnavailable(client, id, "the results cannot be read");
          return;
        }
        auto results = std::make_shared<std::vector<ItemResult>>();
        size_t bytes = 0;
        for (const StoredRow& row : response.rows) {
          auto result = DecodeItemResult(row.value);
          if (!result) {
            RefuseUnavailable(client, id, result.error().message);
            return;
          }
          bytes += result.value().text.size();
          if (!results->empty() &&
              (bytes > kMaxResultBytes || !result.value().object.empty())) {
            break;
          }
          results->push_back(std::move(result).value());
        }
        ItemResult& front = results->front();
        if (front.object.empty()) {
          respond_with(*results);
          return;
        }
        results->resize(1);
        store_.Send(
            ObjectRead{front.object},
            [this, client, id, results, respond_with](StoreResponse object) {
              if (object.status != StoreStatus::kDone) {
                RefuseUnavailable(client, id, "the result cannot be read");
                return;
              }
              results->front().text = std::move(object.data);
              respond_with(*results);
            });
      });
}

void JobApi::SendItemBody(ClientCallId client,
                          const BulkJob& job,
                          const std::string& item) {
  LoadSubmission(
      job.id, store_,
      [this, client, id = job.id,
       item](Result<std::vector<platform::SubmittedItem>> items) {
        if (!items) {
          RefuseUnavailable(client, id, items.error().message);
          return;
        }
        for (platform::SubmittedItem& candidate : items.value()) {
          if (candidate.id == item) {
            send_response_(
                client,
                CompleteResponse{
                    .status = 200,
                    .headers = {{"Content-Type", "application/octet-stream"}},
                    .body = std::move(candidate.body)});
            return;
          }
        }
        send_response_(client, Refusal{.code = RefusalCode::kNotFound,
                                       .reason = "no such item"});
      });
}

void JobApi::MarkJobEnded(ClientCallId client, const BulkJob& job) {
  writer_.Add(job.id,
              {.apply =
                   [](BulkJob& state, RowsTransaction&) {
                     return std::exchange(state.is_ended, true)
                                ? JobWriter::Outcome::kAlreadyApplied
                                : JobWriter::Outcome::kChanged;
                   },
               .done =
                   [this, client, id = job.id](JobWriter::Outcome outcome) {
                     if (outcome == JobWriter::Outcome::kObsolete ||
                         outcome == JobWriter::Outcome::kRejected) {
                       RefuseUnavailable(client, id,
                                         "the state of the job is unreadable");
                       return;
                     }
                     LogDecision(
                         LogEvent::kJobEnded, "job", id, "was_ended",
                         outcome == JobWriter::Outcome::kAlreadyApplied);
                     send_response_(client, EmptyObject(200));
                   }});
}

void LoadSubmission(
    const std::string& job,
    StoreClient& store,
    std::function<void(Result<std::vector<platform::SubmittedItem>>)> done) {
  const RowKey key = job_rows::Submission(job);
  store.Send(
      RowsRead{.table = key.table,
               .part = key.part,
               .from = key.key,
               .to = key.key + '\0'},
      [&store, job, done = std::move(done)](StoreResponse response) {
        if (response.status != StoreStatus::kDone || response.rows.empty() ||
            response.rows[0].value.empty()) {
          done(Error{ErrorCode::kUnavailable,
                     "the submission cannot be read: " + response.reason});
          return;
        }
        const std::string& value = response.rows[0].value;
        if (value[0] == kInlineBody) {
          done(platform::DecodeSubmission(value.substr(1)));
          return;
        }
        store.Send(
            ObjectRead{job_rows::SubmissionObject(job)},
            [done](const StoreResponse& object) {
              if (object.status != StoreStatus::kDone) {
                done(Error{ErrorCode::kUnavailable,
                           "the submission cannot be read: " + object.reason});
                return;
              }
              done(platform::DecodeSubmission(object.data));
            });
      });
}

}  // namespace carawayrelay
