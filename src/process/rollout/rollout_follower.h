#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "process/forward/backend_directory.h"
#include "process/rollout/rollout_settings.h"
#include "process/rollout/version_rules.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/operator_watch.h"
#include "process/store/store_client.h"
#include "process/store/table_watch.h"

namespace carawayrelay {

// Follows the rollouts of all services and tells the directory which backend
// servers may be used. Calls the store only at the start and while a rollout
// runs. Used on the event loop thread.
class RolloutFollower {
 public:
  static constexpr const char* kTable = "rollouts";

  // The referenced objects must outlive this one.
  RolloutFollower(RolloutSettings settings,
                  RolloutRole role,
                  std::uint64_t seed,
                  OperatorWatch& operators,
                  BackendDirectory& backends,
                  StoreClient& store,
                  const EventLoopClock& clock);

  // Must be called in each iteration of the event loop.
  void Tick(TimePoint now);
  // Sets the number of running frontends; 0 is unknown.
  void SetFrontends(size_t count) { frontends_ = count; }

  const RolloutSettings& settings() const { return settings_; }
  const std::map<std::string, ServiceVersions>& services() const {
    return services_;
  }
  const ServiceVersions* Find(const std::string& service) const;
  // Whether all services are settled, so that the store is not called.
  bool IsSettled() const;
  // Whether the rows were read once.
  bool IsKnown() const { return watch_.up_to_date_at().has_value(); }
  bool IsConfirmed(TimePoint now) const;
  // Number of usable backend servers of a version, whatever the rollout allows.
  size_t CountServers(const std::string& service,
                      const std::string& version) const;

 private:
  VersionUse UseOfBackend(const BackendRegistration& registration) const;
  void NoteSent(const BackendRegistration& registration);
  void ApplyRows(const std::vector<StoredRow>& rows, bool is_full);
  // Keeps the current version of a row that was removed.
  static void ForgetRow(ServiceVersions& versions);
  void ApplySpecs();
  // Finds the current versions of services that have no row.
  void FindFirstVersions();
  void SelectCanaryServers(TimePoint now);

  const RolloutSettings settings_;
  const RolloutRole role_;
  OperatorWatch& operators_;
  BackendDirectory& backends_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  std::map<std::string, ServiceVersions> services_;
  std::mt19937_64 random_;
  size_t frontends_ = 0;
  TimePoint next_selection_{};
  TableWatch watch_;
};

}  // namespace carawayrelay
