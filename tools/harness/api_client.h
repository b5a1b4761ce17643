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
  kTransport,      // no whole response arrived
  kRefused,        // a whole response with an error
  kProtocolError,  // a response that breaks the protocol
};

// Why a call did not succeed.
struct CallError {
  CallErrorKind kind = CallErrorKind::kTransport;
  int http_status = 0;
  std::string code;       // of the refusal, such as "rate_limited"
  std::string run_state;  // of the refusal: "not_run", "ran" or "unknown"
  std::string message;
};

// One line for people.
std::string ToText(const CallError& error);

template <class T>
using CallOutcome = boost::outcome_v2::
    result<T, CallError, boost::outcome_v2::policy::terminate>;

struct ChatCall {
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  bool stream = true;
  std::string traceparent;  // sent when set
  std::chrono::milliseconds timeout{30000};
};

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

  bool IsRunning() const;
};

// Reads the response to a chat call; a stream counts as whole only with its
// end marker.
CallOutcome<ChatResponse> ReadChatResponse(const CallResult& result);

// A caller of one workspace, as the API of an entry sees it.
class ApiClient {
 public:
  // Runs on the thread of the runner and must not block.
  using ChatDone = std::function<void(CallOutcome<ChatResponse>)>;

  // `base_url` is "http://IP:port" of an entry. `runner` must outlive this.
  ApiClient(CurlHttpClient& http, std::string base_url, std::string key);

  void Chat(const ChatCall& call, ChatDone done);
  // These wait for the response.
  CallOutcome<ChatResponse> Chat(const ChatCall& call);
  CallOutcome<std::string> UploadFile(const std::string& lines);
  CallOutcome<std::string> DownloadFile(const std::string& id);
  // A resend with the same name finds the first job.
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
