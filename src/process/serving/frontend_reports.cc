#include "process/serving/frontend_reports.h"

#include <chrono>
#include <vector>

namespace carawayrelay {
namespace {

// Reports of demand have the node as key, evidence has the node behind the
// prefix, so that one read returns both.
constexpr const char* kTable = "frontend_demand";
constexpr std::string_view kEvidencePrefix = "runners/";
constexpr std::chrono::milliseconds kRetry{200};
// Reports of entries that are long gone are removed.
constexpr std::chrono::milliseconds kAbandoned{60000};

RowKey EvidenceKey(const std::string& node) {
  return {.table = kTable, .key = std::string(kEvidencePrefix) + node};
}

}  // namespace

void FrontendReports::Tick(TimePoint now) {
  if (is_running_ || now < next_) {
    return;
  }
  is_running_ = true;
  next_ = now + Allowances::kReportInterval;
  RowsTransaction transaction;
  transaction.writes.push_back({.key = {.table = kTable, .key = node_},
                                .value = allowances_.MakeReport(now)});
  std::string evidence = runners_.MakeEvidence(now);
  const bool has_evidence = !evidence.empty();
  if (has_evidence) {
    transaction.writes.push_back(
        {.key = EvidenceKey(node_), .value = std::move(evidence)});
  } else if (has_evidence_) {
    transaction.removals.push_back(EvidenceKey(node_));
  }
  store_.Send(std::move(transaction),
              [this, now, has_evidence](const StoreReply& reply) {
                if (reply.status != StoreStatus::kDone) {
                  is_running_ = false;
                  next_ = clock_.now() + kRetry;
                  return;
                }
                has_evidence_ = has_evidence;
                allowances_.ReportStored(now);
                Read();
              });
}

void FrontendReports::Read() {
  store_.Send(RowsRead{.table = kTable}, [this](const StoreReply& reply) {
    is_running_ = false;
    if (reply.status == StoreStatus::kDone) {
      Apply(reply.rows);
    }
  });
}

void FrontendReports::Apply(const std::vector<StoredRow>& rows) {
  const TimePoint now = clock_.now();
  std::vector<StoredRow> demand;
  std::vector<StoredRow> evidence;
  for (const StoredRow& row : rows) {
    if (!row.key.key.starts_with(kEvidencePrefix)) {
      demand.push_back(row);
    } else if (row.key.key != EvidenceKey(node_).key) {
      evidence.push_back(row);
    }
  }
  allowances_.ApplyReports(demand, now);
  runners_.ApplyEvidence(evidence, now);
  RemoveAbandoned(now);
}

void FrontendReports::RemoveAbandoned(TimePoint now) {
  for (const StoredRow& row : allowances_.Abandoned(kAbandoned, now)) {
    const RowKey key{.table = kTable, .key = row.key.key};
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = row.version});
    transaction.removals = {key, EvidenceKey(row.key.key)};
    // Any entry may remove it; a lost race needs no answer.
    store_.Send(std::move(transaction), [](const StoreReply&) {});
  }
}

}  // namespace carawayrelay
