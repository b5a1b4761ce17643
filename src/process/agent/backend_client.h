#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "carawayrelay/request.h"
#include "process/agent/backend_call.h"
#include "process/agent/backend_response.h"

namespace carawayrelay {

// Makes all calls to the backend server on a thread of its own. Commands reach
// the thread through a bounded ring. A call is cancelled by closing its
// connection.
class BackendClient {
 public:
  struct Options {
    std::string url;  // "http://IP:port"
    BackendKind kind = BackendKind::kModel;
    // True when the backend server responds with status 409 to a stale fencing
    // number.
    bool checks_fences = false;
    // Prefix of the request ids. Must differ between starts of the process, so
    // that a late response to a call of an earlier process does not match.
    std::string request_id_prefix;
    // Capacity of the command ring. Needs four commands for each concurrent
    // call: a start and a cancel, and as many for calls that have ended but
    // whose commands are still in the ring.
    size_t command_capacity = 1024;
  };
  // Runs on the backend client thread. May block while the event ring is full,
  // because the event loop thread never waits for this thread.
  using Deliver = std::function<void(BackendEvent)>;

  // Starts the thread. Fails with kInternal if libcurl cannot be initialized.
  static Result<std::unique_ptr<BackendClient>> Make(Options options,
                                                     Deliver deliver);
  ~BackendClient();

  // Enqueue a command without blocking; any thread. Return false when the
  // command ring is full or closed.
  bool Start(BackendCall call);
  bool Cancel(CallId call);
  // Closes all connections, without delivering events for their calls, and
  // joins the thread.
  void Stop();

 private:
  class Impl;
  explicit BackendClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
