#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/batch/batch_event.h"
#include "process/batch/job_store.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// Serves the HTTP interface for files and batch jobs. The JSON objects have the
// fields that common client libraries for batch inference expect. Calls block
// on the store.
class BatchApi {
 public:
  struct Options {
    std::uint64_t items_per_chunk = 100;
  };

  struct Response {
    int http_status = 200;
    HttpHeaders headers;
    std::string body;
    // Event to send to the dispatcher now, so that it acts before it next lists
    // the active jobs.
    std::optional<BatchEvent> event;
  };

  // `random_id` returns a different value on each call. `store` must outlive
  // this object.
  BatchApi(JobStore& store,
           Options options,
           std::function<std::string()> random_id);

  // True for paths of the files and batches interface, which Handle() serves.
  static bool IsBatchPath(const std::string& path);

  // `workspace` is the workspace of the client's key.
  Response Handle(const HttpRequest& request,
                  const std::string& workspace,
                  const ConfigSnapshot& config,
                  std::chrono::sys_seconds now);

 private:
  Response CreateFile(const HttpRequest& request,
                      const std::string& workspace,
                      std::chrono::sys_seconds now);
  Response GetFile(const std::string& workspace, const std::string& id);
  Response GetFileContent(const std::string& workspace, const std::string& id);
  Response CreateJob(const HttpRequest& request,
                     const std::string& workspace,
                     const ConfigSnapshot& config,
                     std::chrono::sys_seconds now);
  Response GetJob(const std::string& workspace, const std::string& id);
  Response ListJobs(const HttpRequest& request, const std::string& workspace);
  Response CancelJob(const std::string& workspace,
                     const std::string& id,
                     std::chrono::sys_seconds now);

  JobStore& store_;
  Options options_;
  std::function<std::string()> random_id_;
};

}  // namespace carawayrelay
