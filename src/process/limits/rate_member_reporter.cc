#include "process/limits/rate_member_reporter.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTable = "rate_parts";
constexpr milliseconds kReportInterval{2000};
// Until all other frontends count this one.
constexpr milliseconds kJoinInterval{300};
constexpr milliseconds kRetryInterval{200};

}  // namespace

void RateMemberReporter::Tick(TimePoint now) {
  if (!started_at_) {
    started_at_ = now;
  }
  if (is_call_in_flight_ || now < next_report_at_) {
    return;
  }
  is_call_in_flight_ = true;
  next_report_at_ = now + (is_counted_ ? kReportInterval : kJoinInterval);
  if (has_read_) {
    Write();
  } else {
    Read();
  }
}

void RateMemberReporter::Write() {
  const RowKey key{.table = kTable, .key = options_.node};
  RowsTransaction transaction;
  // A row that was removed must not be written again as if it had been there
  // all the time.
  transaction.expected.push_back({.key = key, .version = own_version_});
  transaction.writes.push_back(
      {.key = key,
       .value = EncodeRateMemberReport(
           {.address = options_.address,
            .weight = options_.weight,
            .seen_version = rates_.members().seen_version(),
            .is_counted = is_counted_})});
  store_(std::move(transaction), [this](const StoreResponse& response) {
    // After a conflict or a lost answer, the read shows the row as it is.
    if (response.status == StoreStatus::kRefused ||
        response.status == StoreStatus::kRejected) {
      Fail();
      return;
    }
    Read();
  });
}

void RateMemberReporter::Read() {
  rows_.clear();
  rows_version_ = 0;
  store_(RowsRead{.table = kTable},
         [this](StoreResponse response) { OnRead(std::move(response)); });
}

void RateMemberReporter::OnRead(StoreResponse response) {
  if (response.status != StoreStatus::kDone) {
    Fail();
    return;
  }
  rows_version_ = rows_version_ == 0
                      ? response.version
                      : std::min(rows_version_, response.version);
  const bool has_more = response.has_more && !response.rows.empty();
  std::move(response.rows.begin(), response.rows.end(),
            std::back_inserter(rows_));
  if (!has_more) {
    OnRows();
    return;
  }
  store_(RowsRead{.table = kTable, .from = rows_.back().key.key + '\0'},
         [this](StoreResponse next) { OnRead(std::move(next)); });
}

void RateMemberReporter::OnRows() {
  is_call_in_flight_ = false;
  rates_.ApplyRows(rows_, rows_version_, clock_.now());
  const StoredRow* own = rates_.members().own_row();
  if (!has_read_ && own != nullptr) {
    // An earlier process of this frontend wrote the row.
    const auto report = DecodeRateMemberReport(own->value);
    is_counted_ = report && report->is_counted;
  }
  has_read_ = true;
  if (own == nullptr) {
    own_version_ = 0;
    joined_version_ = 0;
    is_counted_ = false;
    rates_.SuspendLending();
    next_report_at_ = clock_.now();
    return;
  }
  own_version_ = own->version;
  if (joined_version_ == 0) {
    joined_version_ = own->version;
  }
  UpdateLending(clock_.now());
  RemoveAbandonedRows();
}

void RateMemberReporter::UpdateLending(TimePoint now) {
  if (rates_.lender().IsStarted()) {
    return;
  }
  if (is_counted_) {
    // A loan of an earlier process may last until then, unless it is recalled.
    rates_.lender().StartAt(*started_at_ + rates_.LoanTime());
    if (!has_recalled_) {
      has_recalled_ = true;
      rates_.RecallLoans();
    }
    return;
  }
  if (rates_.members().HaveAllSeen(joined_version_)) {
    is_counted_ = true;
    // Loans that others made before they counted this frontend end first.
    rates_.lender().StartAt(now + rates_.LoanTime());
    LogDecision(LogEvent::kRateMemberCounted, "version", joined_version_,
                "members", rates_.members().peers().size() + 1);
  }
}

void RateMemberReporter::Fail() {
  is_call_in_flight_ = false;
  next_report_at_ = clock_.now() + kRetryInterval;
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
    store_(std::move(transaction), [](const StoreResponse&) {});
  }
}

}  // namespace carawayrelay
