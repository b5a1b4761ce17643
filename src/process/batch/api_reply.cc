#include "process/batch/api_reply.h"

#include <nlohmann/json.hpp>

namespace carawayrelay {
namespace {

using nlohmann::json;

ErrorCode CodeOf(int status, const std::string& run_state) {
  // An operation that ran and failed is reported as such with 4xx.
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

Result<std::string> ToResult(const HttpResponse& reply) {
  if (reply.status >= 200 && reply.status < 300) {
    return reply.body;
  }
  std::string message = "HTTP status " + std::to_string(reply.status);
  std::string run_state;
  const json body = json::parse(reply.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    message = body["error"].value("message", message);
    run_state = body["error"].value("run_state", "");
  }
  return Error{CodeOf(reply.status, run_state), message};
}

}  // namespace carawayrelay
