#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/file_record.h"
#include "process/batch/job_record.h"

namespace carawayrelay {

// The file that holds the lines of one kind of an ended job.
struct ResultFile {
  std::string job;
  ResultKind kind = ResultKind::kOutput;
};

std::string ResultFileId(const ResultFile& file);
// Nothing when `id` does not name a result file.
std::optional<ResultFile> ParseResultFileId(const std::string& id);

// The "file" object of an uploaded file.
std::string FileJson(const FileRecord& file);
std::string ResultFileJson(const ResultFile& file,
                           const JobRecord& job,
                           size_t bytes);
// The "batch" object of a job, of which `counts` items have a result.
std::string BatchJson(const JobRecord& job, const JobCounts& counts);
// The "list" object of a page of jobs.
std::string BatchListJson(const std::vector<JobRecord>& jobs, bool has_more);

}  // namespace carawayrelay
