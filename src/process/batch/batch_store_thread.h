#pragma once

#include <memory>
#include <string>
#include <thread>

#include "carawayrelay/request.h"
#include "process/batch/batch_event.h"
#include "process/batch/batch_store_worker.h"
#include "process/store/blocking_store_client.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// The `batch-store` thread: performs the store operations of the dispatcher and
// renews the session, so that a slow store never holds up results of agents.
class BatchStoreThread {
 public:
  struct Options {
    BatchStoreWorker::Options worker;
    BlockingStoreClient::Options platform;
    size_t request_capacity = 256;
  };

  // Starts the thread. `deliver` is called from it and may block.
  static Result<std::unique_ptr<BatchStoreThread>> Make(
      const Options& options,
      BatchStoreWorker::Deliver deliver);
  ~BatchStoreThread();

  // Returns false when the ring is full.
  bool TryRequest(BatchStoreRequest request);
  // Performs what is in the ring, ends the session and joins the thread.
  void Stop();

 private:
  BatchStoreThread(const Options& options,
                   std::unique_ptr<BlockingStoreClient> client,
                   BatchStoreWorker::Deliver deliver);

  void Run();

  std::unique_ptr<BlockingStoreClient> client_;
  BatchStoreWorker worker_;
  Ring<BatchStoreRequest> requests_;
  std::thread thread_;
};

// A value that no other call of any process returns.
std::string RandomId();

}  // namespace carawayrelay
