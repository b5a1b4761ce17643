#include "process/store/operator_watch.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "platform/desired_state.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {

OperatorWatch::OperatorWatch(StoreSender store,
                             const EventLoopClock& clock,
                             std::chrono::milliseconds wait,
                             OnChange on_change)
    : on_change_(std::move(on_change)),
      watch_({.table = platform::kOperatorTable, .wait = wait},
             std::move(store),
             clock,
             [this](const std::vector<StoredRow>& rows,
                    bool is_full,
                    TimePoint now) { Apply(rows, is_full, now); }) {}

std::optional<Duration> OperatorWatch::Age(TimePoint now) const {
  if (!config_ || !watch_.up_to_date_at()) {
    return std::nullopt;
  }
  return now - *watch_.up_to_date_at();
}

void OperatorWatch::Apply(const std::vector<StoredRow>& rows,
                          bool is_full,
                          TimePoint now) {
  constexpr std::string_view kZonePrefix = platform::kEvacuatePrefix;
  const std::set<std::string> previous = evacuated_zones_;
  if (is_full) {
    evacuated_zones_.clear();
    std::erase_if(rollout_specs_, [&](const auto& item) {
      return std::ranges::none_of(rows, [&](const StoredRow& row) {
        return row.key.key == platform::kRolloutPrefix + item.first;
      });
    });
  }
  bool changed = false;
  for (const StoredRow& row : rows) {
    const std::string& key = row.key.key;
    if (key == platform::kConfigKey && !row.is_removed) {
      changed |= ApplyConfig(row);
    } else if (key.starts_with(kZonePrefix)) {
      const std::string zone = key.substr(kZonePrefix.size());
      if (row.is_removed) {
        evacuated_zones_.erase(zone);
      } else {
        evacuated_zones_.insert(zone);
      }
    } else if (key.starts_with(platform::kRolloutPrefix)) {
      ApplyRolloutSpec(row);
    }
  }
  has_applied_ = true;
  if (evacuated_zones_ != previous) {
    changed = true;
    std::string zones;
    for (const std::string& zone : evacuated_zones_) {
      zones += (zones.empty() ? "" : ",") + zone;
    }
    LogDecision(LogEvent::kZonesOutChanged, "zones", zones);
  }
  if (changed) {
    on_change_(now);
  }
}

void OperatorWatch::ApplyRolloutSpec(const StoredRow& row) {
  const std::string service =
      row.key.key.substr(std::string_view(platform::kRolloutPrefix).size());
  if (row.is_removed) {
    rollout_specs_.erase(service);
    return;
  }
  RolloutSpec& known = rollout_specs_[service];
  if (known.row_version == row.version) {
    return;
  }
  known = platform::DecodeRolloutSpec(service, row.value);
  known.row_version = row.version;
  known.was_seen_live = has_applied_;
}

bool OperatorWatch::ApplyConfig(const StoredRow& row) {
  Result<ServingConfigPtr> config = platform::DecodeDesiredState(row.value);
  if (!config) {
    LogDecision(LogEvent::kServingConfigUnreadable, "row_version", row.version,
                "reason", config.error().message);
    return false;
  }
  if (config_ && config.value()->version() <= config_->version()) {
    return false;
  }
  LogDecision(LogEvent::kServingConfigAdopted, "version",
              config.value()->version(), "before",
              config_ ? config_->version() : kNoConfig, "row_version",
              row.version);
  config_ = std::move(config).value();
  return true;
}

}  // namespace carawayrelay
