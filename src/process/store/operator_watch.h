#pragma once

#include <functional>
#include <set>
#include <string>

#include "process/store/table_watch.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Follows what the operators write: the configuration and the zones that are
// taken out of service. A process never goes back to a lower version.
class OperatorWatch {
 public:
  // Called when the configuration or the zones changed.
  using OnChange = std::function<void(TimePoint now)>;

  OperatorWatch(StoreSender store,
                const StepClock& clock,
                std::chrono::milliseconds wait,
                OnChange on_change);

  void Tick(TimePoint now) { watch_.Tick(now); }
  // Nothing before the first version was read.
  const ServingConfigPtr& config() const { return config_; }
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }
  // How long ago it was last certain that there is nothing newer; nothing
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
