#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/batch/batch_api_thread.h"
#include "process/batch/batch_dispatcher.h"
#include "process/batch/batch_event.h"
#include "process/batch/batch_store_thread.h"
#include "process/transport/link_thread.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// The `batch` thread of an entry, which runs the batch dispatcher. Owns the
// `batch-store` and `batch-api` threads, which make the blocking store calls
// and serve the HTTP interface.
class BatchThread {
 public:
  // Sends a message on a batch connection. Called on the `batch` thread; may
  // block.
  using Send = std::function<void(ConnectionId connection, Message message)>;

  struct Options {
    std::string node;
    BlockingStoreClient::Options platform;
    BatchDispatcher::Options dispatcher;
    SessionLease::Options lease;
    BatchApi::Options api;
    JobStore::Options store;
    size_t event_capacity = 16384;
    // Time limit for commits and releases in Stop(). Other entries claim the
    // remaining chunks once the session has lapsed.
    std::chrono::milliseconds stop_timeout{3000};
  };

  // Starts the threads. `on_space` is called when the event ring has free
  // capacity again after DeliverLink() returned false. Fails with kInvalid for
  // a malformed store URL.
  static Result<std::unique_ptr<BatchThread>>
  Make(const Options& options, Send send, std::function<void()> on_space);
  ~BatchThread();

  // Queues an event of a batch connection. Returns false and leaves the event
  // unchanged when the event ring is full.
  bool DeliverLink(LinkEvent& event);
  void SetConfig(ConfigPtr config);
  // Queues a request whose path BatchApi::IsBatchPath() accepts. Returns false,
  // leaves the call unchanged and does nothing else when the ring of calls is
  // full.
  bool TryCall(BatchHttpRequest& call);
  // Commits complete chunks and releases the others within `stop_timeout`, ends
  // the session and joins the threads.
  void Stop();

 private:
  BatchThread(const Options& options, Send send);

  void Run();
  void Perform(BatchAction& action);

  Options options_;
  Send send_;
  Ring<BatchEvent> events_;
  BatchDispatcher dispatcher_;
  std::unique_ptr<BatchStoreThread> store_;
  std::unique_ptr<BatchApiThread> api_;
  bool is_finished_ = false;
  std::thread thread_;
};

}  // namespace carawayrelay
