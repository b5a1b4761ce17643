#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "carawayrelay/request.h"
#include "process/agent/admission_event.h"

namespace carawayrelay {

// Parses the JSON load report of a backend server. Missing or malformed fields
// count as 0, because the report is only a hint.
LoadReport ParseLoadReport(const std::string& json);

// Polls GET /load of the backend server on a thread of its own.
class LoadPoller {
 public:
  struct Options {
    std::string url;  // "http://IP:port"
    std::chrono::milliseconds interval{1000};
  };
  // Runs on the poller thread and must not block.
  using Deliver = std::function<void(LoadReport)>;

  // Starts the thread. Fails with kInternal if libcurl cannot be initialized.
  static Result<std::unique_ptr<LoadPoller>> Make(Options options,
                                                  Deliver deliver);
  ~LoadPoller();
  // Joins the thread after the poll in progress, which takes at most 1 s.
  void Stop();

 private:
  class Impl;
  explicit LoadPoller(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
