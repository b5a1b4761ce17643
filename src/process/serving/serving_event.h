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

// Returns the bytes of the body or the piece of a body that the event holds.
inline size_t SizeOf(const ServingEvent& event) {
  if (const auto* arrived = std::get_if<HttpRequestArrived>(&event)) {
    return arrived->request.body.size();
  }
  const auto* data = std::get_if<CallData>(&event);
  return data == nullptr ? 0 : data->bytes.size();
}

}  // namespace carawayrelay
