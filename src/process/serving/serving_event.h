#pragma once

#include <variant>

#include "connection/outbound_call.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// A request of a client, as the HTTP server read it.
struct HttpArrived {
  HttpRequest request;
  HttpExchangePtr exchange;
};
// The process shall stop gracefully.
struct StopAsked {};
// The settings may have changed.
struct ReloadAsked {};

// What reaches the deciding thread of a serving process.
using ServingEvent = std::
    variant<HttpArrived, CallHead, CallData, CallEnd, StopAsked, ReloadAsked>;

}  // namespace carawayrelay
