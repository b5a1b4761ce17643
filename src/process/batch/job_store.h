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

// A job that is not known to have ended; a row of the index.
struct ActiveJob {
  std::string id;
  std::string workspace;
  std::vector<std::string> models;
};

// Files and jobs of the callers in the platform's store. Blocking.
//
// Errors are those of PlatformClient. kUnknown means that the write may have
// taken effect; repeating the call with the same arguments is safe.
class JobStore {
 public:
  struct Options {
    size_t segment_bytes = size_t{1} << 20;
  };

  JobStore(StoreAccess access, Options options);

  // Stores an uploaded file that has no findings. The id follows from workspace
  // and content, so that a resend finds the first file.
  Result<FileRecord> SaveFile(const std::string& workspace,
                              const std::string& filename,
                              const std::string& content,
                              const std::vector<std::string>& models,
                              std::chrono::sys_seconds now);
  Result<FileRecord> ReadFile(const std::string& workspace,
                              const std::string& id);
  Result<std::string> ReadFileContent(const FileRecord& file);

  // Makes a job durable, after which entries find it. Returns the stored job,
  // which is an earlier one when the id was used for the same content. Fails
  // with kConflict when it was used for other content.
  Result<JobRecord> SaveJob(const JobRecord& job);
  Result<JobRecord> ReadJob(const std::string& workspace,
                            const std::string& id);
  // Jobs whose id is greater than `after`, in the order of ids.
  Result<std::vector<JobRecord>> ListJobs(const std::string& workspace,
                                          const std::string& after,
                                          size_t limit);
  // Counts the items that have a result so far.
  Result<JobCounts> CountResults(const JobRecord& job);
  // Ends a running job; its results are those committed before. A job that has
  // ended is returned as it is.
  Result<JobRecord> CancelJob(const std::string& workspace,
                              const std::string& id,
                              std::chrono::sys_seconds now);
  // The lines of one kind of an ended job, in the order of its items.
  Result<std::string> ReadResults(const JobRecord& job, ResultKind kind);

  // A page of the index, of ids greater than `after`.
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
