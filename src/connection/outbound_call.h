#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carawayrelay {

// Identifies an HTTP call to a backend server or the store, within the process.
enum class OutboundCallId : std::uint64_t {};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct OutboundCall {
  OutboundCallId id{0};
  std::string address;  // "IP:port"
  std::string method;
  std::string target;  // path and query
  HeaderList headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{500};
  // Timeout of the entire call; 0 means no timeout.
  std::chrono::milliseconds total_timeout{0};
  // A longer response body fails the call; 0 means no limit. Streams have none,
  // because their events are limited as they are split.
  size_t max_body_bytes = 0;
  // True when the connection may be reused for further calls.
  bool keeps_connection = false;
};

struct CallHead {
  OutboundCallId id{0};
  int status = 0;
  HeaderList headers;  // names in lower case
};

struct CallData {
  OutboundCallId id{0};
  std::string bytes;
};

struct CallEnd {
  OutboundCallId id{0};
  bool is_complete = false;
  // True when bytes of the request may have reached the server.
  bool was_sent = false;
  // True when the server closed or reset the connection before the response was
  // complete. False when a timeout, a limit or bytes that are no response ended
  // the call.
  bool was_dropped = false;
  std::string reason;  // empty when complete
};

using CallEvent = std::variant<CallHead, CallData, CallEnd>;

// Returns the value of the header `name` (in lower case), or an empty string.
inline std::string FindHeader(const HeaderList& headers,
                              const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

}  // namespace carawayrelay
