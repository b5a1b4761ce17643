#include "process/rollout/rollout_reporter.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// The store limits the transactions of one part to 200 a second, and each
// frontend writes one a second.
constexpr std::uint64_t kParts = 8;
// Shortest time between two writes, also when the canary version failed.
constexpr milliseconds kMinWriteInterval{300};
// The servers of the new version have just started, and their remaining cold
// time may be wrong. So short that the version gets fewer than 50 requests.
constexpr milliseconds kSlowStart{3000};
constexpr int kSlowStartPart = 4;  // of the duration, at most
// A client that disconnects sooner does not show that a response is slow.
constexpr milliseconds kMinWait{1000};

std::string PartName(std::uint64_t index) {
  return "reports-" + std::to_string(index);
}

}  // namespace

RolloutReporter::RolloutReporter(std::string node,
                                 const RolloutFollower& follower,
                                 BackendDirectory& backends,
                                 StoreClient& store,
                                 const EventLoopClock& clock)
    : node_(std::move(node)),
      follower_(follower),
      backends_(backends),
      store_(store),
      clock_(clock) {}

std::vector<std::string> RolloutReporter::Parts() {
  std::vector<std::string> parts;
  for (std::uint64_t i = 0; i < kParts; ++i) {
    parts.push_back(PartName(i));
  }
  return parts;
}

RowKey RolloutReporter::KeyOf(const std::string& service,
                              const std::string& node) {
  return {.table = kTable,
          .part = PartName(XXH3_64bits(node.data(), node.size()) % kParts),
          .key = service + "/" + node};
}

RolloutReporter::Report& RolloutReporter::ReportOf(
    const std::string& service,
    const ServiceVersions& versions) {
  Report& report = reports_[service];
  if (report.report.spec_version != versions.row->spec_version) {
    report.report = VersionReport{.service = service,
                                  .spec_version = versions.row->spec_version};
    report.next_write = TimePoint{};
  }
  return report;
}

VersionStats* RolloutReporter::StatsOf(const AttemptOutcome& outcome,
                                       TimePoint now,
                                       bool& is_cold,
                                       bool& is_canary) {
  const ServiceVersions* versions = follower_.Find(outcome.service);
  const BackendDirectory::Backend* backend = backends_.Find(outcome.backend_id);
  if (versions == nullptr || !versions->IsRunning() ||
      !versions->IsSpecOfRow() || backend == nullptr) {
    return nullptr;
  }
  const BackendRegistration& registration = backend->registration;
  is_canary = registration.software_version == versions->row->to;
  is_cold = now < backend->cold_until;
  if (is_canary) {
    const milliseconds grace =
        std::min(kSlowStart, versions->row->duration / kSlowStartPart);
    is_cold |= store_.StoreTime(now) - versions->row->started < grace;
  }
  return &ReportOf(outcome.service, *versions)
              .report.StatsOf(
                  {.version = registration.software_version,
                   .route = outcome.route,
                   .server = is_canary ? registration.address : ""});
}

void RolloutReporter::ObserveProgress(const AttemptOutcome& outcome,
                                      TimePoint now) {
  bool is_cold = false;
  bool is_canary = false;
  VersionStats* stats = StatsOf(outcome, now, is_cold, is_canary);
  if (stats == nullptr || is_cold || !outcome.first_event) {
    return;
  }
  if (outcome.events == 1) {
    stats->first_event.Add(*outcome.first_event);
  } else if (outcome.events == kPaceEvents) {
    stats->event_interval.Add((outcome.total - *outcome.first_event) /
                              (kPaceEvents - 1));
  }
}

void RolloutReporter::ObserveEnd(const AttemptOutcome& outcome, TimePoint now) {
  const bool is_cancelled = outcome.result == AttemptResult::kCancelled;
  if (outcome.result == AttemptResult::kDeclined ||
      (is_cancelled && (outcome.events > 0 || outcome.total < kMinWait))) {
    return;
  }
  bool is_cold = false;
  bool is_canary = false;
  VersionStats* stats = StatsOf(outcome, now, is_cold, is_canary);
  if (stats == nullptr) {
    return;
  }
  if (is_cancelled) {
    // The client gave up before anything came; how long it would have taken is
    // not known, only that it was longer.
    if (!is_cold) {
      stats->first_event.Add(outcome.total);
      stats->total.Add(outcome.total);
    }
    return;
  }
  const bool has_failed = outcome.result != AttemptResult::kAnswered;
  ++stats->responses;
  stats->failures += has_failed ? 1 : 0;
  if (!has_failed && !is_cold && outcome.events == 0) {
    stats->total.Add(outcome.total);
  }
  if (has_failed && is_canary) {
    Report& report = reports_[outcome.service];
    report.next_write =
        std::min(report.next_write, report.written_at + kMinWriteInterval);
  }
}

std::uint64_t RolloutReporter::CountRunning(const std::string& service,
                                            const std::string& version) const {
  std::uint64_t running = 0;
  for (const auto& [id, backend] : backends_.all()) {
    if (backend.registration.service == service &&
        backend.registration.software_version == version) {
      running += static_cast<std::uint64_t>(std::max(0, backend.own_calls));
    }
  }
  return running;
}

void RolloutReporter::Tick(TimePoint now) {
  for (const auto& [service, versions] : follower_.services()) {
    if (versions.IsRunning() && versions.IsSpecOfRow()) {
      Report& report = ReportOf(service, versions);
      if (now >= report.next_write && !report.is_writing) {
        report.report.step = versions.row->step;
        report.report.old_running =
            CountRunning(service, versions.row->current);
        Write(service, report, now);
      }
    } else if (const auto it = reports_.find(service); it != reports_.end() &&
                                                       !it->second.is_writing &&
                                                       versions.IsSettled()) {
      if (it->second.has_row) {
        Remove(service);
      }
      reports_.erase(it);
    }
  }
}

void RolloutReporter::Write(const std::string& service,
                            Report& report,
                            TimePoint now) {
  report.is_writing = true;
  report.has_row = true;
  report.written_at = now;
  report.next_write = now + follower_.settings().ReportInterval();
  RowsTransaction transaction;
  transaction.writes.push_back({.key = KeyOf(service, node_),
                                .value = EncodeVersionReport(report.report)});
  store_.Send(std::move(transaction),
              [this, service](const StoreResponse& response) {
                Report& written = reports_[service];
                written.is_writing = false;
                if (response.status != StoreStatus::kDone) {
                  written.next_write = clock_.now() + kMinWriteInterval;
                }
              });
}

void RolloutReporter::Remove(const std::string& service) {
  RowsTransaction transaction;
  transaction.removals.push_back(KeyOf(service, node_));
  // The outcome is ignored: the next rollout replaces a row that stays.
  store_.Send(std::move(transaction), [](const StoreResponse&) {});
}

}  // namespace carawayrelay
