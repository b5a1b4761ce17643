#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "platform/job_codec.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/jobs/submission_reader.h"
#include "process/store/store_client.h"
#include "process/store/store_transfer_queue.h"
#include "request/client_call.h"

namespace carawayrelay {

// Handles client requests about accepted batch jobs at one frontend: results,
// item bodies and the end of a job. Must be used on the event loop thread only.
class JobApi {
 public:
  using ResponseCallback =
      std::function<void(ClientCallId, ClientResponseEvent)>;

  // The referenced objects must outlive this one.
  JobApi(JobTable& jobs,
         JobWriter& writer,
         StoreClient& store,
         StoreTransferQueue& transfers,
         ResponseCallback send_response)
      : jobs_(jobs),
        writer_(writer),
        store_(store),
        transfers_(transfers),
        send_response_(std::move(send_response)) {}

  // Handles a request about a job of the workspace and sends one response.
  // If `is_current` is false, the job table may be out of date, and the state
  // of the job is read from the store before results are sent.
  void Handle(ClientCallId client,
              platform::JobCall call,
              const std::string& workspace,
              bool is_current);

 private:
  // Finds the job of the workspace and calls `then`. Reads the job from the
  // store if it is not in the table or `is_current` is false. Sends a refusal
  // if there is no such job, the job belongs to another workspace, or the store
  // cannot be read.
  void WithJob(ClientCallId client,
               const std::string& job,
               const std::string& workspace,
               bool is_current,
               std::function<void(const BulkJob&)> then);
  void SendResults(ClientCallId client, const BulkJob& job, size_t from);
  void SendItemBody(ClientCallId client,
                    const BulkJob& job,
                    const std::string& item);
  void MarkJobEnded(ClientCallId client, const BulkJob& job);
  void RefuseUnavailable(ClientCallId client,
                         const std::string& job,
                         const std::string& reason);

  JobTable& jobs_;
  JobWriter& writer_;
  StoreClient& store_;
  StoreTransferQueue& transfers_;
  SubmissionReader submissions_{transfers_};
  ResponseCallback send_response_;
};

}  // namespace carawayrelay
