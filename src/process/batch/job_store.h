#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/chunk_record.h"
#include "process/batch/file_record.h"
#include "process/batch/job_record.h"
#include "process/store/store_access.h"

namespace carawayrelay {

// A row of the index of active jobs. The row of an ended job may still exist.
struct ActiveJob {
  std::string id;
  std::string workspace;
  std::vector<std::string> models;
};

// Reads and writes the clients' files and jobs in the store. Calls block.
//
// Errors are those of BlockingStoreClient. kUnknown means that the write may
// have taken effect; repeating the call with the same arguments is safe.
class JobStore {
 public:
  struct Options {
    // Size limit of the segments of an uploaded file.
    size_t segment_bytes = size_t{1} << 20;
  };

  JobStore(StoreAccess access, Options options);

  // Stores an uploaded file that passed validation. Its id is derived from
  // workspace and content, so that a resent upload returns the file that exists
  // already.
  Result<FileRecord> SaveFile(const std::string& workspace,
                              const std::string& filename,
                              const std::string& content,
                              const std::vector<std::string>& models,
                              std::chrono::sys_seconds now);
  Result<FileRecord> ReadFile(const std::string& workspace,
                              const std::string& id);
  Result<std::string> ReadFileContent(const FileRecord& file);

  // Stores a job, after which entries find and run it. Returns the stored job,
  // or the existing job when the id is in use for the same content. Fails with
  // kConflict when the id is in use for other content.
  Result<JobRecord> SaveJob(const JobRecord& job);
  Result<JobRecord> ReadJob(const std::string& workspace,
                            const std::string& id);
  // Returns at most `limit` jobs whose id is greater than `after`, sorted by
  // id.
  Result<std::vector<JobRecord>> ListJobs(const std::string& workspace,
                                          const std::string& after,
                                          size_t limit);
  // Counts the items that have a result so far.
  Result<JobCounts> CountResults(const JobRecord& job);
  // Cancels a running job; the results committed before the cancellation stay
  // readable. Returns a job that has already ended unchanged.
  Result<JobRecord> CancelJob(const std::string& workspace,
                              const std::string& id,
                              std::chrono::sys_seconds now);
  // Returns the output or error lines of an ended job, in the order of its
  // items. Fails with kNotFound while the job runs.
  Result<std::string> ReadResults(const JobRecord& job, ResultKind kind);

  // Returns at most `limit` rows of the index whose id is greater than `after`.
  Result<std::vector<ActiveJob>> ReadActiveJobs(const std::string& after,
                                                size_t limit);
  // Removes a job that has ended from the index.
  Result<void> RemoveActiveJob(const std::string& id);

 private:
  Result<void> AddActiveJob(const JobRecord& job);
  Result<JobRecord> FindExistingJob(const JobRecord& job);

  StoreAccess access_;
  Options options_;
};

}  // namespace carawayrelay
