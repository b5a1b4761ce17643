#pragma once

#include <cstdint>

#include "process/telemetry/metrics.h"
#include "process/transport/request_memory_budget.h"

// Metrics of the serving roles, except those of finished requests.
namespace carawayrelay::serving_metrics {

// Labels: event (served, refused, broken, abandoned, resent, quarantined, held,
// unheld).
inline constexpr MetricDescriptor kRequestEvents{
    "carawayrelay_request_events_total",
    "Decisions about online requests of this frontend."};
inline constexpr MetricDescriptor kRequestsActive{
    "carawayrelay_requests_active", "Online requests that are not answered."};
// Labels: result (answered, failed, timed_out, declined, cancelled).
inline constexpr MetricDescriptor kAttempts{
    "carawayrelay_attempts_total",
    "Ended attempts to run an online request on a backend server."};
// Labels: event (completed, given_up, yielded, released).
inline constexpr MetricDescriptor kItemEvents{
    "carawayrelay_item_events_total",
    "Decisions about batch items of this worker."};
// Labels: result (answered, unanswered).
inline constexpr MetricDescriptor kPaceProbes{
    "carawayrelay_pace_probes_total",
    "Calls to the health path for the pace of backend servers."};
// Labels: state (usable, draining, leaving, replaced, lapsed, avoided, cold,
// slow_start, with_pace).
inline constexpr MetricDescriptor kBackends{
    "carawayrelay_runners", "Known entries of backend servers by state."};
inline constexpr MetricDescriptor kQuarantinedParts{
    "carawayrelay_prompt_parts_quarantined",
    "Parts of prompts that are not sent, because backend servers crash on "
    "them."};
inline constexpr MetricDescriptor kJobs{"carawayrelay_jobs_known",
                                        "Batch jobs that this process knows."};
// Labels: call, status.
inline constexpr MetricDescriptor kStoreCalls{"carawayrelay_store_calls_total",
                                              "Finished calls to the store."};
// Labels: call.
inline constexpr MetricDescriptor kStoreCallDuration{
    "carawayrelay_store_call_duration_seconds",
    "Time until a call to the store was finished."};
inline constexpr MetricDescriptor kRateMembers{
    "carawayrelay_rate_members", "Frontends that hold the rates together."};
// Labels: event (asked, repeated, alone, waited).
inline constexpr MetricDescriptor kRateQueries{
    "carawayrelay_rate_queries_total",
    "Requests that another frontend decided, queries sent again, requests that "
    "no frontend answered about, and times that a request waited for its "
    "rate."};
// Labels: state (reduced, ejected, probing).
inline constexpr MetricDescriptor kServerHealth{
    "carawayrelay_runner_health",
    "Backend servers that get fewer requests because they fail, by state."};
// Labels: event (ejected, returned, limited).
inline constexpr MetricDescriptor kEjections{
    "carawayrelay_runner_ejections_total",
    "Ejections of failing backend servers, their ends, and how often the limit "
    "of half of a service prevented one."};
inline constexpr MetricDescriptor kDistrustedReporters{
    "carawayrelay_health_reporters_distrusted",
    "Frontends whose health reports do not count, because they accuse many "
    "backend servers."};
// Labels: event (sent, received, forwarded, ignored).
inline constexpr MetricDescriptor kHealthReports{
    "carawayrelay_health_reports_total",
    "Health datagrams sent, and health reports of other frontends that were "
    "applied, forwarded or ignored."};
// Labels: service. 0 observe, 1 switch, 2 complete, 3 rolled back.
inline constexpr MetricDescriptor kRolloutStep{
    "carawayrelay_rollout_step", "Step of the latest rollout of a service."};
// Labels: service, kind (all, new).
inline constexpr MetricDescriptor kRolloutRequests{
    "carawayrelay_rollout_requests",
    "Requests that this frontend sent to a service since the latest rollout "
    "spec, in total and to the new version."};
inline constexpr MetricDescriptor kConfigVersion{
    "carawayrelay_config_version", "Version of the configuration in effect."};
inline constexpr MetricDescriptor kConfigAge{
    "carawayrelay_config_age_seconds",
    "Time since it was last certain that there is no newer configuration."};
inline constexpr MetricDescriptor kCallsRunning{
    "carawayrelay_calls_running", "Calls to the store and backend servers."};
inline constexpr MetricDescriptor kRequestMemory{
    "carawayrelay_request_memory_bytes",
    "Memory of the requests of clients that this process holds."};
// Labels: limit (memory, connections, request).
inline constexpr MetricDescriptor kInputLimited{
    "carawayrelay_input_limited_total",
    "Requests and connections of clients that were refused or closed by a "
    "limit before a handler had them."};
// Labels: ring.
inline constexpr MetricDescriptor kRingLength{"carawayrelay_ring_length",
                                              "Entries that wait in a ring."};
inline constexpr MetricDescriptor kLogLinesDropped{
    "carawayrelay_log_lines_dropped_total",
    "Log lines that were dropped because of the budget or a full queue."};

}  // namespace carawayrelay::serving_metrics

namespace carawayrelay {

// Sets the metrics of the request memory.
inline void SetRequestMemoryMetrics(
    Metrics& metrics,
    const RequestMemoryBudget::Counters& counters) {
  namespace names = serving_metrics;
  metrics.SetGauge(names::kRequestMemory, {},
                   static_cast<double>(counters.held_bytes));
  const auto set = [&](const char* limit, std::uint64_t value) {
    metrics.SetCounter(names::kInputLimited, {{"limit", limit}}, value);
  };
  set("memory", counters.refused_requests);
  set("connections", counters.closed_connections);
  set("request", counters.rejected_requests);
}

}  // namespace carawayrelay
