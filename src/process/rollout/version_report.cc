#include "process/rollout/version_report.h"

#include <nlohmann/json.hpp>

#include "version/findings.h"
#include "version/json_reader.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr double kMaxExactInteger = 9e15;
// Entries of one report; 100 entries stay under 64 KiB.
constexpr size_t kMaxEntries = 100;
constexpr const char* kOtherServers = "*";

json EncodeHistogram(const DurationHistogram& histogram) {
  json pairs = json::array();
  for (size_t i = 0; i < DurationHistogram::kBuckets; ++i) {
    if (histogram.counts()[i] > 0) {
      pairs.push_back(i);
      pairs.push_back(histogram.counts()[i]);
    }
  }
  return pairs;
}

DurationHistogram ReadHistogram(JsonReader& reader,
                                const char* name,
                                Findings& findings) {
  DurationHistogram histogram;
  const json* pairs = reader.Find(name);
  if (pairs == nullptr) {
    return histogram;
  }
  if (!pairs->is_array() || pairs->size() % 2 != 0) {
    findings.Add(reader.PathOf(name), "is not a list of pairs");
    return histogram;
  }
  for (size_t i = 0; i < pairs->size(); i += 2) {
    const json& bucket = (*pairs)[i];
    const json& count = (*pairs)[i + 1];
    if (!bucket.is_number_unsigned() || !count.is_number_unsigned() ||
        bucket.get<std::uint64_t>() >= DurationHistogram::kBuckets) {
      findings.Add(reader.PathOf(name), "has an invalid pair");
      return histogram;
    }
    histogram.AddCount(bucket.get<size_t>(), count.get<std::uint64_t>());
  }
  return histogram;
}

std::uint64_t ReadCount(JsonReader& reader, const char* name) {
  return static_cast<std::uint64_t>(
      reader.RequiredNumber(name, 0, kMaxExactInteger));
}

}  // namespace

void VersionStats::Merge(const VersionStats& other) {
  responses += other.responses;
  failures += other.failures;
  first_event.Merge(other.first_event);
  event_interval.Merge(other.event_interval);
  total.Merge(other.total);
}

VersionStats& VersionReport::StatsOf(const VersionKey& key) {
  if (stats.size() < kMaxEntries || stats.contains(key)) {
    return stats[key];
  }
  return stats[{.version = key.version,
                .route = key.route,
                .server = key.server.empty() ? "" : kOtherServers}];
}

std::string EncodeVersionReport(const VersionReport& report) {
  json entries = json::array();
  for (const auto& [key, stats] : report.stats) {
    entries.push_back(
        {{"version", key.version},
         {"route", key.route},
         {"server", key.server},
         {"responses", stats.responses},
         {"failures", stats.failures},
         {"first_event", EncodeHistogram(stats.first_event)},
         {"event_interval", EncodeHistogram(stats.event_interval)},
         {"total", EncodeHistogram(stats.total)}});
  }
  return json{{"service", report.service},
              {"spec_version", report.spec_version},
              {"step", static_cast<int>(report.step)},
              {"old_running", report.old_running},
              {"entries", std::move(entries)}}
      .dump();
}

Result<VersionReport> DecodeVersionReport(const std::string& text) {
  Findings findings;
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  JsonReader reader(root, "", findings);
  VersionReport report;
  report.service = reader.RequiredString("service");
  report.spec_version = ReadCount(reader, "spec_version");
  report.step = static_cast<RolloutStep>(reader.RequiredNumber(
      "step", 0, static_cast<double>(RolloutStep::kRolledBack)));
  report.old_running = ReadCount(reader, "old_running");
  reader.ForEach("entries", [&](const json& item, const std::string& path) {
    JsonReader entry(item, path, findings);
    VersionKey key{.version = entry.OptionalString("version", ""),
                   .route = entry.OptionalString("route", ""),
                   .server = entry.OptionalString("server", "")};
    VersionStats stats{
        .responses = ReadCount(entry, "responses"),
        .failures = ReadCount(entry, "failures"),
        .first_event = ReadHistogram(entry, "first_event", findings),
        .event_interval = ReadHistogram(entry, "event_interval", findings),
        .total = ReadHistogram(entry, "total", findings)};
    report.stats[std::move(key)].Merge(stats);
  });
  if (!findings.empty()) {
    return Error{ErrorCode::kInvalid, findings.ToText()};
  }
  return report;
}

}  // namespace carawayrelay
