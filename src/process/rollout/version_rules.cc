#include "process/rollout/version_rules.h"

namespace carawayrelay {
namespace {

VersionUse UseOfCanary(const ServiceVersions& versions,
                       RolloutRole role,
                       const std::string& backend_id,
                       bool is_confirmed) {
  const bool is_allowed = role == RolloutRole::kFrontend && is_confirmed &&
                          versions.IsSpecOfRow() &&
                          versions.canary_servers.contains(backend_id) &&
                          versions.share.AllowsCanary();
  return is_allowed ? VersionUse::kPreferred : VersionUse::kRefused;
}

// After the switch a frontend uses the other version only if no backend server
// of the right one is healthy. Out of contact, it does not know whether the
// rollout was rolled back, so the old version goes first while it has servers.
VersionUse UseAfterSwitch(RolloutRole role, bool is_new, bool is_confirmed) {
  if (role == RolloutRole::kWorker) {
    return is_new && is_confirmed ? VersionUse::kNormal : VersionUse::kRefused;
  }
  return is_new == is_confirmed ? VersionUse::kNormal : VersionUse::kReserve;
}

}  // namespace

std::optional<std::string> ServiceVersions::Current() const {
  if (row && row->step == RolloutStep::kComplete) {
    return row->to;
  }
  if (row && !row->current.empty()) {
    return row->current;
  }
  return first_version;
}

VersionUse UseOf(const ServiceVersions& versions,
                 RolloutRole role,
                 const std::string& version,
                 const std::string& backend_id,
                 bool is_confirmed) {
  const std::optional<std::string> current = versions.Current();
  if (!current) {
    return VersionUse::kRefused;
  }
  const bool is_current = version == *current;
  const bool is_new = versions.IsRunning() && version == versions.row->to;
  if (!is_current && !is_new) {
    return VersionUse::kRefused;
  }
  if (versions.IsRunning() && versions.row->step == RolloutStep::kSwitch) {
    return UseAfterSwitch(role, is_new, is_confirmed);
  }
  return is_current ? VersionUse::kNormal
                    : UseOfCanary(versions, role, backend_id, is_confirmed);
}

}  // namespace carawayrelay
