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

// What may be repeated of the requests on a route.
enum class CallClass {
  kIdempotent,  // may run more than once
  kAtMostOnce,  // may run once for each request of a client
  kStream,      // answered by a series of events; at most once unless resumable
  kBulk,        // batch jobs
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

// Settings of a route that takes batch jobs.
struct BulkSettings {
  // From the first submission until all results are due.
  std::chrono::milliseconds completion_target{0};
  // From the first submission until an unfinished item may be given up.
  std::chrono::milliseconds item_expiry{0};
  // Tokens of a workspace that may wait over all entries; 0 is no limit.
  std::int64_t max_pending_tokens = 0;
};

struct ServingRoute {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  CallClass call_class = CallClass::kAtMostOnce;
  bool can_resume = false;
  bool is_open = false;  // needs no key
  std::chrono::milliseconds time_limit{0};
  std::chrono::milliseconds latency_target{0};
  // Backend servers that one request may be sent to.
  int max_attempts = 1;
  std::vector<WeightedService> services;
  BulkSettings bulk;

  // Whether a request that may have begun to run can be sent again.
  bool IsRepeatable() const {
    return call_class == CallClass::kIdempotent ||
           call_class == CallClass::kBulk ||
           (call_class == CallClass::kStream && can_resume);
  }
};

// A tenant with its keys. Rate and burst count over all entries.
struct ServingWorkspace {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_second = 0;  // 0 is no limit
  double burst = 0;
};

struct ServingService {
  std::string name;
  int max_connections = 0;
  // Requests per second that a backend server in cold start bears.
  double cold_start_requests_per_second = 0;
};

// What a client may send.
struct ClientLimits {
  size_t header_bytes = size_t{64} << 10;
  size_t body_bytes = size_t{8} << 20;
};

// One version of the operators' configuration, indexed. Immutable.
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
  // The route of the host with the longest prefix of `path`, or nullptr.
  const ServingRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  // A route of the host that takes batch jobs, or nullptr.
  const ServingRoute* FindBulkRoute(std::string_view host) const;
  const ServingRoute* FindRouteByName(const std::string& name) const;
  // The workspace that holds the key, or nullptr.
  const ServingWorkspace* FindWorkspaceByKey(const std::string& key) const;
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
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

}  // namespace carawayrelay
