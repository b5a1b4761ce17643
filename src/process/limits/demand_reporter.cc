#include "process/limits/demand_reporter.h"

#include <chrono>

namespace carawayrelay {
namespace {

constexpr const char* kTable = "frontend_demand";
constexpr std::chrono::milliseconds kRetryInterval{200};
// Reports that were not renewed for this long are removed from the store.
constexpr std::chrono::milliseconds kStaleReportAge{60000};

}  // namespace

void DemandReporter::Tick(TimePoint now) {
  if (is_call_in_flight_ || now < next_report_at_) {
    return;
  }
  is_call_in_flight_ = true;
  next_report_at_ = now + Allowances::kReportInterval;
  RowsTransaction transaction;
  transaction.writes.push_back({.key = {.table = kTable, .key = node_},
                                .value = allowances_.MakeReport(now)});
  store_.Send(std::move(transaction), [this, now](const StoreResponse& reply) {
    if (reply.status != StoreStatus::kDone) {
      is_call_in_flight_ = false;
      next_report_at_ = clock_.now() + kRetryInterval;
      return;
    }
    allowances_.HandleReportStored(now);
    Read();
  });
}

void DemandReporter::Read() {
  store_.Send(RowsRead{.table = kTable}, [this](const StoreResponse& reply) {
    is_call_in_flight_ = false;
    if (reply.status == StoreStatus::kDone) {
      const TimePoint now = clock_.now();
      allowances_.ApplyReports(reply.rows, now);
      RemoveStaleReports(now);
    }
  });
}

void DemandReporter::RemoveStaleReports(TimePoint now) {
  for (const StoredRow& row : allowances_.StaleReports(kStaleReportAge, now)) {
    const RowKey key{.table = kTable, .key = row.key.key};
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = row.version});
    transaction.removals.push_back(key);
    // Any frontend may remove the row. The outcome is ignored: if the removal
    // fails, another frontend has changed the row first or a later pass removes
    // it.
    store_.Send(std::move(transaction), [](const StoreResponse&) {});
  }
}

}  // namespace carawayrelay
