#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/process.h"
#include "carawayrelay/request.h"

namespace carawayrelay::tools {

struct CallSpec {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  std::chrono::milliseconds timeout{30000};
};

struct CallResult {
  // Why no whole response arrived, or empty.
  std::string transport_error;
  int http_status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  // Size of the body at the arrival of each piece of it.
  std::vector<std::pair<size_t, TimePoint>> arrivals;
  TimePoint started;
  TimePoint ended;
};

// Thread that runs HTTP calls concurrently. Never repeats a call.
class CurlHttpClient {
 public:
  // Runs on the thread of the runner and must not block.
  using Done = std::function<void(CallResult)>;

  static Result<std::unique_ptr<CurlHttpClient>> Make();
  // Breaks off running calls; they end with a transport error.
  ~CurlHttpClient();

  void Start(CallSpec spec, Done done);
  // Waits for the result. Must not be called on the thread of the runner.
  CallResult Run(CallSpec spec);

 private:
  class Impl;
  explicit CurlHttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay::tools
