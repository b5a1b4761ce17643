#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/dispatch/common_event.h"
#include "process/limits/limit_lease_manager.h"
#include "process/telemetry/request_observed.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Events that the dispatcher handles, in addition to those in common_event.h.

struct RequestArrived {
  ClientRequest request;
};

// A client requested the list of models that its key may use.
struct ModelsRequested {
  RequestId request{0};
  std::string bearer_token;
};

// The client closed its connection or stopped reading the response.
struct ClientDisconnected {
  RequestId request{0};
};

// Response stored under the Idempotency-Key of a request that must run at most
// once.
struct StoredResponse {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// The intent row is durable and was created by this request.
struct IntentRecorded {
  RequestId request{0};
  std::string workspace;
  std::string key;
};

// The intent row was created by an earlier request with the same
// Idempotency-Key.
struct IntentExists {
  RequestId request{0};
  // False when the content of the earlier request differs from this one.
  bool same_content = true;
  // Empty while the earlier request is running or when its outcome is unknown.
  std::optional<StoredResponse> response;
};

// The intent row was not written, or it is unknown whether it was.
struct IntentFailed {
  RequestId request{0};
  std::string reason;
};

using DispatchEvent = std::variant<RequestArrived,
                                   ModelsRequested,
                                   ClientDisconnected,
                                   LinkUp,
                                   LinkMessage,
                                   LinkDown,
                                   ConfigAdopted,
                                   LimitLeaseEvent,
                                   IntentRecorded,
                                   IntentExists,
                                   IntentFailed,
                                   StopRequested,
                                   Tick>;

// Actions that the dispatcher returns. Each accepted or refused request gets
// exactly one of SendResponse, SendModels, FinishStream, AbortStream and
// Refuse, unless its client has disconnected.

struct CloseConnection {
  ConnectionId connection{0};
};

// Sends a complete response that is not streamed.
struct SendResponse {
  RequestId request{0};
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// Sends the models that the key of the client may use.
struct SendModels {
  RequestId request{0};
  std::vector<std::string> models;
};

// Sends the next part of a streamed response.
struct ForwardPart {
  RequestId request{0};
  std::string data;
};

// Ends a streamed response after all of its parts were forwarded.
struct FinishStream {
  RequestId request{0};
};

// Ends a streamed response that failed after a part was forwarded.
struct AbortStream {
  RequestId request{0};
  Refusal refusal;
};

// Sends the refusal in place of a response.
struct Refuse {
  RequestId request{0};
  Refusal refusal;
};

// Writes the intent row of a request that must run at most once. The result is
// an IntentRecorded, IntentExists or IntentFailed event.
struct RecordIntent {
  RequestId request{0};
  std::string workspace;
  std::string key;
  std::string content_hash;
};

// Stores the response of a request that ran. Later requests with the same
// Idempotency-Key get this response.
struct CompleteIntent {
  std::string workspace;
  std::string key;
  StoredResponse response;
};

// Removes the intent row of a request that did not run, so that a later request
// with the same Idempotency-Key may run.
struct ReleaseIntent {
  std::string workspace;
  std::string key;
};

// Validates a configuration received from another process and adopts it when
// its version is higher than the current one.
struct ProposeConfig {
  ConfigUpdate update;
};

// Reports whether the load balancer should send requests to this entry.
struct ReportReady {
  bool ready = false;
};

// Reports, for each limit lease held by this entry, the nodes that acknowledged
// its fence.
struct ReportAcknowledged {
  std::vector<AcknowledgedNodes> shards;
};

using DispatchAction = std::variant<SendMessage,
                                    CloseConnection,
                                    SendResponse,
                                    SendModels,
                                    ForwardPart,
                                    FinishStream,
                                    AbortStream,
                                    Refuse,
                                    RecordIntent,
                                    CompleteIntent,
                                    ReleaseIntent,
                                    ProposeConfig,
                                    ReportReady,
                                    Drained,
                                    ReportAcknowledged,
                                    RequestObserved>;

using DispatchActions = std::vector<DispatchAction>;

}  // namespace carawayrelay
