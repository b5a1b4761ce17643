#pragma once

#include <chrono>
#include <map>
#include <string>

namespace carawayrelay {

// Tells requests of clients that come back after a refusal or a failure from
// new ones. A client passes the time that it will still wait; when it comes
// back, this is less than what new requests on the route pass. Clients with a
// shorter limit than others count as coming back.
//
// Used on the event loop thread.
class ReturningClients {
 public:
  // Records the time that a request on the route has left, and returns whether
  // its client has come back.
  bool NoteRequest(const std::string& route,
                   std::chrono::milliseconds time_left);

 private:
  std::map<std::string, std::chrono::milliseconds> longest_by_route_;
};

}  // namespace carawayrelay
