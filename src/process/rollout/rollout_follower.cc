#include "process/rollout/rollout_follower.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <tuple>
#include <utility>

#include "process/rollout/canary_group.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// The step must be confirmed within RolloutSettings::MaxStepAge(). Workers are
// more numerous and only the switch concerns them.
constexpr milliseconds kFrontendWait{500};
constexpr milliseconds kWorkerWait{1000};
constexpr milliseconds kMinWatchInterval{100};
constexpr milliseconds kSelectionInterval{100};
// Part of the rollout after which other servers get the canary requests.
constexpr double kTurn = 0.34;
// Part of the slack that the frontends may use together. Each gets a random
// part of one request, so that the first canary requests are spread over time:
// without it all frontends would send none for seconds and then one each.
constexpr double kCreditShare = 0.9;

}  // namespace

RolloutFollower::RolloutFollower(RolloutSettings settings,
                                 RolloutRole role,
                                 std::uint64_t seed,
                                 OperatorWatch& operators,
                                 BackendDirectory& backends,
                                 StoreClient& store,
                                 const EventLoopClock& clock)
    : settings_(settings),
      role_(role),
      operators_(operators),
      backends_(backends),
      store_(store),
      clock_(clock),
      random_(seed),
      watch_(
          {.table = kTable,
           .wait = role == RolloutRole::kFrontend ? kFrontendWait : kWorkerWait,
           .min_interval = kMinWatchInterval},
          store.sender(),
          clock,
          [this](const std::vector<StoredRow>& rows, bool is_full, TimePoint) {
            ApplyRows(rows, is_full);
          }) {
  backends_.SetVersionRule(
      [this](const BackendRegistration& r) { return UseOfBackend(r); },
      [this](const BackendRegistration& r) { NoteSent(r); });
}

void RolloutFollower::Tick(TimePoint now) {
  ApplySpecs();
  if (!IsKnown() || !IsSettled()) {
    watch_.Tick(now);
  }
  if (now >= next_selection_) {
    next_selection_ = now + kSelectionInterval;
    FindFirstVersions();
    SelectCanaryServers(now);
  }
}

