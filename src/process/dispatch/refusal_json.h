#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// The refusal as the JSON that callers and operators get:
// {"error": {"message", "type", "code", "run_state", "retry_after"}}.
// "retry_after" is in seconds and left out where waiting does not help.
std::string ToJson(const Refusal& refusal);

// The headers that go with it: Content-Type, and Retry-After in whole seconds.
HttpHeaders RefusalHeaders(const Refusal& refusal);

// Replies with the status, headers and body of a refusal.
void SendRefusal(HttpExchange& exchange, const Refusal& refusal);

}  // namespace carawayrelay
