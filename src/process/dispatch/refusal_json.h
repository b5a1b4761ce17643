#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// Returns the refusal as the JSON that clients and operators receive:
// {"error": {"message", "type", "code", "run_state", "retry_after"}}.
// "retry_after" is in seconds and omitted when the refusal has no retry time.
std::string ToJson(const Refusal& refusal);

// Returns the headers of a refusal: Content-Type and, when the refusal has a
// retry time, Retry-After rounded up to whole seconds.
HttpHeaders RefusalHeaders(const Refusal& refusal);

// Responds with the status, headers and body of a refusal.
void SendRefusal(HttpExchange& exchange, const Refusal& refusal);

}  // namespace carawayrelay
