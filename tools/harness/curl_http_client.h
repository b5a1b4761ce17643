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
  // Why no complete response arrived; empty when one did.
  std::string transport_error;
  int http_status = 0;  // 0 unless the whole head of a response arrived
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  // For each received piece of the body: the size of the body including that
  // piece, in bytes, and the arrival time.
  std::vector<std::pair<size_t, TimePoint>> arrivals;
  TimePoint started;
  TimePoint ended;
};

// Runs HTTP calls concurrently on a thread of its own. Never retries a call, so
// that each request of a test reaches the server at most once.
class CurlHttpClient {
 public:
  // Runs on the thread of the client and must not block.
  using Done = std::function<void(CallResult)>;

  static Result<std::unique_ptr<CurlHttpClient>> Make();
  // Aborts running calls; their callbacks get a transport error.
  ~CurlHttpClient();

  void Start(CallSpec spec, Done done);
  // Blocks until the call has ended. Must not be called on the thread of the
  // client, which would then wait for itself.
  CallResult Run(CallSpec spec);

 private:
  class Impl;
  explicit CurlHttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay::tools
