#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/batch/batch_api.h"
#include "process/batch/batch_event.h"
#include "process/store/blocking_store_client.h"
#include "process/transport/http_server.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// An authenticated HTTP request to the files and batches interface.
struct BatchHttpRequest {
  HttpRequest request;
  std::string workspace;
  ConfigPtr config;
  HttpExchangePtr exchange;
};

// The `batch-api` thread, which serves files and batches. It is separate from
// the `batch-store` thread so that a long upload cannot delay the renewal of
// the session lease.
class BatchApiThread {
 public:
  // Receives events for the dispatcher on the `batch-api` thread. May block.
  using Deliver = std::function<void(BatchEvent event)>;

  struct Options {
    BatchApi::Options api;
    JobStore::Options store;
    BlockingStoreClient::Options store_client;
    size_t queue_capacity = 256;
    // Limit on the total size of the request bodies that are queued or being
    // served.
    size_t max_queued_bytes = size_t{256} << 20;
  };

  static Result<std::unique_ptr<BatchApiThread>> Make(const Options& options,
                                                      Deliver deliver);
  ~BatchApiThread();

  // Returns false and leaves the request unchanged when the queue is full or
  // the limit on queued bytes would be exceeded. Any thread may call it.
  bool TryEnqueue(BatchHttpRequest& batch_request);
  // Serves the requests that are already queued, then joins the thread.
  void Stop();

 private:
  BatchApiThread(const Options& options,
                 std::unique_ptr<BlockingStoreClient> client,
                 Deliver deliver);

  void Run();

  Options options_;
  std::unique_ptr<BlockingStoreClient> client_;
  JobStore store_;
  BatchApi api_;
  Deliver deliver_;
  Ring<BatchHttpRequest> requests_;
  std::atomic<size_t> queued_bytes_ = 0;
  std::thread thread_;
};

}  // namespace carawayrelay
