#include "process/jobs/job_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kFirstRetry{20};
constexpr int kMaxDoublings = 4;

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
  store_(RowsRead{.table = key.table,
                  .part = key.part,
                  .from = key.key,
                  .to = key.key + '\0'},
         [this, job](StoreResponse reply) {
           const TimePoint now = clock_.now();
           Pending& p = pending_[job];
           p.is_running = false;
           if (reply.status != StoreStatus::kDone) {
             ScheduleRetry(job, /*must_read=*/true);
             return;
           }
           p.must_read = false;
           if (!reply.rows.empty() && jobs_.Put(reply.rows[0]) != nullptr) {
             ReadOrWrite(job, now);
             return;
           }
           // The job does not exist or its row cannot be decoded.
           std::vector<Edit> edits = std::move(p.waiting);
           pending_.erase(job);
           for (Edit& edit : edits) {
             edit.done(Outcome::kObsolete);
           }
         });
}

void JobWriter::Write(const std::string& job) {
  Pending& pending = pending_[job];
  const JobTable::Entry& entry = *jobs_.Find(job);
  BulkJob state = entry.job;
  RowsTransaction transaction;
  std::vector<std::pair<Edit, Outcome>> finished;
  std::vector<Edit> writing;
  for (Edit& edit : std::exchange(pending.waiting, {})) {
    const Outcome outcome = edit.apply(state, transaction);
    if (outcome == Outcome::kChanged) {
      writing.push_back(std::move(edit));
    } else {
      finished.emplace_back(std::move(edit), outcome);
    }
  }
  if (writing.empty()) {
    pending_.erase(job);
  } else {
    pending.is_running = true;
    pending.writing = std::move(writing);
    const RowKey key = job_rows::State(job);
    transaction.expected.push_back({.key = key, .version = entry.version});
    const std::string value = EncodeBulkJob(state);
    transaction.writes.push_back({.key = key, .value = value});
    store_(std::move(transaction), [this, job, key,
                                    value](const StoreResponse& reply) {
      if (reply.status == StoreStatus::kDone) {
        jobs_.Put({.key = key, .value = value, .version = reply.version});
      }
      OnWritten(job, reply);
    });
  }
  for (auto& [edit, outcome] : finished) {
    edit.done(outcome);
  }
}

void JobWriter::OnWritten(const std::string& job, const StoreResponse& reply) {
  Pending& pending = pending_[job];
  pending.is_running = false;
  std::vector<Edit> edits = std::exchange(pending.writing, {});
  if (reply.status == StoreStatus::kDone) {
    pending.failures = 0;
    if (pending.waiting.empty()) {
      pending_.erase(job);
    }
    for (Edit& edit : edits) {
      edit.done(Outcome::kChanged);
    }
    ReadOrWrite(job, clock_.now());
    return;
  }
  pending.waiting.insert(pending.waiting.begin(),
                         std::make_move_iterator(edits.begin()),
                         std::make_move_iterator(edits.end()));
  if (reply.status == StoreStatus::kConditionFailed) {
    bool has_state = false;
    for (const StoredRow& row : reply.rows) {
      has_state |=
          row.key.table == job_rows::kStates && jobs_.Replace(row) != nullptr;
    }
    pending.must_read = !has_state;
    ReadOrWrite(job, clock_.now());
    return;
  }
  ScheduleRetry(job, reply.status == StoreStatus::kUnknown);
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
