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

// Performs the store operations of the batch dispatcher and renews the session
// of the entry. All calls block until the store has responded, and must come
// from one thread.
class BatchStoreWorker {
 public:
  using Deliver = std::function<void(BatchEvent event)>;

  struct Options {
    std::string node;
    SessionLease::Options lease;
  };

  // Sources of time and of random ids. Tests replace them by deterministic
  // ones.
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
  // Renews the session, or starts one when none has started. When the session
  // is lost, the next call starts a new one. Delivers SessionChanged on a
  // renewal and on a loss.
  void Renew();
  // Performs the operation and delivers its result event.
  void Perform(const BatchStoreRequest& request);
  // Marks the session lapsed, so that other entries can claim its chunks
  // without waiting for its lease time.
  void EndSession();

 private:
  SessionLease MakeLease() const;
  // Logs a failure unless the operation before failed as well. `error` is null
  // after a success.
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
