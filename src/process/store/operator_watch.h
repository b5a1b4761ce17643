#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "process/store/table_watch.h"
#include "version/rollout_spec.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Follows the table that operators write: the configuration and the
// availability zones that are taken out of service. Never goes back to a lower
// version of the configuration.
class OperatorWatch {
 public:
  // Called when the configuration or the set of zones out of service changed.
  using OnChange = std::function<void(TimePoint now)>;

  OperatorWatch(StoreSender store,
                const EventLoopClock& clock,
                std::chrono::milliseconds wait,
                OnChange on_change);

  void Tick(TimePoint now) { watch_.Tick(now); }
  // Returns nullptr until the first version is read.
  const ServingConfigPtr& config() const { return config_; }
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }
  // Rollout specs by service.
  const std::map<std::string, RolloutSpec>& rollout_specs() const {
    return rollout_specs_;
  }
  // Whether the table was read once.
  bool IsSynced() const { return watch_.up_to_date_at().has_value(); }
  // Time since the configuration was last known to be the newest. Not set
  // before the first configuration.
  std::optional<Duration> Age(TimePoint now) const;

 private:
  void Apply(const std::vector<StoredRow>& rows, bool is_full, TimePoint now);
  bool ApplyConfig(const StoredRow& row);
  void ApplyRolloutSpec(const StoredRow& row);

  OnChange on_change_;
  ServingConfigPtr config_;
  std::set<std::string> evacuated_zones_;
  std::map<std::string, RolloutSpec> rollout_specs_;
  bool has_applied_ = false;
  TableWatch watch_;
};

}  // namespace carawayrelay
