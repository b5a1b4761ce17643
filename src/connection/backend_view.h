#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "connection/message.h"

namespace carawayrelay {

// State of an agent as an entry sees it over its online connection. Status
// messages lag, so the counts are hints and only the window check of the agent
// itself is authoritative.
class BackendView {
 public:
  BackendView(ConnectionId connection, const Hello& hello)
      : connection_(connection),
        node_(hello.node),
        node_hash_(XXH3_64bits(hello.node.data(), hello.node.size())),
        zone_(hello.zone),
        routes_(hello.routes),
        config_version_(hello.config_version) {}

  ConnectionId connection() const { return connection_; }
  const std::string& node() const { return node_; }
  // Hash of the node name. It is the same in every entry and after a reconnect,
  // so that equal prompts are always sent to the same prompt cache.
  std::uint64_t node_hash() const { return node_hash_; }
  const std::string& zone() const { return zone_; }
  const std::vector<std::string>& routes() const { return routes_; }
  ConfigVersion config_version() const { return config_version_; }
  int window() const { return status_.window; }
  int local_in_flight() const { return local_in_flight_; }

  void OnStatus(const Status& status) {
    status_ = status;
    OnConfigVersion(status.config_version);
    other_entries_running_ =
        std::max(0, status.running_online - local_in_flight_);
    avoid_until_ = TimePoint::min();
  }
  // Records that the agent has adopted `version` or that it was sent to it.
  void OnConfigVersion(ConfigVersion version) {
    config_version_ = std::max(config_version_, version);
  }
  void OnSubmit() { ++local_in_flight_; }
  void OnAttemptDone() { --local_in_flight_; }
  // Makes CanTake() return false until `until` or until the next Status.
  void AvoidUntil(TimePoint until) { avoid_until_ = until; }
  void SetLeaving() { status_.leaving = true; }

  // Requests running on the backend server. Those of this entry are counted
  // without lag.
  int in_use() const { return local_in_flight_ + other_entries_running_; }
  // Returns false before the first Status, when the agent is shutting down,
  // when its availability zone is out of service, when it has no free capacity,
  // or while AvoidUntil() applies.
  bool CanTake(TimePoint now) const {
    return !status_.leaving && !status_.zone_out && in_use() < status_.window &&
           now >= avoid_until_;
  }

 private:
  ConnectionId connection_;
  std::string node_;
  std::uint64_t node_hash_;
  std::string zone_;
  std::vector<std::string> routes_;
  ConfigVersion config_version_;
  Status status_;
  int local_in_flight_ = 0;
  int other_entries_running_ = 0;
  TimePoint avoid_until_ = TimePoint::min();
};

}  // namespace carawayrelay
