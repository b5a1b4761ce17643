#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "platform/job_codec.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/store/store_client.h"
#include "request/client_call.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Handles client requests about batch jobs at one frontend: submission,
// results, item bodies and the end of a job. A job is accepted once its
// submission and state are in the store. Must be used on the event loop thread
// only.
class JobApi {
 public:
  using ResponseCallback =
      std::function<void(ClientCallId, ClientResponseEvent)>;

  JobApi(JobTable& jobs,
         JobWriter& writer,
         StoreClient& store,
         const EventLoopClock& clock,
         ResponseCallback send_response)
      : jobs_(jobs),
        writer_(writer),
        store_(store),
        clock_(clock),
        send_response_(std::move(send_response)) {}

  // What a submission is accepted under.
  struct Access {
    const ServingRoute& route;
    const ServingWorkspace& workspace;
    ConfigVersion config_version = kNoConfig;
  };

  // Stores a submission on a route that the workspace may use. Sends one
  // response: when the submission is refused, when it is stored, or when it
  // could not be stored in time.
  void Submit(ClientCall call, const Access& access, TimePoint now);
  // Handles a request about a job of the workspace and sends one response.
  // If `is_current` is false, the job table may be out of date, and the state
  // of the job is read from the store before results are sent.
  void Handle(ClientCallId client,
              platform::JobCall call,
              const std::string& workspace,
              bool is_current);
  // Retries failed writes that are due, and refuses submissions that could not
  // be stored in time.
  void Tick(TimePoint now);

 private:
  // A submission that is being written to the store.
  struct Submission {
    ClientCallId client{0};
    BulkJob job;
    std::string body;
    TimePoint arrived{};
    bool object_written = false;
    // A write without a response may still take effect.
    bool may_exist = false;
    bool is_running = false;  // a write is in progress
    TimePoint retry_at{};
    int failures = 0;
  };

  void StoreSubmission(const std::string& job, TimePoint now);
  void WriteObject(const std::string& job);
  void WriteRows(const std::string& job);
  void OnStored(const std::string& job, const StoreResponse& response);
  void RetrySubmission(const std::string& job, const StoreResponse& response);
  void FinishSubmission(const std::string& job,
                        ClientResponseEvent response,
                        const std::string& outcome);
  std::int64_t ReservedTokens(const BulkJob& job) const;

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
  const EventLoopClock& clock_;
  ResponseCallback send_response_;
  std::map<std::string, Submission> submissions_;
};

// Reads the stored submission of a job and passes its items to `done`, or the
// error if they cannot be read or decoded. `store` must outlive the call.
void LoadSubmission(
    const std::string& job,
    StoreClient& store,
    std::function<void(Result<std::vector<platform::SubmittedItem>>)> done);

}  // namespace carawayrelay
