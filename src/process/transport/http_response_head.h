#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "process/transport/http_server.h"

namespace carawayrelay {

// Returns the status line and headers of a response. Without `body_bytes`, the
// body is chunked.
std::string EncodeResponseHead(int status,
                               const HttpHeaders& headers,
                               std::optional<size_t> body_bytes,
                               bool keeps_connection);

// Returns `data` as one chunk of a chunked body. `data` must not be empty.
std::string EncodeChunk(const std::string& data);

// End of a chunked body.
inline constexpr const char* kLastChunk = "0\r\n\r\n";

}  // namespace carawayrelay