const ServiceVersions* RolloutFollower::Find(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

bool RolloutFollower::IsSettled() const {
  return std::ranges::all_of(
      services_, [](const auto& item) { return item.second.IsSettled(); });
}

bool RolloutFollower::IsConfirmed(TimePoint now) const {
  return watch_.up_to_date_at() &&
         now - *watch_.up_to_date_at() < settings_.MaxStepAge();
}

size_t RolloutFollower::CountServers(const std::string& service,
                                     const std::string& version) const {
  return static_cast<size_t>(
      std::ranges::count_if(backends_.all(), [&](const auto& item) {
        const BackendRegistration& registration = item.second.registration;
        return registration.service == service &&
               registration.software_version == version &&
               backends_.IsInService(item.second);
      }));
}

VersionUse RolloutFollower::UseOfBackend(
    const BackendRegistration& registration) const {
  const auto it = services_.find(registration.service);
  // Before the rows are read it is not known which version is current.
  if (!IsKnown() || it == services_.end()) {
    return VersionUse::kRefused;
  }
  return UseOf(it->second, role_, registration.software_version,
               registration.id, IsConfirmed(clock_.now()));
}

void RolloutFollower::NoteSent(const BackendRegistration& registration) {
  const auto it = services_.find(registration.service);
  if (it != services_.end() && it->second.spec) {
    it->second.share.NoteSent(registration.software_version ==
                              it->second.spec->to);
  }
}

void RolloutFollower::ApplyRows(const std::vector<StoredRow>& rows,
                                bool is_full) {
  if (is_full) {
    for (auto& [service, versions] : services_) {
      ForgetRow(versions);
    }
  }
  for (const StoredRow& row : rows) {
    ServiceVersions& versions = services_[row.key.key];
    if (row.is_removed) {
      ForgetRow(versions);
      continue;
    }
    Result<RolloutRow> decoded = DecodeRolloutRow(row.value);
    if (!decoded) {
      LogDecision(LogEvent::kRolloutRowUnreadable, "service", row.key.key,
                  "version", row.version, "reason", decoded.error().message);
      // The version lets the coordinator replace the row.
      versions.row_version = row.version;
      continue;
    }
    versions.row = std::move(decoded).value();
    versions.row_version = row.version;
  }
}

void RolloutFollower::ForgetRow(ServiceVersions& versions) {
  versions.first_version = versions.Current();
  versions.row.reset();
  versions.row_version = 0;
}

void RolloutFollower::ApplySpecs() {
  const auto& specs = operators_.rollout_specs();
  for (auto& [service, versions] : services_) {
    if (!specs.contains(service)) {
      versions.spec.reset();
    }
  }
  for (const auto& [service, spec] : specs) {
    ServiceVersions& versions = services_[service];
    if (versions.spec && versions.spec->row_version == spec.row_version) {
      continue;
    }
    versions.spec = spec;
    const bool has_credit =
        spec.was_seen_live && frontends_ > 0 &&
        static_cast<double>(frontends_) <= kCreditShare * settings_.slack;
    std::uniform_real_distribution<double> credit(0, 1);
    versions.share =
        VersionShare(settings_.UsedShare(), has_credit ? credit(random_) : 0);
    versions.canary_servers.clear();
    next_selection_ = TimePoint{};
  }
}

void RolloutFollower::FindFirstVersions() {
  if (!IsKnown() || !operators_.IsSynced()) {
    return;
  }
  // The version with the oldest server is the one that was there first.
  struct Candidate {
    milliseconds oldest = milliseconds::max();
    int servers = 0;
  };
  std::map<std::string, std::map<std::string, Candidate>> candidates;
  for (const auto& [id, backend] : backends_.all()) {
    const BackendRegistration& registration = backend.registration;
    const ServiceVersions* versions = Find(registration.service);
    if (versions != nullptr && versions->Current()) {
      continue;
    }
    Candidate& candidate =
        candidates[registration.service][registration.software_version];
    candidate.servers += 1;
    if (registration.started_at.count() > 0) {
      candidate.oldest = std::min(candidate.oldest, registration.started_at);
    }
  }
  for (auto& [service, by_version] : candidates) {
    ServiceVersions& versions = services_[service];
    if (versions.spec && by_version.size() > 1) {
      by_version.erase(versions.spec->to);
    }
    const auto first =
        std::ranges::min_element(by_version, {}, [](const auto& item) {
          return std::tuple(item.second.oldest, -item.second.servers);
        });
    versions.first_version = first->first;
    LogDecision(LogEvent::kServiceVersionFound, "service", service, "version",
                first->first, "servers", first->second.servers, "versions",
                by_version.size());
  }
}

void RolloutFollower::SelectCanaryServers(TimePoint now) {
  for (auto& [service, versions] : services_) {
    if (!versions.IsRunning() || versions.row->step != RolloutStep::kObserve) {
      versions.canary_servers.clear();
      continue;
    }
    std::vector<CanaryCandidate> candidates;
    for (const auto& [id, backend] : backends_.all()) {
      if (backend.registration.service == service &&
          backend.registration.software_version == versions.row->to &&
          backends_.IsInService(backend)) {
        candidates.push_back({.id = id, .is_cold = now < backend.cold_until});
      }
    }
    const std::chrono::duration<double> elapsed =
        store_.StoreTime(now) - versions.row->started;
    const double turn = elapsed / (versions.row->duration * kTurn);
    versions.canary_servers = SelectCanaryGroup(
        std::move(candidates), CountServers(service, versions.row->current),
        settings_.UsedShare(), static_cast<size_t>(std::max(turn, 0.0)));
  }
}

}  // namespace carawayrelay
