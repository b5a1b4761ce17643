#include "process/rollout/rollout_coordinator.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "platform/desired_state.h"
#include "process/rollout/rollout_reporter.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLease{2000};
constexpr milliseconds kLeaseRenewal{1000};
// Spreads the writes of all frontends for the same row.
constexpr milliseconds kMaxStartDelay{100};
constexpr milliseconds kMaxTakeoverDelay{300};
// Time in which the new version of a row arrives after its write.
constexpr milliseconds kRowDelay{500};
constexpr milliseconds kDecisionInterval{200};
constexpr milliseconds kReportsWait{1000};
constexpr milliseconds kReportsInterval{250};
// Reports older than this decide nothing.
constexpr milliseconds kMaxReportsAge{2500};
// The last step is told to the operators this much later: the old backend
// servers stop when they learn of it, and all frontends must have read it.
constexpr milliseconds kPublishDelay{400};

platform::RolloutState StateOf(const RolloutRow& row) {
  if (row.step == RolloutStep::kRolledBack) {
    return platform::RolloutState::kRolledBack;
  }
  // A spec that names the current version moves nothing.
  return row.step == RolloutStep::kComplete && row.current != row.to
             ? platform::RolloutState::kComplete
             : platform::RolloutState::kServing;
}

}  // namespace

RolloutCoordinator::RolloutCoordinator(std::string node,
                                       std::uint64_t seed,
                                       const RolloutFollower& follower,
                                       const OperatorWatch& operators,
                                       StoreClient& store,
                                       const EventLoopClock& clock)
    : node_(std::move(node)),
      follower_(follower),
      operators_(operators),
      store_(store),
      clock_(clock),
      random_(seed),
      report_watch_(
          {.table = RolloutReporter::kTable,
           .parts = RolloutReporter::Parts(),
           .wait = kReportsWait,
           .min_interval = kReportsInterval},
          store.sender(),
          clock,
          [this](const std::vector<StoredRow>& rows, bool is_full, TimePoint) {
            ApplyReports(rows, is_full);
          }) {}

void RolloutCoordinator::Tick(TimePoint now) {
  // Out of contact, nothing is decided.
  if (store_.StoreTime(now).count() == 0 || !follower_.IsKnown() ||
      follower_.IsSettled()) {
    work_.clear();
    reports_.clear();
    is_leading_ = false;
    return;
  }
  is_leading_ = false;
  if (follower_.IsConfirmed(now)) {
    for (const auto& [service, versions] : follower_.services()) {
      TickService(service, versions, now);
    }
  }
  if (is_leading_) {
    report_watch_.Tick(now);
  }
}

milliseconds RolloutCoordinator::RandomDelay(milliseconds limit) {
  return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
      0, limit.count())(random_));
}

void RolloutCoordinator::TickService(const std::string& service,
                                     const ServiceVersions& versions,
                                     TimePoint now) {
  if (versions.IsSettled()) {
    work_.erase(service);
    return;
  }
  const milliseconds store_now = store_.StoreTime(now);
  Work& work = work_[service];
  if (versions.spec && versions.spec->row_version != work.spec_version) {
    work.spec_version = versions.spec->row_version;
    work.spec_seen = store_now;
    work.next_try = std::max(work.next_try, now + RandomDelay(kMaxStartDelay));
  }
  const bool is_row_awaited = versions.row_version == work.replaced_version &&
                              work.replaced_version != 0;
  if (versions.row && versions.row->owner == node_ &&
      store_now < versions.row->lease_end) {
    is_leading_ = true;
  }
  if (work.is_writing || now < work.next_try ||
      (is_row_awaited && now < work.row_due)) {
    return;
  }
  if (!versions.row || (versions.row->IsOver() && versions.row->is_published)) {
    Start(service, versions, work, now);
    return;
  }
  if (is_leading_ && versions.row->owner == node_) {
    Lead(service, versions, work, now);
    return;
  }
  if (store_now < versions.row->lease_end) {
    // Makes the first try after the end of the lease, at a random time.
    work.next_try = now + (versions.row->lease_end - store_now) +
                    RandomDelay(kMaxTakeoverDelay);
    return;
  }
  RolloutRow row = *versions.row;
  LogDecision(LogEvent::kRolloutLeaseTaken, "service", service, "before",
              row.owner, "step", ToString(row.step));
  row.owner = node_;
  row.lease_end = store_now + kLease;
  WriteRow(service, versions, row, work, now);
}

void RolloutCoordinator::Start(const std::string& service,
                               const ServiceVersions& versions,
                               Work& work,
                               TimePoint now) {
  const RolloutSpec& spec = *versions.spec;
  const ServingConfigPtr& config = operators_.config();
  if (!config) {
    return;
  }
  RolloutRow row{.current = versions.Current().value_or(""),
                 .to = spec.to,
                 .spec_version = spec.row_version,
                 .step = RolloutStep::kObserve,
                 .started = work.spec_seen,
                 .duration = spec.duration,
                 .step_began = store_.StoreTime(now),
                 .owner = node_,
                 .lease_end = store_.StoreTime(now) + kLease};
  if (!spec.problem.empty()) {
    row.step = RolloutStep::kRolledBack;
    row.reason = spec.problem;
  } else if (config->FindService(service) == nullptr) {
    row.step = RolloutStep::kRolledBack;
    row.reason = "the configuration has no such service";
  } else if (versions.Current() && spec.to == *versions.Current()) {
    row.step = RolloutStep::kComplete;
    row.reason = "the version is the current one";
  }
  LogDecision(LogEvent::kRolloutStarted, "service", service, "from",
              row.current, "to", row.to, "spec_version", row.spec_version,
              "duration_ms", row.duration.count(), "step", ToString(row.step),
              "reason", row.reason);
  WriteRow(service, versions, row, work, now);
}

