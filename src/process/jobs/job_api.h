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

// Batch jobs as their clients see them at one entry: acceptance, results,
// bodies and the end of a job. A job is accepted once its submission and state
// are in the store.
class JobApi {
 public:
  using Answer = std::function<void(ClientId, ClientAnswer)>;

  JobApi(JobTable& jobs,
         JobWriter& writer,
         StoreClient& store,
         const EventLoopClock& clock,
         Answer answer)
      : jobs_(jobs),
        writer_(writer),
        store_(store),
        clock_(clock),
        answer_(std::move(answer)) {}

  // Takes a submission on a route whose workspace was checked.
  void Submit(ClientCall call,
              const ServingRoute& route,
              const ServingWorkspace& workspace,
              TimePoint now);
  // Answers a call about a job of the workspace. `is_current` tells whether
  // the known jobs are up to date.
  void Handle(ClientId client,
              platform::JobCall call,
              const std::string& workspace,
              bool is_current);
  // Repeats writes that failed, when they are due.
  void Tick(TimePoint now);

 private:
  // A submission on its way into the store.
  struct Submission {
    ClientId client{0};
    BulkJob job;
    std::string body;
    TimePoint arrived{};
    bool object_written = false;
    // Whether an unanswered write may still take effect.
    bool may_exist = false;
    bool is_running = false;
    TimePoint retry_at{};
    int failures = 0;
  };

  void Store(const std::string& job, TimePoint now);
  void WriteObject(const std::string& job);
  void WriteRows(const std::string& job);
  void OnStored(const std::string& job, const StoreReply& reply);
  void RetrySubmission(const std::string& job, const StoreReply& reply);
  void FinishSubmission(const std::string& job,
                        ClientAnswer answer,
                        const std::string& outcome);
  std::int64_t ReservedTokens(const BulkJob& job) const;

  // Finds the job of the workspace, in the store when it is not known or
  // `is_current` is not set, and calls `then`. Answers itself when there is
  // none.
  void WithJob(ClientId client,
               const std::string& job,
               const std::string& workspace,
               bool is_current,
               std::function<void(const BulkJob&)> then);
  void SendResults(ClientId client, const BulkJob& job, size_t from);
  void SendItemBody(ClientId client,
                    const BulkJob& job,
                    const std::string& item);
  void End(ClientId client, const BulkJob& job);
  void Unavailable(ClientId client,
                   const std::string& job,
                   const std::string& reason);

  JobTable& jobs_;
  JobWriter& writer_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  Answer answer_;
  std::map<std::string, Submission> submissions_;
};

// Reads the stored submission of a job and hands it over, or nothing when it
// cannot be read now.
void LoadSubmission(
    const std::string& job,
    StoreClient& store,
    std::function<void(Result<std::vector<platform::SubmittedItem>>)> done);

}  // namespace carawayrelay
