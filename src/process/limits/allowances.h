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

// The part of each workspace's rate that this entry may admit. All entries
// report their demand in the store; each takes a share of the rate in
// proportion to its reported demand, so that the shares of all entries that
// read the same reports sum to one. While all entries together are well under
// the rate, an entry may go beyond its share; what it borrows is taken off its
// share until it is paid back. An entry whose report was not renewed for
// kMemberLapse is left out, and it stops admitting before that itself.
class Allowances {
 public:
  static constexpr std::chrono::milliseconds kMemberLapse{6000};
  static constexpr std::chrono::milliseconds kReportLapse{4500};
  static constexpr std::chrono::milliseconds kReportInterval{1000};

  explicit Allowances(std::string node) : node_(std::move(node)) {}

  void SetConfig(ServingConfigPtr config, TimePoint now);

  enum class Verdict { kAdmitted, kOverRate, kNoShare };
  Verdict Admit(const ServingWorkspace& workspace, TimePoint now);
  // Until the workspace may be admitted again.
  std::chrono::milliseconds RetryAfter(const ServingWorkspace& workspace,
                                       TimePoint now);
  // Whether this entry has a share at all.
  bool HasShare(TimePoint now) const;

  // Closes an interval of demand and returns the text to report.
  std::string MakeReport(TimePoint now);
  // The store acknowledged a report that was sent at `sent_at`.
  void ReportStored(TimePoint sent_at) { report_stored_at_ = sent_at; }
  // Takes the reports of all entries, as rows with the node as key.
  void ApplyReports(const std::vector<StoredRow>& rows, TimePoint now);
  // Keys of reports that were not renewed for `age`.
  std::vector<StoredRow> Abandoned(std::chrono::milliseconds age,
                                   TimePoint now) const;
  size_t member_count() const { return live_members_; }
  // Requests admitted beyond the shares that are not made up for yet.
  double Borrowed(TimePoint now);

 private:
  struct Member {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    // By workspace: requests per second, and admitted in the window.
    std::map<std::string, double> demand;
    std::map<std::string, double> admitted;
    // Demand of the report before.
    std::map<std::string, double> former_demand;
  };
  // A workspace as the newest reports show it.
  struct Split {
    double share = 0;            // of this entry, 0 to 1
    double others_demand = 0;    // requests per second
    double others_admitted = 0;  // requests in the window
  };
  // Requests that this entry admitted in the newest seconds.
  class RecentCount {
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
    RecentCount recent;
    Split split;
    double arrived = 0;  // since the newest report
    double demand = 0;   // requests per second, smoothed
  };

  void UpdateShares(TimePoint now);
  bool MayBorrow(const ServingWorkspace& workspace,
                 Usage& usage,
                 TimePoint now) const;
  Split SplitOf(const ServingWorkspace& workspace, TimePoint now) const;

  std::string node_;
  ServingConfigPtr config_;
  std::map<std::string, Member> members_;
  size_t live_members_ = 0;
  std::map<std::string, Usage> usage_;
  std::optional<TimePoint> report_stored_at_;
  TimePoint reported_at_{};
};

}  // namespace carawayrelay
