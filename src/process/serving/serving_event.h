#pragma once

#include <variant>

#include "connection/outbound_call.h"
#include "process/transport/datagram_socket.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// A complete request of a client, as received by the HTTP server.
struct HttpRequestArrived {
  HttpRequest request;
  HttpExchangePtr exchange;
};
// Graceful shutdown of the process was requested.
struct ShutdownRequested {};
// The settings may have changed.
struct ReloadRequested {};

// An event for the event loop thread of a serving process.
using ServingEvent = std::variant<HttpRequestArrived,
                                  CallHead,
                                  CallData,
                                  CallEnd,
                                  Datagram,
                                  ShutdownRequested,
                                  ReloadRequested>;

}  // namespace carawayrelay
