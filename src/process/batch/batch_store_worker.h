#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "carawayrelay/request.h"
#include "process/batch/batch_event.h"
#include "process/batch/chunk_store.h"
#include "process/batch/job_store.h"
#include "process/batch/session_lease.h"
#include "process/store/store_access.h"

namespace carawayrelay {

// Performs the store operations of the dispatcher and keeps the session of the
// entry. Blocking.
class BatchStoreWorker {
 public:
  using Deliver = std::function<void(BatchEvent event)>;

  struct Options {
    std::string node;
    SessionLease::Options lease;
  };

  // Where the worker takes values from that differ for each call.
  struct Sources {
    ChunkStore::Clock clock;
    std::function<std::chrono::sys_seconds()> wall_clock;
    std::function<std::string()> random_id;
  };

  BatchStoreWorker(Options options,
                   const StoreAccess& access,
                   Sources sources,
                   Deliver deliver);

  TimePoint next_renewal() const { return lease_.next_renewal(); }
  // Renews the session, or starts a new one after a loss.
  void Renew();
  void Perform(const BatchStoreRequest& request);
  // Ends the session, so that others need not wait for its lease time.
  void EndSession();

 private:
  SessionLease MakeLease() const;
  // Logs the first of a series of failures.
  void RecordOutcome(const char* operation, const Error* error);

  Options options_;
  Sources sources_;
  ChunkStore chunks_;
  JobStore jobs_;
  SessionLease lease_;
  Deliver deliver_;
  bool is_failing_ = false;
};

}  // namespace carawayrelay
