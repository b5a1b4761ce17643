#include "process/batch/api_response.h"

#include <nlohmann/json.hpp>

namespace carawayrelay {
namespace {

using nlohmann::json;

ErrorCode ErrorCodeOf(int status, const std::string& run_state) {
  // An operation that ran and failed gets a 4xx status, so a 5xx status without
  // "not_run" leaves open whether the operation took effect.
  if (status >= 500 && run_state != "not_run") {
    return ErrorCode::kUnknown;
  }
  switch (status) {
    case 404:
      return ErrorCode::kNotFound;
    case 409:
      return ErrorCode::kConflict;
    case 429:
      return ErrorCode::kUnavailable;
    default:
      return status >= 500 ? ErrorCode::kUnavailable : ErrorCode::kInvalid;
  }
}

}  // namespace

Result<std::string> ParseApiResponse(const HttpResponse& response) {
  if (response.status >= 200 && response.status < 300) {
    return response.body;
  }
  std::string message = "HTTP status " + std::to_string(response.status);
  std::string run_state;
  const json body = json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    message = body["error"].value("message", message);
    run_state = body["error"].value("run_state", "");
  }
  return Error{ErrorCodeOf(response.status, run_state), message};
}

}  // namespace carawayrelay
