#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/store/store_request.h"
#include "request/boot_clock.h"
#include "request/bulk_job.h"

namespace carawayrelay {

// Tables, keys and object names of batch jobs in the store. All rows of one job
// are in the same part, so that one transaction can change them; several parts
// spread the load of writes.
namespace job_rows {

inline constexpr const char* kStates = "jobs";
inline constexpr const char* kSubmissions = "job_submissions";
inline constexpr const char* kResults = "job_results";
inline constexpr const char* kPartials = "job_partials";
// Largest value, in bytes before encoding, that fits into one row.
inline constexpr size_t kMaxValueBytes = 45000;

std::vector<std::string> Parts();
RowKey State(const std::string& job);
RowKey Submission(const std::string& job);
RowKey Result(const std::string& job, size_t position);
RowKey Partial(const std::string& job, size_t item);
std::string SubmissionObject(const std::string& job);
std::string ResultObject(const std::string& job, size_t item);

}  // namespace job_rows

// The batch jobs of which this process has a state, each at the newest version
// received. Must be used on the event loop thread only.
class JobTable {
 public:
  struct Entry {
    BulkJob job;
    std::uint64_t version = 0;
  };

  // Applies rows of the table of job states. If `is_full`, jobs that are not in
  // `rows` are removed.
  void Apply(const std::vector<StoredRow>& rows, bool is_full);
  // Applies one row unless the table has the same or a newer version. Returns
  // the entry, or nullptr if the row does not exist or cannot be decoded.
  const Entry* Put(const StoredRow& row);
  // Applies the row even if the table has a newer version, because the rows
  // that a failed transaction returns are authoritative.
  const Entry* Replace(const StoredRow& row);
  // Records that all changes before `at` have been applied.
  void SetUpToDateAt(std::optional<TimePoint> at) { up_to_date_at_ = at; }
  // Returns whether the table reflects the store as of at most `age` ago.
  bool IsCurrent(std::chrono::milliseconds age, TimePoint now) const {
    return up_to_date_at_ && now - *up_to_date_at_ <= age;
  }
  const Entry* Find(const std::string& job) const;
  const std::map<std::string, Entry>& jobs() const { return jobs_; }
  // Number of tokens of the workspace's items that are waiting or running on
  // the route.
  std::int64_t PendingTokens(const std::string& workspace,
                             const std::string& route) const;

 private:
  std::map<std::string, Entry> jobs_;
  std::optional<TimePoint> up_to_date_at_;
};

}  // namespace carawayrelay
