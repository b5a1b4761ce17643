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
  std::vector<std::pair<Edit, Outcome>> writing;
  for (Edit& edit : std::exchange(pending.waiting, {})) {
    const Outcome outcome = edit.apply(state, transaction);
    // Once `state` holds a change that is not written, other outcomes depend on
    // the write too.
    const bool needs_write = outcome == Outcome::kChanged || !writing.empty();
    (needs_write ? writing : finished).emplace_back(std::move(edit), outcome);
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
  std::vector<Edit> again;
  again.reserve(edits.size());
  for (auto& [edit, outcome] : edits) {
    again.push_back(std::move(edit));
  }
  pending.waiting.insert(pending.waiting.begin(),
                         std::make_move_iterator(again.begin()),
                         std::make_move_iterator(again.end()));
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

void JobWriter::ScheduleRetry(const std::string& job, bool must_read) {
  Pending& pending = pending_[job];
  pending.must_read |= must_read;
  pending.retry_at =
      clock_.now() +
      kFirstRetry * (1 << std::min(pending.failures, kMaxDoublings));
  ++pending.failures;
}

}  // namespace carawayrelay
