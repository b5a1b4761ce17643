#pragma once

#include <variant>

#include "connection/outbound_call.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// A request of a client, as the HTTP server read it.
struct HttpRequestArrived {
  HttpRequest request;
  HttpExchangePtr exchange;
};
// The process shall stop gracefully.
struct ShutdownRequested {};
// The settings may have changed.
struct ReloadRequested {};

// What reaches the deciding thread of a serving process.
using ServingEvent = std::variant<HttpRequestArrived,
                                  CallHead,
                                  CallData,
                                  CallEnd,
                                  ShutdownRequested,
                                  ReloadRequested>;

}  // namespace carawayrelay
