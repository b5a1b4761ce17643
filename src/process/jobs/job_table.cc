#include "process/jobs/job_table.h"

#include <array>
#include <cstdio>
#include <set>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace job_rows {
namespace {

constexpr int kParts = 8;

std::string PartOf(const std::string& job) {
  // FNV-1a, because the part must be the same in all processes and builds.
  std::uint32_t hash = 2166136261U;
  for (const char c : job) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  return "p" + std::to_string(hash % kParts);
}

// Zero-padded, so that the keys of one job sort by number.
std::string NumberedKey(const std::string& job, size_t number) {
  std::array<char, 16> digits{};
  std::snprintf(digits.data(), digits.size(), "/%06zu", number);
  return job + digits.data();
}

}  // namespace

std::vector<std::string> Parts() {
  std::vector<std::string> parts;
  parts.reserve(kParts);
  for (int i = 0; i < kParts; ++i) {
    parts.push_back("p" + std::to_string(i));
  }
  return parts;
}

RowKey State(const std::string& job) {
  return {.table = kStates, .part = PartOf(job), .key = job};
}

RowKey Submission(const std::string& job) {
  return {.table = kSubmissions, .part = PartOf(job), .key = job};
}

RowKey Result(const std::string& job, size_t position) {
  return {.table = kResults,
          .part = PartOf(job),
          .key = NumberedKey(job, position)};
}

RowKey Partial(const std::string& job, size_t item) {
  return {
      .table = kPartials, .part = PartOf(job), .key = NumberedKey(job, item)};
}

std::string SubmissionObject(const std::string& job) {
  return "job-submission-" + job;
}

std::string ResultObject(const std::string& job, size_t item) {
  return "job-result-" + job + "-" + std::to_string(item);
}

}  // namespace job_rows

void JobTable::Apply(const std::vector<StoredRow>& rows, bool is_full) {
  if (is_full) {
    std::set<std::string> present;
    for (const StoredRow& row : rows) {
      present.insert(row.key.key);
    }
    std::erase_if(
        jobs_, [&](const auto& item) { return !present.contains(item.first); });
  }
  for (const StoredRow& row : rows) {
    Put(row);
  }
}

const JobTable::Entry* JobTable::Put(const StoredRow& row) {
  const std::string& id = row.key.key;
  if (row.is_removed || row.version == 0) {
    jobs_.erase(id);
    return nullptr;
  }
  const auto existing = jobs_.find(id);
  if (existing != jobs_.end() && existing->second.version >= row.version) {
    return &existing->second;
  }
  carawayrelay::Result<BulkJob> job = DecodeBulkJob(id, row.value);
  if (!job) {
    LogDecision(LogEvent::kJobRowUnreadable, "job", id, "version", row.version,
                "reason", job.error().message);
    return nullptr;
  }
  Entry& entry = jobs_[id];
  entry = {.job = std::move(job).value(), .version = row.version};
  return &entry;
}

const JobTable::Entry* JobTable::Replace(const StoredRow& row) {
  jobs_.erase(row.key.key);
  return Put(row);
}

const JobTable::Entry* JobTable::Find(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::int64_t JobTable::PendingTokens(const std::string& workspace,
                                     const std::string& route) const {
  std::int64_t tokens = 0;
  for (const auto& [id, entry] : jobs_) {
    if (!entry.job.is_ended && entry.job.workspace == workspace &&
        entry.job.route == route) {
      tokens += entry.job.PendingTokens();
    }
  }
  return tokens;
}

}  // namespace carawayrelay
