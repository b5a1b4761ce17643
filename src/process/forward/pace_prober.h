#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "process/forward/backend_directory.h"
#include "process/serving/event_loop_clock.h"
#include "process/transport/outbound_calls.h"
#include "request/token_bucket.h"

namespace carawayrelay {

// Asks the few best backend servers for their load and pace before a request is
// sent, because what earlier responses said is too old: a frontend gets a
// response of the same server every few seconds, and the pace changes several
// times a second. Only services whose backend servers send pace figures are
// probed. Must be used on the event loop thread only.
class PaceProber {
 public:
  struct Counters {
    std::uint64_t answered = 0;
    std::uint64_t unanswered = 0;
  };

  PaceProber(BackendDirectory& backends,
             OutboundCalls& calls,
             const EventLoopClock& clock)
      : backends_(backends), calls_(calls), clock_(clock) {}

  // Sets the health path of each service; others are not probed.
  void SetHealthPaths(std::map<std::string, std::string> paths) {
    health_paths_ = std::move(paths);
  }
  // Probes candidates of the query and calls `done` once when all have answered
  // or the time limit of a probe is over. Returns false, and never calls
  // `done`, if no probe is useful or the budget is used up.
  bool Start(const BackendDirectory::Query& query,
             std::function<void()> done,
             TimePoint now);
  const Counters& counters() const { return counters_; }

 private:
  struct Round;

  bool HasFigures(const std::string& service, TimePoint now);
  void Probe(const std::string& id,
             const std::string& address,
             const std::string& path,
             const std::shared_ptr<Round>& round);

  BackendDirectory& backends_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  std::map<std::string, std::string> health_paths_;
  // Services whose backend servers send pace figures.
  std::set<std::string> services_with_figures_;
  std::optional<TokenBucket> budget_;
  Counters counters_;
};

}  // namespace carawayrelay
