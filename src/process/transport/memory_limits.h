#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "process/transport/http_server.h"
#include "process/transport/request_memory_budget.h"
#include "version/json_reader.h"

namespace carawayrelay {

// Limits that keep a process within the memory and the file descriptors of its
// VM, whatever clients send.
struct MemoryLimits {
  // Memory of the process.
  size_t memory_bytes = 0;
  // Memory of all requests of clients in the process.
  size_t request_bytes = 0;
  // Responses that wait to be sent to clients of the client port.
  size_t response_bytes = 0;
  // Connections that the client port accepts.
  size_t max_connections = 0;
};

// Reads the settings memory_mb, request_memory_mb and max_connections.
// `max_body_bytes` is the largest body that must fit.
MemoryLimits ReadMemoryLimits(JsonReader& reader,
                              size_t max_body_bytes,
                              Findings& findings);

// The limits that apply without settings, from the memory of this process.
MemoryLimits DefaultMemoryLimits(size_t max_body_bytes);

// Returns the memory for requests when the largest body has `body_bytes`: at
// least one such request fits unless it would take more than half of the memory
// of the process.
size_t RequestBytesFor(const MemoryLimits& limits, size_t body_bytes);

// Returns the number of connections that clients may use when the process may
// open `descriptors` files. The others are for the store, backend servers and
// the other ports.
size_t ConnectionsFor(size_t descriptors);

// Returns `limits.max_connections`, or less if this process may not open enough
// files.
size_t MaxConnections(const MemoryLimits& limits);

// Options of a server for readiness or metrics, whose requests are small.
HttpServer::Options MonitoringServerOptions(
    std::string listen_address,
    std::shared_ptr<RequestMemoryBudget> request_memory);

}  // namespace carawayrelay
