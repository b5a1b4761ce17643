#include "process/jobs/job_writer.h"

#include <algorithm>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kFirstRetry{20};
constexpr int kMaxDoublings = 4;

// Whether the store takes the transaction together with the row of the state
// and its condition, which are added last.
bool FitsWithState(const RowsTransaction& transaction) {
  constexpr size_t kStateEntries = 2;
  return transaction.CountEntries() + kStateEntries <=
             RowsTransaction::kMaxEntries &&
         transaction.CountBytes() + job_rows::kMaxValueBytes <=
             RowsTransaction::kMaxBytes;
}

}  // namespace

void JobWriter::Add(const std::string& job, Edit edit) {
  pending_[job].waiting.push_back(std::move(edit));
}

void JobWriter::Tick(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [job, pending] : pending_) {
    if (!pending.is_running && now >= pending.retry_at) {
      due.push_back(job);
    }
  }
  for (const std::string& job : due) {
    ReadOrWrite(job, now);
  }
}

void JobWriter::ReadOrWrite(const std::string& job, TimePoint now) {
  const auto it = pending_.find(job);
  if (it == pending_.end() || it->second.is_running ||
      now < it->second.retry_at) {
    return;
  }
  if (it->second.must_read || jobs_.Find(job) == nullptr) {
    Read(job);
  } else {
    Write(job);
  }
}

void JobWriter::Read(const std::string& job) {
  Pending& pending = pending_[job];
  pending.is_running = true;
  const RowKey key = job_rows::State(job);
  store_(
      RowsRead{.table = key.table,
               .part = key.part,
               .from = key.key,
               .to = key.key + '\0'},
      [this, job](StoreResponse response) {
        const TimePoint now = clock_.now();
        Pending& p = pending_[job];
        p.is_running = false;
        if (response.status != StoreStatus::kDone) {
          ScheduleRetry(job, /*must_read=*/true);
          return;
        }
        p.must_read = false;
        if (!response.rows.empty() && jobs_.Put(response.rows[0]) != nullptr) {
          ReadOrWrite(job, now);
          return;
        }
        // The job does not exist or its row cannot be decoded.
        std::deque<Edit> edits = std::move(p.waiting);
        pending_.erase(job);
        for (Edit& edit : edits) {
          edit.done(Outcome::kObsolete);
        }
      });
}

void JobWriter::ApplyEdits(Pending& pending,
                           BulkJob& state,
                           RowsTransaction& transaction,
                           std::vector<std::pair<Edit, Outcome>>& finished) {
  while (!pending.waiting.empty()) {
    if (pending.is_isolating && !pending.writing.empty()) {
      return;
    }
    Edit& edit = pending.waiting.front();
    BulkJob next_state = state;
    RowsTransaction next = transaction;
    const Outcome outcome = edit.apply(next_state, next);
    if (!pending.writing.empty() && !FitsWithState(next)) {
      return;
    }
    state = std::move(next_state);
    transaction = std::move(next);
    // Once `state` holds a change that is not written, other outcomes depend on
    // the write too.
    const bool needs_write =
        outcome == Outcome::kChanged || !pending.writing.empty();
    (needs_write ? pending.writing : finished)
        .emplace_back(std::move(edit), outcome);
    pending.waiting.pop_front();
  }
}

void JobWriter::Write(const std::string& job) {
  Pending& pending = pending_[job];
  const JobTable::Entry& entry = *jobs_.Find(job);
  BulkJob state = entry.job;
  RowsTransaction transaction;
  std::vector<std::pair<Edit, Outcome>> finished;
  ApplyEdits(pending, state, transaction, finished);
  if (pending.writing.empty()) {
    pending_.erase(job);
  } else {
    pending.is_running = true;
    const RowKey key = job_rows::State(job);
    transaction.expected.push_back({.key = key, .version = entry.version});
    const std::string value = EncodeBulkJob(state);
    transaction.writes.push_back({.key = key, .value = value});
    store_(std::move(transaction), [this, job, key,
                                    value](const StoreResponse& response) {
      if (response.status == StoreStatus::kDone) {
        jobs_.Put({.key = key, .value = value, .version = response.version});
      }
      OnWritten(job, response);
    });
  }
  for (auto& [edit, outcome] : finished) {
    edit.done(outcome);
  }
}

void JobWriter::OnWritten(const std::string& job,
                          const StoreResponse& response) {
  Pending& pending = pending_[job];
  pending.is_running = false;
  std::vector<std::pair<Edit, Outcome>> edits =
      std::exchange(pending.writing, {});
  if (response.status == StoreStatus::kRejected) {
    OnRejected(job, std::move(edits), response);
    return;
  }
  if (response.status == StoreStatus::kDone) {
    pending.failures = 0;
    if (pending.waiting.empty()) {
      pending_.erase(job);
    }
    for (auto& [edit, outcome] : edits) {
      edit.done(outcome);
    }
    ReadOrWrite(job, clock_.now());
    return;
  }
  RequeueEdits(pending, std::move(edits));
  if (response.status == StoreStatus::kConditionFailed) {
    bool has_state = false;
    for (const StoredRow& row : response.rows) {
      has_state |=
          row.key.table == job_rows::kStates && jobs_.Replace(row) != nullptr;
    }
    pending.must_read = !has_state;
    ReadOrWrite(job, clock_.now());
    return;
  }
  ScheduleRetry(job, response.status == StoreStatus::kUnknown);
}

void JobWriter::RequeueEdits(Pending& pending,
                             std::vector<std::pair<Edit, Outcome>> edits) {
  for (auto it = edits.rbegin(); it != edits.rend(); ++it) {
    pending.waiting.push_front(std::move(it->first));
  }
}

void JobWriter::OnRejected(const std::string& job,
                           std::vector<std::pair<Edit, Outcome>> edits,
                           const StoreResponse& response) {
  Pending& pending = pending_[job];
  LogDecision(LogEvent::kJobWriteRejected, "job", job, "edits", edits.size(),
              "reason", response.reason);
  pending.is_isolating = edits.size() > 1;
  if (pending.is_isolating) {
    RequeueEdits(pending, std::move(edits));
  } else {
    if (pending.waiting.empty()) {
      pending_.erase(job);
    }
    edits.front().first.done(Outcome::kRejected);
  }
  ReadOrWrite(job, clock_.now());
}

void JobWriter::ScheduleRetry(const std::string& job, bool must_read) {
  Pending& pending = pending_[job];
  pending.must_read |= must_read;
  pending.retry_at =
      clock_.now() +
      kFirstRetry * (1 << std::min(pending.failures, kMaxDoublings));
  ++pending.failures;
}

}  // namespace carawayrelay
