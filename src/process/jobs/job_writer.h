#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "process/jobs/job_table.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_request.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Changes job states in the store with optimistic concurrency control: a write
// succeeds only if the row still has the expected version. Edits of one job
// that wait at the same time are written in one transaction, as many as the
// store takes; the rest follows in the next ones. If the response to
// a write is lost, the row is read and the edits are applied to the state read,
// so an edit must recognize its own effect. Must be used on the event loop
// thread only.
class JobWriter {
 public:
  enum class Outcome {
    kChanged,         // the edit changed the state, which must be written
    kAlreadyApplied,  // the state has the effect of the edit
    kObsolete,        // the edit no longer applies, or there is no such job
    kRejected,  // never returned by `apply`: the store takes no such write
  };
  struct Edit {
    // Changes `job` and adds rows to `transaction` that must be written or
    // removed with it. May run several times.
    std::function<Outcome(BulkJob& job, RowsTransaction& transaction)> apply;
    // Called once, with the result of `apply`, with kObsolete if the job does
    // not exist, or with kRejected if the store refuses this edit for good.
    // After a kChanged, and for edits that `apply` decided on a state with
    // changes of others that are not written yet, it waits for the write.
    std::function<void(Outcome)> done;
  };

  JobWriter(JobTable& jobs, StoreSender store, const EventLoopClock& clock)
      : jobs_(jobs), store_(std::move(store)), clock_(clock) {}

  // Queues the edit. It runs in a later Tick(), never from here, so that
  // callers may add edits while they iterate over their own state.
  void Add(const std::string& job, Edit edit);
  // Writes queued edits and retries failed reads and writes that are due. Must
  // be called regularly: queued edits and retries start here only.
  void Tick(TimePoint now);

 private:
  struct Pending {
    std::deque<Edit> waiting;
    // Edits of the running transaction, with their outcomes if it succeeds.
    std::vector<std::pair<Edit, Outcome>> writing;
    bool is_running = false;  // a read or a write is in progress
    // The state must be read before the next write, because the outcome of a
    // write is unknown or the table has no usable state.
    bool must_read = false;
    // The store rejected a transaction of several edits. They are written one
    // by one until the one at fault is found.
    bool is_isolating = false;
    int failures = 0;
    TimePoint retry_at{};
  };

  void ReadOrWrite(const std::string& job, TimePoint now);
  void Read(const std::string& job);
  void Write(const std::string& job);
  // Applies waiting edits to `state` until the next one would make the
  // transaction too large, and moves them to `pending.writing`, or to
  // `finished` if they need no write.
  static void ApplyEdits(Pending& pending,
                         BulkJob& state,
                         RowsTransaction& transaction,
                         std::vector<std::pair<Edit, Outcome>>& finished);
  void OnWritten(const std::string& job, const StoreResponse& response);
  // Handles a transaction that the store refuses for good.
  void OnRejected(const std::string& job,
                  std::vector<std::pair<Edit, Outcome>> edits,
                  const StoreResponse& response);
  // Puts edits that were not written back to the front of those that wait.
  static void RequeueEdits(Pending& pending,
                           std::vector<std::pair<Edit, Outcome>> edits);
  void ScheduleRetry(const std::string& job, bool must_read);

  JobTable& jobs_;
  StoreSender store_;
  const EventLoopClock& clock_;
  std::map<std::string, Pending> pending_;
};

}  // namespace carawayrelay