RolloutInputs RolloutCoordinator::InputsOf(const std::string& service,
                                           const ServiceVersions& versions,
                                           TimePoint now) const {
  const RolloutRow& row = *versions.row;
  RolloutInputs inputs{.store_now = store_.StoreTime(now)};
  if (!versions.spec) {
    inputs.spec = SpecState::kDeleted;
  } else if (!versions.IsSpecOfRow()) {
    inputs.spec = SpecState::kReplaced;
  }
  inputs.has_new_servers = follower_.CountServers(service, row.to) > 0;
  const std::optional<TimePoint> read_at = report_watch_.up_to_date_at();
  inputs.has_reports = read_at && now - *read_at < kMaxReportsAge;
  VersionStatsMap stats;
  bool has_report = false;
  bool is_idle = true;
  for (const auto& [key, report] : reports_) {
    if (report.service != service || report.spec_version != row.spec_version) {
      continue;
    }
    has_report = true;
    is_idle = is_idle && report.step == RolloutStep::kSwitch &&
              report.old_running == 0;
    for (const auto& [version, item] : report.stats) {
      stats[version].Merge(item);
    }
  }
  inputs.is_old_idle = has_report && is_idle;
  inputs.judgement = JudgeVersion(stats, row.current, row.to, row.step);
  return inputs;
}

void RolloutCoordinator::Lead(const std::string& service,
                              const ServiceVersions& versions,
                              Work& work,
                              TimePoint now) {
  if (now < work.next_decision) {
    return;
  }
  work.next_decision = now + kDecisionInterval;
  const milliseconds store_now = store_.StoreTime(now);
  const RolloutRow& row = *versions.row;
  RolloutRow next = row;
  const bool is_published = work.published_spec == row.spec_version &&
                            work.published_step == row.step;
  next.is_published = row.is_published || is_published;
  if (!row.IsOver()) {
    const RolloutInputs inputs = InputsOf(service, versions, now);
    if (const auto decision = NextStep(row, inputs)) {
      next.step = decision->step;
      next.step_began = store_now;
      next.is_published =
          decision->step == RolloutStep::kSwitch && next.is_published;
      next.reason = decision->reason;
      LogDecision(LogEvent::kRolloutStepChanged, "service", service, "to",
                  row.to, "step", ToString(next.step), "elapsed_ms",
                  (store_now - row.started).count(), "responses",
                  inputs.judgement.new_responses, "old_responses",
                  inputs.judgement.old_responses, "reason", next.reason);
    }
  }
  if (next.step == row.step && !next.is_published && !work.is_publishing &&
      (!row.IsOver() || store_now - row.step_began >= kPublishDelay)) {
    Publish(service, row, work);
  }
  if (next != row || row.lease_end - store_now < kLeaseRenewal) {
    next.lease_end = store_now + kLease;
    WriteRow(service, versions, next, work, now);
  }
}

void RolloutCoordinator::Publish(const std::string& service,
                                 const RolloutRow& row,
                                 Work& work) {
  work.is_publishing = true;
  RowsTransaction transaction;
  transaction.writes.push_back(
      {.key = {.table = platform::kStatusTable,
               .key = platform::kRolloutPrefix + service},
       .value = platform::EncodeRolloutStatus(StateOf(row), row.to)});
  store_.Send(std::move(transaction),
              [this, service, spec = row.spec_version,
               step = row.step](const StoreResponse& response) {
                const auto it = work_.find(service);
                if (it == work_.end()) {
                  return;
                }
                it->second.is_publishing = false;
                if (response.status == StoreStatus::kDone) {
                  it->second.published_spec = spec;
                  it->second.published_step = step;
                }
              });
}

void RolloutCoordinator::WriteRow(const std::string& service,
                                  const ServiceVersions& versions,
                                  const RolloutRow& row,
                                  Work& work,
                                  TimePoint now) {
  const RowKey key{.table = RolloutFollower::kTable, .key = service};
  RowsTransaction transaction;
  transaction.expected.push_back({.key = key, .version = versions.row_version});
  transaction.writes.push_back({.key = key, .value = EncodeRolloutRow(row)});
  work.is_writing = true;
  work.replaced_version = versions.row_version;
  work.next_decision = now;
  work.row_due = now + kRowDelay;
  if (versions.row_version == 0) {
    work.next_try = now + kRowDelay;
  }
  store_.Send(std::move(transaction), [this, service](const StoreResponse&) {
    // Whatever the outcome, the watch of the rows tells which one is in effect.
    if (const auto it = work_.find(service); it != work_.end()) {
      it->second.is_writing = false;
      it->second.row_due = clock_.now() + kRowDelay;
    }
  });
}

void RolloutCoordinator::ApplyReports(const std::vector<StoredRow>& rows,
                                      bool is_full) {
  if (is_full) {
    reports_.clear();
  }
  for (const StoredRow& row : rows) {
    if (row.is_removed) {
      reports_.erase(row.key.key);
      continue;
    }
    Result<VersionReport> report = DecodeVersionReport(row.value);
    if (!report) {
      LogDecision(LogEvent::kRolloutReportUnreadable, "reporter", row.key.key,
                  "version", row.version, "reason", report.error().message);
      continue;
    }
    reports_[row.key.key] = std::move(report).value();
  }
}

}  // namespace carawayrelay
