#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "carawayrelay/request.h"
#include "process/agent/backend_call.h"
#include "process/agent/backend_response.h"

namespace carawayrelay {

// The thread that makes all calls to the backend server. Commands reach it
// through a bounded ring; closing the connection of a call cancels it.
class BackendClient {
 public:
  struct Options {
    std::string url;  // "http://IP:port"
    BackendKind kind = BackendKind::kModel;
    bool checks_fences = false;
    // Start of the request ids, different for each start of the process, so
    // that a late response to an earlier process does not match.
    std::string request_id_prefix;
    // Room for a start and a cancel of each call, twice over: calls that ended
    // may still have a cancel in the ring.
    size_t command_capacity = 1024;
  };
  // Runs on the engine thread and may block; the gate always drains its ring.
  using Deliver = std::function<void(BackendEvent)>;

  // Starts the thread. Fails with kInternal when libcurl cannot be set up.
  static Result<std::unique_ptr<BackendClient>> Make(Options options,
                                                     Deliver deliver);
  ~BackendClient();

  // Return false when the command ring is full or closed.
  bool Start(BackendCall call);
  bool Cancel(CallId call);
  // Closes all connections without events and joins the thread.
  void Stop();

 private:
  class Impl;
  explicit BackendClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
