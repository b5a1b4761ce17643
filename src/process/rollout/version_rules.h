#pragma once

#include <optional>
#include <set>
#include <string>

#include "process/rollout/rollout_row.h"
#include "process/rollout/version_share.h"
#include "process/rollout/version_use.h"
#include "request/boot_clock.h"
#include "version/rollout_spec.h"

namespace carawayrelay {

// Which processes use a rule: workers send nothing to a canary version, and
// nothing to the old version after the switch.
enum class RolloutRole { kFrontend, kWorker };

// What one process knows of the versions of a service.
struct ServiceVersions {
  std::optional<RolloutSpec> spec;
  std::optional<RolloutRow> row;
  std::uint64_t row_version = 0;
  // Current version as the registrations show it; used while no row tells it.
  std::optional<std::string> first_version;
  // Ids of the backend servers that get the requests to the canary version.
  std::set<std::string> canary_servers;
  // Counts since the spec was read.
  VersionShare share;

  // The version that serves when no rollout runs; not set when unknown.
  std::optional<std::string> Current() const;
  // Whether the row describes a rollout that is not over.
  bool IsRunning() const { return row && !row->IsOver(); }
  // Whether the row of the rollout agrees with the spec that this process has
  // read.
  bool IsSpecOfRow() const {
    return spec && row && spec->row_version == row->spec_version;
  }
  // Whether nothing is left to do about the spec and the row.
  bool IsSettled() const {
    return (!row || (row->IsOver() && row->is_published)) &&
           (!spec || IsSpecOfRow());
  }
};

// Returns how a backend server may be used. `is_confirmed` tells whether the
// step in the row was confirmed recently.
VersionUse UseOf(const ServiceVersions& versions,
                 RolloutRole role,
                 const std::string& version,
                 const std::string& backend_id,
                 bool is_confirmed);

}  // namespace carawayrelay
