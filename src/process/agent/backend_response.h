#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "carawayrelay/request.h"
#include "process/agent/backend_call.h"

namespace carawayrelay {

// kModel: a model backend server with the chat completions API. kService: any
// other HTTP service; its responses are forwarded unchecked.
enum class BackendKind { kModel, kService };

// Checks the response to one call while it arrives: that it belongs to the call
// and that it is complete. A model backend server must repeat the request id in
// each event or in the JSON response, and end a stream with [DONE].
class BackendResponse {
 public:
  // Limit for a response that is buffered: a JSON response or an error body.
  static constexpr size_t kMaxBufferedBytes = size_t{16} << 20;

  struct Options {
    CallId call{0};
    BackendKind kind = BackendKind::kModel;
    bool stream = false;
    std::string request_id;
    // True when the call carries a fencing number and the backend server
    // responds with status 409 if the number is stale.
    bool has_checked_fence = false;
  };

  // The last events of a call.
  struct Outcome {
    std::string last_part;  // empty if there is nothing more to forward
    std::variant<BackendEnd, BackendFailed> end;
  };

  explicit BackendResponse(Options options) : options_(std::move(options)) {}

  void OnHeaders(int http_status, std::string content_type);
  // Returns the data that can be forwarded now, which may be empty. Fails with
  // kInvalid when the response is malformed, belongs to another request or is
  // too large; the connection must then be closed.
  Result<std::string> OnData(std::string_view data);
  // Call when the transfer ended without a transport error.
  Outcome Finish();
  // Returns the failure of a transfer that broke or failed a check.
  // `is_connected` is false when no byte of the request can have been sent.
  BackendFailed Fail(std::string reason, bool is_connected) const;

  // True once a 2xx status arrived: the backend server accepted the call.
  bool IsSuccess() const { return http_status_ >= 200 && http_status_ < 300; }

 private:
  bool IsChecked() const {
    return options_.kind == BackendKind::kModel && IsSuccess();
  }
  Result<std::string> OnStreamData(std::string_view data);
  Result<void> CheckEvent(const SseEvent& event);
  Outcome FinishStream();
  Outcome FinishBuffered();
  Outcome FinishErrorStatus();
  Outcome MakeEnd(std::string last_part) const;
  BackendFailed MakeFailed(RefusalCode code,
                           RunState run_state,
                           std::string reason) const;

  Options options_;
  int http_status_ = 0;
  std::string content_type_;
  std::string buffered_;
  SseParser parser_;
  bool has_end_marker_ = false;
  std::uint64_t tokens_ = 0;
};

}  // namespace carawayrelay
