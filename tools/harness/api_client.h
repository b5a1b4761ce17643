#pragma once

#include <boost/outcome/result.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/curl_http_client.h"

namespace carawayrelay::tools {

enum class CallErrorKind {
  kTransport,      // no complete response arrived
  kRefused,        // a complete response with an error
  kProtocolError,  // the response violates the protocol
};

// Error of a call to the API of the relay.
struct CallError {
  CallErrorKind kind = CallErrorKind::kTransport;
  int http_status = 0;
  // Fields of the error body of a refusal; empty when it has none.
  std::string code;       // such as "rate_limited"
  std::string run_state;  // "not_run", "ran" or "unknown"
  std::string message;
};

// One line for the report.
std::string ToText(const CallError& error);

template <class T>
using CallOutcome = boost::outcome_v2::
    result<T, CallError, boost::outcome_v2::policy::terminate>;

struct ChatCall {
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  bool stream = true;
  std::string traceparent;  // header; not sent when empty
  std::chrono::milliseconds timeout{30000};
};

// For a response that is not streamed, `first_token_latency` equals
// `total_time` and `inter_token_latencies` is empty.
struct ChatResponse {
  std::string content;
  int tokens = 0;
  Duration first_token_latency{0};
  Duration total_time{0};
  std::vector<Duration> inter_token_latencies;
};

struct BatchState {
  std::string id;
  std::string status;
  std::string output_file;
  int total = 0;
  int completed = 0;
  int failed = 0;

  // False once the batch job has completed, failed, expired or been cancelled.
  bool IsRunning() const;
};

// Parses the response to a chat call. A stream is complete only when its end
// marker has arrived; without it the result is an error.
CallOutcome<ChatResponse> ReadChatResponse(const CallResult& result);

// Client of the HTTP API of an entry with the key of one workspace.
class ApiClient {
 public:
  // Runs on the thread of the HTTP client and must not block.
  using ChatDone = std::function<void(CallOutcome<ChatResponse>)>;

  // `base_url` is "http://IP:port" of an entry. `http` must outlive this.
  ApiClient(CurlHttpClient& http, std::string base_url, std::string key);

  // Returns at once and calls `done` with the response or the error.
  void Chat(const ChatCall& call, ChatDone done);
  // The functions below block until the response arrived or the call failed.
  CallOutcome<ChatResponse> Chat(const ChatCall& call);
  CallOutcome<std::string> UploadFile(const std::string& lines);
  CallOutcome<std::string> DownloadFile(const std::string& id);
  // Sends `name`, if not empty, as Idempotency-Key: a second call with the same
  // name returns the job that the first one created.
  CallOutcome<BatchState> CreateBatch(const std::string& file,
                                      const std::string& name);
  CallOutcome<BatchState> GetBatch(const std::string& id);
  CallOutcome<BatchState> CancelBatch(const std::string& id);
  CallOutcome<std::string> CallService(const std::string& method,
                                       const std::string& route_and_path,
                                       const std::string& body,
                                       const std::string& idempotency_key);

 private:
  CallSpec MakeSpec(const std::string& method,
                    const std::string& path,
                    const std::string& body) const;
  CallSpec MakeChatSpec(const ChatCall& call) const;
  CallOutcome<nlohmann::json> RunJson(CallSpec spec);
  CallOutcome<BatchState> RunBatch(CallSpec spec);

  CurlHttpClient& http_;
  std::string base_url_;
  std::string key_;
};

}  // namespace carawayrelay::tools
