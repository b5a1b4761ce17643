#pragma once

#include <string>

#include "process/transport/http_client.h"

namespace carawayrelay {

// Returns the body of a successful response of an entry. For any other response
// returns an Error with the message of the refusal and a code derived from the
// HTTP status and the run state.
Result<std::string> ParseApiResponse(const HttpResponse& response);

}  // namespace carawayrelay
