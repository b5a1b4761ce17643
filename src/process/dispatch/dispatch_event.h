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
#include "process/limits/limit_lease_book.h"
#include "process/telemetry/request_observed.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Events of the dispatcher, besides those in common_event.h. ConfigAdopted is
// ignored unless its version is higher.

struct RequestArrived {
  ClientRequest request;
};

// A caller asks for the models that its key may use.
struct ModelsAsked {
  RequestId request{0};
  std::string bearer_token;
};

// The caller closed its connection or does not read the answer.
struct CallerGone {
  RequestId request{0};
};

// Answer that was stored for a request that must run at most once.
struct StoredAnswer {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// The intent row is durable and this request created it.
struct IntentRecorded {
  RequestId request{0};
  std::string workspace;
  std::string key;
};

// An earlier request created the intent row.
struct IntentExists {
  RequestId request{0};
  // False when the earlier request had other content.
  bool same_content = true;
  // Empty while the earlier request runs, or when its outcome is not known.
  std::optional<StoredAnswer> answer;
};

// The row could not be written, or it is unknown whether it was.
struct IntentFailed {
  RequestId request{0};
  std::string reason;
};

using DispatchEvent = std::variant<RequestArrived,
                                   ModelsAsked,
                                   CallerGone,
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

// Actions of the dispatcher. Each accepted or refused request gets exactly one
// of Answer, FinishStream, BreakStream and Refuse, unless its caller is gone.

struct CloseConnection {
  ConnectionId connection{0};
};

// A whole answer.
struct Answer {
  RequestId request{0};
  int http_status = 0;
  std::string content_type;
  std::string body;
};

struct AnswerModels {
  RequestId request{0};
  std::vector<std::string> models;
};

// The next piece of a streamed answer.
struct ForwardPart {
  RequestId request{0};
  std::string data;
};

// All pieces were forwarded and the answer is whole.
struct FinishStream {
  RequestId request{0};
};

// The answer broke after a piece was forwarded.
struct BreakStream {
  RequestId request{0};
  Refusal refusal;
};

struct Refuse {
  RequestId request{0};
  Refusal refusal;
};

// Asks for the durable row of a request that must run at most once. It is
// answered by IntentRecorded, IntentExists or IntentFailed.
struct RecordIntent {
  RequestId request{0};
  std::string workspace;
  std::string key;
  std::string content_hash;
};

// The request ran and this is its answer; resends get it.
struct CompleteIntent {
  std::string workspace;
  std::string key;
  StoredAnswer answer;
};

// The request did not run; a resend may run.
struct ReleaseIntent {
  std::string workspace;
  std::string key;
};

// A configuration that another process sent; to be checked and, when it is
// higher than the known one, adopted.
struct ProposeConfig {
  ConfigUpdate update;
};

// Whether the balancer shall send callers here.
struct ReportReady {
  bool ready = false;
};

// Who acknowledged the fences of the limit leases that this entry holds.
struct ReportAcknowledged {
  std::vector<AcknowledgedNodes> shards;
};

using DispatchAction = std::variant<SendMessage,
                                    CloseConnection,
                                    Answer,
                                    AnswerModels,
                                    ForwardPart,
                                    FinishStream,
                                    BreakStream,
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
