#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "process/rollout/duration_histogram.h"
#include "process/rollout/rollout_row.h"
#include "request/error.h"

namespace carawayrelay {

// What the responses of a version showed.
struct VersionStats {
  std::uint64_t responses = 0;  // ended attempts, failed ones included
  std::uint64_t failures = 0;
  // Durations of warm backend servers only.
  DurationHistogram first_event;
  DurationHistogram event_interval;  // mean over the first events of a stream
  DurationHistogram total;           // of responses that are not streams

  void Merge(const VersionStats& other);
  friend bool operator==(const VersionStats&, const VersionStats&) = default;
};

struct VersionKey {
  std::string version;
  std::string route;
  // Address of the backend server, which a restart does not change. Empty for
  // the old version, where servers are not distinguished.
  std::string server;

  friend auto operator<=>(const VersionKey&, const VersionKey&) = default;
};

using VersionStatsMap = std::map<VersionKey, VersionStats>;

// What one frontend tells the coordinator about a running rollout, since it
// learned of the rollout.
struct VersionReport {
  std::string service;
  std::uint64_t spec_version = 0;
  RolloutStep step = RolloutStep::kObserve;  // the step that it follows
  // Requests of this frontend that run on backend servers of the old version.
  std::uint64_t old_running = 0;
  VersionStatsMap stats;

  // Returns the statistics to add to. Beyond a number of entries, further
  // backend servers share one, so that the report fits into a row.
  VersionStats& StatsOf(const VersionKey& key);
  friend bool operator==(const VersionReport&, const VersionReport&) = default;
};

std::string EncodeVersionReport(const VersionReport& report);
// Fails with kInvalid if `text` is not a report.
Result<VersionReport> DecodeVersionReport(const std::string& text);

}  // namespace carawayrelay
