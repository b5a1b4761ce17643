#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "request/ids.h"

namespace carawayrelay {

// Whether the requests on a route may be sent to a backend server again.
enum class CallClass {
  kIdempotent,  // may run more than once
  kAtMostOnce,  // may run at most once for each client request
  kStream,      // response is an event stream; at most once unless resumable
  kBulk,        // batch jobs
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

// Settings of a route that accepts batch jobs.
struct BulkSettings {
  // Time from the first submission of a job until all its results are due.
  std::chrono::milliseconds completion_target{0};
  // Time from the first submission of a job until its unfinished items may be
  // abandoned; 0 is no limit.
  std::chrono::milliseconds item_expiry{0};
  // Maximum number of pending tokens of a workspace on the route, over all
  // frontends together; 0 is no limit.
  std::int64_t max_pending_tokens = 0;
};

struct ServingRoute {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  CallClass call_class = CallClass::kAtMostOnce;
  bool can_resume = false;  // true when an interrupted stream can be resumed
  bool is_open = false;     // true when requests need no key
  std::chrono::milliseconds time_limit{0};
  std::chrono::milliseconds latency_target{0};
  // Maximum number of backend servers that one request is sent to.
  int max_attempts = 1;
  std::vector<WeightedService> services;
  BulkSettings bulk;

  // True when a request that may have started to run can be sent again.
  bool IsRepeatable() const {
    return call_class == CallClass::kIdempotent ||
           call_class == CallClass::kBulk ||
           (call_class == CallClass::kStream && can_resume);
  }
};

// A workspace with its keys. Rate and burst are in requests and apply to all
// frontends together.
struct ServingWorkspace {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_second = 0;  // 0 is no limit
  double burst = 0;
};

struct ServingService {
  std::string name;
  int max_connections = 0;
  // Requests per second that a backend server can handle during its cold start.
  double cold_start_requests_per_second = 0;
  // Path at which a backend server tells its health and load; empty if the
  // configuration names none.
  std::string health_path;
};

// Limits of client requests and connections.
struct ClientLimits {
  size_t header_bytes = size_t{64} << 10;
  size_t body_bytes = size_t{8} << 20;
  // Time for a head, from its first byte.
  std::chrono::milliseconds head_timeout{3000};
  // Time between two requests on a connection.
  std::chrono::milliseconds idle_timeout{30000};
};

// One version of the operators' configuration, immutable and indexed for
// lookups.
class ServingConfig {
 public:
  struct Parts {
    ConfigVersion version{0};
    std::vector<ServingRoute> routes;
    std::vector<ServingWorkspace> workspaces;
    std::vector<ServingService> services;
    ClientLimits limits;
  };

  explicit ServingConfig(Parts parts);

  ConfigVersion version() const { return parts_.version; }
  // Returns the route of the host with the longest prefix that matches `path`,
  // or nullptr.
  const ServingRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  // Returns the first route of the host that accepts batch jobs, or nullptr.
  const ServingRoute* FindBulkRoute(std::string_view host) const;
  const ServingRoute* FindRouteByName(const std::string& name) const;
  // Returns the workspace that the key belongs to, or nullptr.
  const ServingWorkspace* FindWorkspaceByKey(const std::string& key) const;
  const ServingWorkspace* FindWorkspace(const std::string& name) const;
  const ServingService* FindService(const std::string& name) const;
  const std::vector<ServingService>& services() const {
    return parts_.services;
  }
  const ClientLimits& limits() const { return parts_.limits; }
  const std::vector<ServingWorkspace>& workspaces() const {
    return parts_.workspaces;
  }

 private:
  Parts parts_;
  std::map<std::string, size_t> workspace_of_key_;
  std::map<std::string, size_t> workspace_of_name_;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

}  // namespace carawayrelay
