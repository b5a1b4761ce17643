#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "carawayrelay/request.h"
#include "process/agent/admission_event.h"

namespace carawayrelay {

// Reads the load report of an engine from the JSON that it answers. Fields that
// are missing count as 0, because the report is a hint only.
LoadReport ParseLoadReport(const std::string& json);

// The thread that polls GET /load of the engine.
class LoadPoller {
 public:
  struct Options {
    std::string url;  // "http://IP:port"
    std::chrono::milliseconds interval{1000};
  };
  // Runs on the thread of the watch and must not block.
  using Deliver = std::function<void(LoadReport)>;

  // Starts the thread. Fails with kInternal when libcurl cannot be set up.
  static Result<std::unique_ptr<LoadPoller>> Make(Options options,
                                                  Deliver deliver);
  ~LoadPoller();
  // Joins the thread; a poll in progress ends first, after 1 s at most.
  void Stop();

 private:
  class Impl;
  explicit LoadPoller(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
