#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "carawayrelay/request.h"
#include "connection/outbound_call.h"

namespace carawayrelay {

// Asynchronous HTTP/1.1 client for calls to many servers, on a thread of its
// own. Each call is sent at most once: when the server has closed a reused
// connection, the call fails instead of being repeated.
class AsyncHttpClient {
 public:
  struct Options {
    // Maximum number of queued commands; a call takes up to two, for its start
    // and its cancellation.
    size_t command_capacity = 8192;
    // A connection that was idle for longer is not reused, because the server
    // may be about to close it.
    std::chrono::seconds max_idle{3};
    // A connection is closed as lost when sent bytes stay unacknowledged for
    // longer (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledged_limit{1500};
  };
  // Runs on the thread of the client. It may block, but no connection is read
  // in the meantime.
  using Deliver = std::function<void(CallEvent)>;

  // Starts the thread. Fails with kInternal when libcurl cannot be initialised.
  static Result<std::unique_ptr<AsyncHttpClient>> Make(Options options,
                                                       Deliver deliver);
  ~AsyncHttpClient();

  // Any thread. Returns false when the command ring is full or closed; the call
  // then has no events.
  bool Start(OutboundCall call);
  // Closes the connection of the call. Events of it may still arrive. Any
  // thread; returns false when the command ring is full or closed.
  bool Cancel(OutboundCallId id);
  // Closes all connections without delivering CallEnd, and joins the thread.
  void Stop();

 private:
  class Impl;
  explicit AsyncHttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
