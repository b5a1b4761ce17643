#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/store/store_call.h"
#include "request/boot_clock.h"
#include "request/bulk_job.h"

namespace carawayrelay {

// Where the rows of batch jobs are. All rows of one job are of one part, so
// that a transaction can change them together; the parts share the load of
// writes.
namespace job_rows {

inline constexpr const char* kStates = "jobs";
inline constexpr const char* kSubmissions = "job_submissions";
inline constexpr const char* kResults = "job_results";
inline constexpr const char* kPartials = "job_partials";
// Bytes of a value that fits into one row once it is encoded.
inline constexpr size_t kMaxValueBytes = 45000;

std::vector<std::string> Parts();
RowKey State(const std::string& job);
RowKey Submission(const std::string& job);
RowKey Result(const std::string& job, size_t position);
RowKey Partial(const std::string& job, size_t item);
std::string SubmissionObject(const std::string& job);
std::string ResultObject(const std::string& job, size_t item);

}  // namespace job_rows

// The batch jobs as this process knows them, at the newest version it saw.
class JobTable {
 public:
  struct Entry {
    BulkJob job;
    std::uint64_t version = 0;
  };

  // Takes rows of the table of job states.
  void Apply(const std::vector<StoredRow>& rows, bool is_full);
  // Takes one row unless a newer one is known. Returns the entry, or nullptr
  // when the row does not exist or cannot be read.
  const Entry* Put(const StoredRow& row);
  // Takes the row as it is, also in place of a newer version: what a refused
  // transaction returns is the truth.
  const Entry* Replace(const StoredRow& row);
  const Entry* Find(const std::string& job) const;
  const std::map<std::string, Entry>& jobs() const { return jobs_; }
  // Tokens of items of the workspace that wait or run on the route.
  std::int64_t PendingTokens(const std::string& workspace,
                             const std::string& route) const;

 private:
  std::map<std::string, Entry> jobs_;
};

}  // namespace carawayrelay
