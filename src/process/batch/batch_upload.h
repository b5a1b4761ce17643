#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// A file as the client sent it.
struct BatchUpload {
  std::string filename;
  std::string content;
};

// Extracts the file from a request. A multipart body must have the field "file"
// and the field "purpose" with the value "batch"; with any other content type
// the complete body is the file. Fails with kInvalid when a
// multipart body is malformed or a field is missing.
Result<BatchUpload> ParseUpload(const HttpRequest& request);

}  // namespace carawayrelay
