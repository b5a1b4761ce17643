#pragma once

#include <functional>
#include <set>
#include <string>

#include "process/store/table_watch.h"
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
  // Time since the configuration was last known to be the newest. Not set
  // before the first configuration.
  std::optional<Duration> Age(TimePoint now) const;

 private:
  void Apply(const std::vector<StoredRow>& rows, bool is_full, TimePoint now);
  bool ApplyConfig(const StoredRow& row);

  OnChange on_change_;
  ServingConfigPtr config_;
  std::set<std::string> evacuated_zones_;
  TableWatch watch_;
};

}  // namespace carawayrelay
