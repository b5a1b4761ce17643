#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/store/store_request.h"
#include "request/token_bucket.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Limits this frontend to its share of each workspace's rate.
//
// All frontends report their demand in the store. Each takes a share of the
// rate in proportion to its reported demand, so the shares of all frontends
// that read the same reports sum to one. While the frontends together use
// clearly less than the rate, a frontend may exceed its share; the requests
// that it borrows are deducted from its share until they are made up for. A
// frontend whose report was not renewed for kMemberExpiry gets no share. It
// stops admitting requests itself before that, after kReportExpiry.
//
// Used on the event loop thread.
class Allowances {
 public:
  // The report of another frontend counts for this long after its last change.
  static constexpr std::chrono::milliseconds kMemberExpiry{6000};
  // Without a stored report for this long, this frontend admits no requests of
  // workspaces with a rate. Shorter than kMemberExpiry, so that it stops before
  // the others take over its share.
  static constexpr std::chrono::milliseconds kReportExpiry{4500};
  static constexpr std::chrono::milliseconds kReportInterval{1000};

  explicit Allowances(std::string node) : node_(std::move(node)) {}

  void SetConfig(ServingConfigPtr config, TimePoint now);

  enum class Verdict { kAdmitted, kOverRate, kNoShare };
  Verdict Admit(const ServingWorkspace& workspace, TimePoint now);
  // Returns the time until a request of the workspace may be admitted again, at
  // most one second.
  std::chrono::milliseconds RetryAfter(const ServingWorkspace& workspace,
                                       TimePoint now);
  // Returns whether the report of this frontend is current, so that it has a
  // share of the rates.
  bool HasShare(TimePoint now) const;

  // Ends the current interval of demand and returns the report as JSON text.
  std::string MakeReport(TimePoint now);
  // Handles that the store accepted the report that was sent at `sent_at`.
  void HandleReportStored(TimePoint sent_at) { report_stored_at_ = sent_at; }
  // Applies the reports of all frontends; the key of each row is the node.
  void ApplyReports(const std::vector<StoredRow>& rows, TimePoint now);
  // Returns the keys and versions of other frontends' reports that were not
  // renewed for `age`.
  std::vector<StoredRow> StaleReports(std::chrono::milliseconds age,
                                      TimePoint now) const;
  size_t member_count() const { return live_members_; }
  // Returns the number of requests that this frontend admitted beyond its
  // shares and has not made up for yet.
  double BorrowedRequests(TimePoint now);

 private:
  struct Member {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    // Requests per second by workspace.
    std::map<std::string, double> demand;
    // Requests admitted in the window, by workspace.
    std::map<std::string, double> admitted;
    // Demand in the previous report.
    std::map<std::string, double> former_demand;
  };
  // State of a workspace according to the latest reports.
  struct WorkspaceShare {
    double share = 0;            // of this frontend, 0 to 1
    double others_demand = 0;    // requests per second
    double others_admitted = 0;  // requests in the window
  };
  // Counts the requests that this frontend admitted in the last five seconds.
  class SlidingWindowCounter {
   public:
    void Add(TimePoint now);
    double Sum(TimePoint now);

   private:
    void Advance(TimePoint now);

    std::array<double, 10> slices_{};
    std::int64_t slice_ = 0;
  };
  struct Usage {
    std::optional<TokenBucket> bucket;
    SlidingWindowCounter recent;
    WorkspaceShare workspace_share;
    double arrived = 0;  // since the latest report
    double demand = 0;   // requests per second, smoothed
  };

  void UpdateShares(TimePoint now);
  // Whether one more request may be admitted beyond the share.
  bool MayBorrow(const ServingWorkspace& workspace,
                 Usage& usage,
                 TimePoint now) const;
  WorkspaceShare WorkspaceShareOf(const ServingWorkspace& workspace,
                                  TimePoint now) const;

  std::string node_;
  ServingConfigPtr config_;
  std::map<std::string, Member> members_;
  size_t live_members_ = 0;
  std::map<std::string, Usage> usage_;
  std::optional<TimePoint> report_stored_at_;
  TimePoint reported_at_{};
};

}  // namespace carawayrelay
