#pragma once

#include "process/telemetry/metrics.h"

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
// Labels: state (usable, draining, leaving, replaced, lapsed, avoided, cold).
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
// Labels: event (asked, repeated, alone).
inline constexpr MetricDescriptor kRateQueries{
    "carawayrelay_rate_queries_total",
    "Requests that another frontend decided, queries sent again, and "
    "requests "
    "that no frontend answered about."};
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
// Labels: ring.
inline constexpr MetricDescriptor kRingLength{"carawayrelay_ring_length",
                                              "Entries that wait in a ring."};
inline constexpr MetricDescriptor kLogLinesDropped{
    "carawayrelay_log_lines_dropped_total",
    "Log lines that were dropped because of the budget or a full queue."};

}  // namespace carawayrelay::serving_metrics
