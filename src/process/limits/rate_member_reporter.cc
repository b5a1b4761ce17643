#include "process/limits/rate_member_reporter.h"

#include <chrono>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTable = "rate_members";
constexpr milliseconds kReportInterval{2000};
// Until the other frontends are known. Longer than frontends that are started
// together differ in their start.
constexpr milliseconds kFirstReportInterval{500};
constexpr milliseconds kRetryInterval{200};

}  // namespace

void RateMemberReporter::Tick(TimePoint now) {
  if (is_call_in_flight_ || now < next_report_at_) {
    return;
  }
  is_call_in_flight_ = true;
  next_report_at_ = now + (rates_.members().IsSettled() ? kReportInterval
                                                        : kFirstReportInterval);
  RowsTransaction transaction;
  transaction.writes.push_back(
      {.key = {.table = kTable, .key = options_.node},
       .value =
           EncodeRateMemberReport({.address = options_.address,
                                   .weight = options_.weight,
                                   .granted = rates_.holder().Granted(now)})});
  store_.Send(std::move(transaction), [this](const StoreResponse& response) {
    if (response.status != StoreStatus::kDone) {
      is_call_in_flight_ = false;
      next_report_at_ = clock_.now() + kRetryInterval;
      return;
    }
    Read();
  });
}

void RateMemberReporter::Read() {
  store_.Send(RowsRead{.table = kTable}, [this](const StoreResponse& response) {
    is_call_in_flight_ = false;
    if (response.status != StoreStatus::kDone) {
      next_report_at_ = clock_.now() + kRetryInterval;
      return;
    }
    rates_.members().Apply(response.rows, clock_.now());
    RemoveAbandonedRows();
  });
}

void RateMemberReporter::RemoveAbandonedRows() {
  for (const StoredRow& row : rates_.members().AbandonedRows()) {
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
