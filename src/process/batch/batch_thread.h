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

// The `batch` thread of an entry, which drives the batch dispatcher, with its
// two helpers `batch-store` and `batch-api`.
class BatchThread {
 public:
  // Sends a message on a batch connection; may block.
  using Send = std::function<void(ConnectionId connection, Message message)>;

  struct Options {
    std::string node;
    PlatformClient::Options platform;
    BatchDispatcher::Options dispatcher;
    SessionLease::Options lease;
    BatchApi::Options api;
    JobStore::Options store;
    size_t event_capacity = 16384;
    // Time for commits and releases at a stop. Chunks that are left over are
    // claimed by others once the session has lapsed.
    std::chrono::milliseconds stop_time{3000};
  };

  // Starts the threads. `on_space` is called when there is room again after
  // DeliverLink() returned false. Fails with kInvalid for a malformed URL.
  static Result<std::unique_ptr<BatchThread>>
  Make(const Options& options, Send send, std::function<void()> on_space);
  ~BatchThread();

  // Takes an event of a batch connection. Returns false and leaves the event
  // untouched when there is no room for it.
  bool DeliverLink(LinkEvent& event);
  void SetConfig(ConfigPtr config);
  // Takes a request whose path BatchApi::IsBatchPath() accepts. Returns false
  // and leaves the call untouched when there is no room for it; nothing was
  // done then.
  bool TryCall(BatchHttpRequest& call);
  // Commits and releases chunks, ends the session and joins the threads.
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
