#include "process/limits/demand_reports.h"

#include <chrono>

namespace carawayrelay {
namespace {

constexpr const char* kTable = "frontend_demand";
constexpr std::chrono::milliseconds kRetry{200};
// Reports of entries that are long gone are removed.
constexpr std::chrono::milliseconds kAbandoned{60000};

}  // namespace

void DemandReports::Tick(TimePoint now) {
  if (is_running_ || now < next_) {
    return;
  }
  is_running_ = true;
  next_ = now + Allowances::kReportInterval;
  RowsTransaction transaction;
  transaction.writes.push_back({.key = {.table = kTable, .key = node_},
                                .value = allowances_.MakeReport(now)});
  store_.Send(std::move(transaction), [this, now](const StoreResponse& reply) {
    if (reply.status != StoreStatus::kDone) {
      is_running_ = false;
      next_ = clock_.now() + kRetry;
      return;
    }
    allowances_.ReportStored(now);
    Read();
  });
}

void DemandReports::Read() {
  store_.Send(RowsRead{.table = kTable}, [this](const StoreResponse& reply) {
    is_running_ = false;
    if (reply.status == StoreStatus::kDone) {
      const TimePoint now = clock_.now();
      allowances_.ApplyReports(reply.rows, now);
      RemoveAbandoned(now);
    }
  });
}

void DemandReports::RemoveAbandoned(TimePoint now) {
  for (const StoredRow& row : allowances_.Abandoned(kAbandoned, now)) {
    const RowKey key{.table = kTable, .key = row.key.key};
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = row.version});
    transaction.removals.push_back(key);
    // Any entry may remove it; a lost race needs no answer.
    store_.Send(std::move(transaction), [](const StoreResponse&) {});
  }
}

}  // namespace carawayrelay
