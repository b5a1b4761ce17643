#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// A file as a caller sent it.
struct BatchUpload {
  std::string filename;
  std::string content;
};

// Takes the file from a request: the field "file" of a multipart/form-data body
// with the field "purpose" equal to "batch", or the whole body for any other
// content type. Fails with kInvalid.
Result<BatchUpload> ParseUpload(const HttpRequest& request);

}  // namespace carawayrelay
