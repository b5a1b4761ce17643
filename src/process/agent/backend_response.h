#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "carawayrelay/request.h"
#include "process/agent/backend_call.h"

namespace carawayrelay {

enum class BackendKind { kModel, kService };

// Checks the response of one call while it arrives: that it belongs to the
// call, and that it is whole. A model engine must repeat the request id in
// each event or in the JSON response, and end a stream with [DONE].
class BackendResponse {
 public:
  static constexpr size_t kMaxBufferedBytes = size_t{16} << 20;

  struct Options {
    CallId call{0};
    BackendKind kind = BackendKind::kModel;
    bool stream = false;
    std::string request_id;
    // The engine answers 409 to a stale fence of this call.
    bool has_checked_fence = false;
  };

  // Last events of a call.
  struct Outcome {
    std::string last_part;  // empty when nothing is left to forward
    std::variant<BackendEnd, BackendFailed> end;
  };

  explicit BackendResponse(Options options) : options_(std::move(options)) {}

  void OnHeaders(int http_status, std::string content_type);
  // Returns what can be forwarded, possibly nothing. Fails when the response
  // is broken; the connection must then be closed.
  Result<std::string> OnData(std::string_view data);
  // The transfer ended as the protocol demands.
  Outcome Finish();
  // The transfer broke. `is_connected` is false when no byte can have been
  // sent.
  BackendFailed Fail(std::string reason, bool is_connected) const;

  // True when the backend server accepted the call.
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
