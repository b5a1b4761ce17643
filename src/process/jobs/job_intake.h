#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "process/jobs/job_table.h"
#include "process/jobs/submission_layout.h"
#include "process/store/store_client.h"
#include "process/store/store_transfer_queue.h"
#include "request/client_call.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Accepts batch jobs at one frontend. A job is accepted once its submission and
// state are in the store. Bodies that do not fit into one row are stored in
// segments first. A write that failed is repeated by itself, and a client that
// submits the job again, to any frontend, finds the segments that exist. Must
// be used on the event loop thread only.
class JobIntake {
 public:
  using ResponseCallback =
      std::function<void(ClientCallId, ClientResponseEvent)>;

  // What a submission is accepted under.
  struct Access {
    const ServingRoute& route;
    const ServingWorkspace& workspace;
    ConfigVersion config_version = kNoConfig;
  };

  // The referenced objects must outlive this one.
  JobIntake(JobTable& jobs,
            StoreClient& store,
            StoreTransferQueue& transfers,
            const EventLoopClock& clock,
            std::uint64_t seed,
            ResponseCallback send_response)
      : jobs_(jobs),
        store_(store),
        transfers_(transfers),
        clock_(clock),
        random_(seed),
        send_response_(std::move(send_response)) {}

  // Stores a submission on a route that the workspace may use. Sends one
  // response: when the submission is refused, when it is stored, or when it
  // could not be stored in time.
  void Submit(const ClientCall& call, const Access& access, TimePoint now);
  // Retries failed writes that are due, and refuses submissions that could not
  // be stored in time.
  void Tick(TimePoint now);

 private:
  // A submission that is being written to the store.
  struct Submission {
    ClientCallId client{0};
    BulkJob job;
    // Value of the row of the submission.
    std::string row;
    TimePoint arrived{};
    size_t segments_left = 0;  // to be written before the rows
    // A write without a response may still take effect.
    bool may_exist = false;
    bool is_running = false;  // a write is in progress
    TimePoint retry_at{};
    int failures = 0;
  };

  // Sends the response if it needs no write of the store: the job exists
  // already, is being stored, or does not fit. Returns whether it did.
  bool RespondWithoutWrite(const ClientCall& call,
                           const ServingWorkspace& workspace);
  bool IsOverLimit(const BulkJob& job, const ServingRoute& route) const;
  std::int64_t ReservedTokens(const BulkJob& job) const;
  // Begins to write the segments of a body, and returns the layout.
  SubmissionLayout WriteSegments(const std::string& job,
                                 const std::string& body,
                                 std::vector<std::string> item_ids);
  void OnSegmentWritten(const std::string& job, const StoreResponse& response);
  void StoreRows(const std::string& job, TimePoint now);
  void OnStored(const std::string& job, const StoreResponse& response);
  void Retry(const std::string& job, const StoreResponse& response);
  void Reject(const std::string& job);
  void FinishUnstored(const std::string& job);
  void Finish(const std::string& job,
              ClientResponseEvent response,
              const std::string& outcome);

  JobTable& jobs_;
  StoreClient& store_;
  StoreTransferQueue& transfers_;
  const EventLoopClock& clock_;
  std::mt19937_64 random_;
  ResponseCallback send_response_;
  std::map<std::string, Submission> submissions_;
};

}  // namespace carawayrelay
