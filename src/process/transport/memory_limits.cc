#include "process/transport/memory_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "process/transport/socket_buffers.h"

namespace carawayrelay {
namespace {

constexpr size_t kMegabyte = size_t{1} << 20;
constexpr double kMinMemoryMegabytes = 32;
constexpr double kMaxMemoryMegabytes = 1 << 20;
constexpr double kMinRequestMegabytes = 1;
constexpr double kMaxConnectionsSetting = 1000000;
// Parts of the memory of the process that requests, responses and connections
// may take. A frontend without requests holds 17 MB, and a request is copied
// once on its way to a backend server.
constexpr size_t kRequestFraction = 4;
constexpr size_t kResponseFraction = 8;
constexpr size_t kConnectionFraction = 4;
constexpr size_t kMaxDefaultRequestBytes = size_t{1} << 30;
constexpr size_t kMaxDefaultResponseBytes = size_t{256} << 20;
// Space for two of the largest responses that are not streams.
constexpr size_t kMinResponseBytes = size_t{16} << 20;
constexpr size_t kMaxDefaultConnections = 10000;
// Head of a request and window of its connection.
constexpr size_t kRequestOverheadBytes = size_t{1} << 20;
// Objects of a connection without a request.
constexpr size_t kConnectionObjectBytes = size_t{4} << 10;
constexpr size_t kConnectionBytes =
    kConnectionObjectBytes + kSocketReceiveBytes + kSocketSendBytes;
constexpr size_t kMinConnections = 16;
// The largest deployment has 115 backend servers.
constexpr size_t kMinReservedDescriptors = 128;
constexpr size_t kReservedFraction = 4;
constexpr size_t kMonitoringConnections = 32;
constexpr size_t kMonitoringBodyBytes = size_t{64} << 10;

// Other processes may run on the VM.
size_t MemoryOfProcess() {
  return static_cast<size_t>(sysconf(_SC_PHYS_PAGES)) / 2 *
         static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

size_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<size_t>(limit.rlim_cur, size_t{1} << 20);
}

// The budget has space for two of the largest requests, so that one of them
// does not keep out all others.
size_t DefaultRequestBytes(size_t memory_bytes, size_t max_body_bytes) {
  return std::max(
      std::min(memory_bytes / kRequestFraction, kMaxDefaultRequestBytes),
      2 * max_body_bytes);
}

size_t DefaultResponseBytes(size_t memory_bytes) {
  return std::clamp(memory_bytes / kResponseFraction, kMinResponseBytes,
                    kMaxDefaultResponseBytes);
}

size_t DefaultConnections(size_t memory_bytes) {
  return std::clamp(memory_bytes / kConnectionFraction / kConnectionBytes,
                    kMinConnections, kMaxDefaultConnections);
}

}  // namespace

MemoryLimits ReadMemoryLimits(JsonReader& reader,
                              size_t max_body_bytes,
                              Findings& findings) {
  const auto memory_bytes =
      static_cast<size_t>(reader.OptionalNumber(
          "memory_mb", kMinMemoryMegabytes, kMaxMemoryMegabytes,
          std::clamp(
              std::floor(static_cast<double>(MemoryOfProcess()) / kMegabyte),
              kMinMemoryMegabytes, kMaxMemoryMegabytes))) *
      kMegabyte;
  const auto default_bytes = DefaultRequestBytes(memory_bytes, max_body_bytes);
  const auto request_bytes = static_cast<size_t>(
      reader.OptionalNumber("request_memory_mb", kMinRequestMegabytes,
                            kMaxMemoryMegabytes,
                            static_cast<double>(default_bytes) / kMegabyte) *
      kMegabyte);
  if (request_bytes > memory_bytes && request_bytes != default_bytes) {
    findings.Add(reader.PathOf("request_memory_mb"),
                 "must not be larger than memory_mb");
  }
  return {.memory_bytes = memory_bytes,
          .request_bytes = request_bytes,
          .response_bytes = DefaultResponseBytes(memory_bytes),
          .max_connections = static_cast<size_t>(reader.OptionalNumber(
              "max_connections", kMinConnections, kMaxConnectionsSetting,
              static_cast<double>(DefaultConnections(memory_bytes))))};
}

MemoryLimits DefaultMemoryLimits(size_t max_body_bytes) {
  const size_t memory_bytes = MemoryOfProcess();
  return {.memory_bytes = memory_bytes,
          .request_bytes = DefaultRequestBytes(memory_bytes, max_body_bytes),
          .response_bytes = DefaultResponseBytes(memory_bytes),
          .max_connections = DefaultConnections(memory_bytes)};
}

size_t RequestBytesFor(const MemoryLimits& limits, size_t body_bytes) {
  const size_t needed = body_bytes < limits.memory_bytes
                            ? body_bytes + kRequestOverheadBytes
                            : limits.memory_bytes;
  return std::max(limits.request_bytes,
                  std::min(needed, limits.memory_bytes / 2));
}

size_t ConnectionsFor(size_t descriptors) {
  const size_t reserved =
      std::max(kMinReservedDescriptors, descriptors / kReservedFraction);
  return descriptors < reserved + kMinConnections ? kMinConnections
                                                  : descriptors - reserved;
}

size_t MaxConnections(const MemoryLimits& limits) {
  return std::min(limits.max_connections, ConnectionsFor(DescriptorLimit()));
}

HttpServer::Options MonitoringServerOptions(
    std::string listen_address,
    std::shared_ptr<RequestMemoryBudget> request_memory) {
  return {.listen_address = std::move(listen_address),
          .limits = {.body_bytes = kMonitoringBodyBytes},
          .max_connections = kMonitoringConnections,
          .request_memory = std::move(request_memory)};
}

}  // namespace carawayrelay
