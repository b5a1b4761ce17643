#include "process/quarantine/crash_report_exchange.h"

#include <chrono>
#include <set>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTable = "crash_reports";
// The rows have a part of their own, because the store limits the writes to one
// part, and a mass failure lets many processes report at once.
constexpr const char* kPart = "crashes";
constexpr milliseconds kWatchWait{2000};
// Bounds the calls of this process during a mass failure.
constexpr milliseconds kMinWatchInterval{100};
constexpr milliseconds kMinWriteInterval{200};
constexpr milliseconds kRetryInterval{200};
constexpr std::chrono::minutes kCleanupInterval{1};

}  // namespace

CrashReportExchange::CrashReportExchange(std::string node,
                                         PromptQuarantine& quarantine,
                                         StoreClient& store,
                                         const EventLoopClock& clock)
    : node_(std::move(node)),
      quarantine_(quarantine),
      store_(store),
      clock_(clock),
      watch_({.table = kTable,
              .parts = {kPart},
              .wait = kWatchWait,
              .min_interval = kMinWatchInterval},
             store.sender(),
             clock,
             [this](const std::vector<StoredRow>& rows,
                    bool is_full,
                    TimePoint now) { ApplyRows(rows, is_full, now); }) {}

void CrashReportExchange::Tick(TimePoint now) {
  quarantine_.Tick(now);
  watch_.Tick(now);
  // The row of an earlier run of this process must be read before it is
  // replaced.
  if (!watch_.up_to_date_at() || is_writing_ || now < next_write_) {
    return;
  }
  if (quarantine_.own_version() != written_version_) {
    Write(now);
  } else if (now >= next_cleanup_) {
    next_cleanup_ = now + kCleanupInterval;
    RemoveExpiredRows(now);
  }
}

void CrashReportExchange::ApplyRows(const std::vector<StoredRow>& rows,
                                    bool is_full,
                                    TimePoint now) {
  if (is_full) {
    std::set<std::string> present;
    for (const StoredRow& row : rows) {
      present.insert(row.key.key);
    }
    std::erase_if(row_versions_, [&](const auto& item) {
      if (present.contains(item.first)) {
        return false;
      }
      quarantine_.Remove(item.first, now);
      return true;
    });
  }
  std::map<std::string, CrashReport> reports;
  for (const StoredRow& row : rows) {
    ApplyRow(row, reports, now);
  }
  if (!reports.empty()) {
    quarantine_.Apply(std::move(reports), now);
  }
}

void CrashReportExchange::ApplyRow(const StoredRow& row,
                                   std::map<std::string, CrashReport>& reports,
                                   TimePoint now) {
  const std::string& node = row.key.key;
  if (row.is_removed) {
    row_versions_.erase(node);
    reports.erase(node);
    quarantine_.Remove(node, now);
    return;
  }
  if (node == node_ && has_written_) {
    return;
  }
  Result<CrashReport> report = DecodeCrashReport(
      row.value, {.local = now, .store = store_.StoreTime(now)});
  if (!report) {
    LogDecision(LogEvent::kCrashReportUnreadable, "reporter", node, "version",
                row.version, "reason", report.error().message);
    return;
  }
  if (node == node_) {
    quarantine_.TakeOver(report.value(), now);
    return;
  }
  row_versions_[node] = row.version;
  reports[node] = std::move(report).value();
}

void CrashReportExchange::Write(TimePoint now) {
  is_writing_ = true;
  has_written_ = true;
  next_write_ = now + kMinWriteInterval;
  const std::uint64_t version = quarantine_.own_version();
  const RowKey key{.table = kTable, .part = kPart, .key = node_};
  RowsTransaction transaction;
  if (quarantine_.own_report().IsEmpty()) {
    transaction.removals.push_back(key);
  } else {
    transaction.writes.push_back(
        {.key = key,
         .value = EncodeCrashReport(
             quarantine_.own_report(),
             {.local = now, .store = store_.StoreTime(now)})});
  }
  store_.Send(std::move(transaction),
              [this, version](const StoreResponse& response) {
                is_writing_ = false;
                if (response.status == StoreStatus::kDone) {
                  written_version_ = version;
                } else {
                  next_write_ = clock_.now() + kRetryInterval;
                }
              });
}

void CrashReportExchange::RemoveExpiredRows(TimePoint now) {
  for (const std::string& node : quarantine_.ExpiredReports(now)) {
    const auto it = row_versions_.find(node);
    if (it == row_versions_.end()) {
      continue;
    }
    const RowKey key{.table = kTable, .part = kPart, .key = node};
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = it->second});
    transaction.removals.push_back(key);
    // The outcome is ignored: if the removal fails, another process has changed
    // the row first or a later pass removes it.
    store_.Send(std::move(transaction), [](const StoreResponse&) {});
  }
}

}  // namespace carawayrelay
