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

// The `batch-store` thread of an entry. It performs the blocking store
// operations of the batch dispatcher and renews the session, so that a slow
// store does not delay the processing of messages from agents.
class BatchStoreThread {
 public:
  struct Options {
    BatchStoreWorker::Options worker;
    BlockingStoreClient::Options platform;
    size_t request_capacity = 256;
  };

  // Starts the thread. `deliver` is called on that thread and may block. Fails
  // with the error of BlockingStoreClient::Make().
  static Result<std::unique_ptr<BatchStoreThread>> Make(
      const Options& options,
      BatchStoreWorker::Deliver deliver);
  ~BatchStoreThread();

  // Returns false when the request ring is full. Callable from any thread.
  bool TryRequest(BatchStoreRequest request);
  // Performs the requests in the ring, ends the session and joins the thread.
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

// Returns 128 random bits as hex digits, unique across processes and calls.
std::string RandomId();

}  // namespace carawayrelay
