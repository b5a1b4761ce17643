#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "carawayrelay/request.h"
#include "connection/outbound_call.h"

namespace carawayrelay {

// The thread that makes all calls of a process to other HTTP servers. It sends
// each call at most once: a call on a kept connection that turns out to be
// closed ends with an error.
class AsyncHttpClient {
 public:
  struct Options {
    // Room for a start and a cancel of each call.
    size_t command_capacity = 8192;
    // A kept connection that was idle for longer is not used again, because
    // the other side may be about to close it.
    std::chrono::seconds max_idle{3};
    // A connection whose sent bytes stay unacknowledged for longer is lost.
    std::chrono::milliseconds unacknowledged_limit{1500};
  };
  // Runs on the thread of the caller and may block, which stops all reading.
  using Deliver = std::function<void(CallEvent)>;

  // Starts the thread. Fails with kInternal when libcurl cannot be set up.
  static Result<std::unique_ptr<AsyncHttpClient>> Make(Options options,
                                                       Deliver deliver);
  ~AsyncHttpClient();

  // Return false when the command ring is full or closed.
  bool Start(OutboundCall call);
  // Closes the connection of the call. Events of it may still arrive.
  bool Cancel(OutboundId id);
  // Closes all connections without events and joins the thread.
  void Stop();

 private:
  class Impl;
  explicit AsyncHttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
