#pragma once

#include <string>

#include "process/transport/http_client.h"

namespace carawayrelay {

// The body of a successful reply of an entry, or the refusal as an Error whose
// code follows from HTTP status and run state.
Result<std::string> ToResult(const HttpResponse& reply);

}  // namespace carawayrelay
