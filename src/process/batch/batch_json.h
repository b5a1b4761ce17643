#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/file_record.h"
#include "process/batch/job_record.h"

namespace carawayrelay {

// Identifies the output file or the error file of an ended job.
struct ResultFile {
  std::string job;
  ResultKind kind = ResultKind::kOutput;
};

std::string ResultFileId(const ResultFile& file);
// Returns nothing when `id` is not the id of a result file.
std::optional<ResultFile> ParseResultFileId(const std::string& id);

// Returns the "file" object of an uploaded file.
std::string FileJson(const FileRecord& file);
// Returns the "file" object of a result file of `bytes` bytes.
std::string ResultFileJson(const ResultFile& file,
                           const JobRecord& job,
                           size_t bytes);
// Returns the "batch" object of a job; `counts` are its items with a result.
std::string BatchJson(const JobRecord& job, const JobCounts& counts);
// Returns the "list" object of a page of jobs. Uses the counts in each record.
std::string BatchListJson(const std::vector<JobRecord>& jobs, bool has_more);

}  // namespace carawayrelay
