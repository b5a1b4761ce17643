#include "process/limits/allowances.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// Time constant of the exponential smoothing of the reported demand.
constexpr std::chrono::duration<double> kDemandTimeConstant{3.0};
// Added to the demand of every frontend, in requests per second, so that a
// frontend with new demand can begin to admit requests and random variations of
// a small demand change the shares only a little.
constexpr double kMinDemandWeight = 0.5;
// Requests that all frontends together may admit beyond the burst: a fixed
// number plus a fraction of the requests allowed in the window. The check of
// the rate tolerates 20 requests plus a tenth.
constexpr double kExtraBurstRequests = 12;
constexpr double kExtraBurstFraction = 0.05;
// A frontend may borrow while all frontends together are estimated to use less
// than this fraction of the requests allowed in the window.
constexpr double kBorrowUsageFraction = 0.7;
// Requests that one frontend may borrow, and that all frontends together may
// borrow: a fixed number plus a fraction of the requests allowed in the window.
// When demand rises at all frontends at once, each admits borrowed requests
// until the reports show the rise.
constexpr double kMaxBorrowedPerFrontend = 5;
constexpr double kMaxBorrowedRequests = 70;
constexpr double kMaxBorrowedFraction = 0.1;
// Window over which the rate is checked, and the length of the slices in which
// requests are counted.
constexpr std::chrono::milliseconds kWindow{5000};
constexpr std::chrono::milliseconds kSlice{500};
// Average age of the reports of other frontends.
constexpr double kReportLagSeconds = 1;
// Number of standard deviations by which the local count is lowered when the
// total is estimated from it.
constexpr double kLocalCountMargin = 1.5;
// Demand below this, in requests per second, is not reported.
constexpr double kMinReportedDemand = 0.01;

double AllowedInWindow(const ServingWorkspace& workspace) {
  return workspace.rate_per_second *
             std::chrono::duration<double>(kWindow).count() +
         workspace.burst;
}

void ReadNumbers(const json& root,
                 const char* name,
                 std::map<std::string, double>& numbers) {
  const auto it = root.find(name);
  if (it == root.end() || !it->is_object()) {
    return;
  }
  for (const auto& [key, value] : it->items()) {
    if (value.is_number()) {
      numbers[key] = value.get<double>();
    }
  }
}

}  // namespace

void Allowances::SetConfig(ServingConfigPtr config, TimePoint now) {
  config_ = std::move(config);
  std::erase_if(usage_, [&](const auto& item) {
    return std::none_of(
        config_->workspaces().begin(), config_->workspaces().end(),
        [&](const ServingWorkspace& w) { return w.name == item.first; });
  });
  UpdateShares(now);
}

bool Allowances::HasShare(TimePoint now) const {
  return report_stored_at_ && now - *report_stored_at_ < kReportExpiry &&
         members_.contains(node_);
}

Allowances::Verdict Allowances::Admit(const ServingWorkspace& workspace,
                                      TimePoint now) {
  Usage& usage = usage_[workspace.name];
  usage.arrived += 1;
  if (workspace.rate_per_second <= 0) {
    return Verdict::kAdmitted;
  }
  if (!HasShare(now) || !usage.bucket) {
    return Verdict::kNoShare;
  }
  if (!usage.bucket->TrySpend(1, now)) {
    if (!MayBorrow(workspace, usage, now)) {
      return Verdict::kOverRate;
    }
    usage.bucket->Spend(1, now);
  }
  usage.recent.Add(now);
  return Verdict::kAdmitted;
}

void Allowances::SlidingWindowCounter::Advance(TimePoint now) {
  const std::int64_t slice = now.time_since_epoch() / kSlice;
  const auto size = static_cast<std::int64_t>(slices_.size());
  for (std::int64_t i = std::max(slice_ + 1, slice - size + 1); i <= slice;
       ++i) {
    slices_[static_cast<size_t>(i % size)] = 0;
  }
  slice_ = slice;
}

void Allowances::SlidingWindowCounter::Add(TimePoint now) {
  Advance(now);
  slices_[static_cast<size_t>(slice_ %
                              static_cast<std::int64_t>(slices_.size()))] += 1;
}

double Allowances::SlidingWindowCounter::Sum(TimePoint now) {
  Advance(now);
  return std::accumulate(slices_.begin(), slices_.end(), 0.0);
}

bool Allowances::MayBorrow(const ServingWorkspace& workspace,
                           Usage& usage,
                           TimePoint now) const {
  const double allowed = AllowedInWindow(workspace);
  const double local = usage.recent.Sum(now);
  // Reports lag behind, so a sudden rise shows in the local count first.
  const double by_reports =
      local + usage.workspace_share.others_admitted +
      usage.workspace_share.others_demand * kReportLagSeconds;
  const double by_local_count =
      usage.workspace_share.share > 0
          ? (local - kLocalCountMargin * std::sqrt(local)) /
                usage.workspace_share.share
          : 0;
  const double max_borrowed =
      std::min(kMaxBorrowedPerFrontend,
               (kMaxBorrowedRequests + kMaxBorrowedFraction * allowed) /
                   static_cast<double>(live_members_));
  return usage.bucket->TokensAt(now) > 1 - max_borrowed &&
         std::max(by_reports, by_local_count) < kBorrowUsageFraction * allowed;
}

std::chrono::milliseconds Allowances::RetryAfter(
    const ServingWorkspace& workspace,
    TimePoint now) {
  constexpr std::chrono::milliseconds kLimit{1000};
  Usage& usage = usage_[workspace.name];
  return usage.bucket ? usage.bucket->WaitFor(1, now, kLimit) : kLimit;
}

std::string Allowances::MakeReport(TimePoint now) {
  const std::chrono::duration<double> passed =
      reported_at_ == TimePoint{} ? kReportInterval : now - reported_at_;
  reported_at_ = now;
  const double seconds = std::max(passed.count(), 0.001);
  const double kept = std::exp(-(passed / kDemandTimeConstant));
  json demand = json::object();
  json admitted = json::object();
  for (auto& [name, usage] : usage_) {
    usage.demand = usage.demand * kept + usage.arrived / seconds * (1 - kept);
    usage.arrived = 0;
    if (const double recent = usage.recent.Sum(now); recent > 0) {
      admitted[name] = recent;
    }
    if (usage.demand >= kMinReportedDemand) {
      demand[name] = std::round(usage.demand * 100) / 100;
    }
  }
  return json{{"demand", std::move(demand)}, {"admitted", std::move(admitted)}}
      .dump();
}

void Allowances::ApplyReports(const std::vector<StoredRow>& rows,
                              TimePoint now) {
  std::map<std::string, Member> members;
  for (const StoredRow& row : rows) {
    Member member{.version = row.version, .changed_at = now};
    const auto known = members_.find(row.key.key);
    if (known != members_.end() && known->second.version == row.version) {
      members.insert(members_.extract(known));
      continue;
    }
    if (known != members_.end()) {
      member.former_demand = std::move(known->second.demand);
    }
    const json root = json::parse(row.value, nullptr, false);
    if (root.is_object()) {
      ReadNumbers(root, "demand", member.demand);
      ReadNumbers(root, "admitted", member.admitted);
    } else {
      LogDecision(LogEvent::kDemandReportUnreadable, "member", row.key.key,
                  "version", row.version);
    }
    members.emplace(row.key.key, std::move(member));
  }
  members_ = std::move(members);
  UpdateShares(now);
}

Allowances::WorkspaceShare Allowances::WorkspaceShareOf(
    const ServingWorkspace& workspace,
    TimePoint now) const {
  const auto value_of = [&](const std::map<std::string, double>& numbers) {
    const auto it = numbers.find(workspace.name);
    return it == numbers.end() ? 0 : it->second;
  };
  double local = 0;
  double sum = 0;
  WorkspaceShare workspace_share;
  for (const auto& [node, member] : members_) {
    if (now - member.changed_at >= kMemberExpiry) {
      continue;
    }
    // Other frontends may not have read the latest report yet. Therefore a rise
    // of the local demand and a fall of another frontend's demand take effect
    // one report later, and the shares in use never sum to more than one.
    const double demand = value_of(member.demand);
    const double former = value_of(member.former_demand);
    if (node == node_) {
      local = kMinDemandWeight + std::min(demand, former);
      sum += local;
    } else {
      sum += kMinDemandWeight + std::max(demand, former);
      workspace_share.others_demand += demand;
      workspace_share.others_admitted += value_of(member.admitted);
    }
  }
  workspace_share.share = sum > 0 ? local / sum : 0;
  return workspace_share;
}

void Allowances::UpdateShares(TimePoint now) {
  live_members_ = static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& item) {
        return now - item.second.changed_at < kMemberExpiry;
      }));
  if (!config_ || !members_.contains(node_)) {
    return;
  }
  for (const ServingWorkspace& workspace : config_->workspaces()) {
    if (workspace.rate_per_second <= 0) {
      continue;
    }
    const WorkspaceShare workspace_share = WorkspaceShareOf(workspace, now);
    const double rate = workspace.rate_per_second * workspace_share.share;
    const double extra_burst =
        (kExtraBurstRequests +
         kExtraBurstFraction * AllowedInWindow(workspace)) /
        static_cast<double>(live_members_);
    const double burst = workspace.burst * workspace_share.share + extra_burst;
    Usage& usage = usage_[workspace.name];
    usage.workspace_share = workspace_share;
    if (usage.bucket) {
      usage.bucket->SetRate(rate, burst, now);
    } else {
      // The bucket starts empty, because the process may have been restarted
      // right after it admitted its share of the burst.
      usage.bucket.emplace(rate, burst, now);
      usage.bucket->Spend(burst, now);
    }
  }
}

double Allowances::BorrowedRequests(TimePoint now) {
  double sum = 0;
  for (auto& [name, usage] : usage_) {
    sum += usage.bucket ? std::max(0.0, -usage.bucket->TokensAt(now)) : 0;
  }
  return sum;
}

std::vector<StoredRow> Allowances::StaleReports(std::chrono::milliseconds age,
                                                TimePoint now) const {
  std::vector<StoredRow> rows;
  for (const auto& [node, member] : members_) {
    if (node != node_ && now - member.changed_at >= age) {
      rows.push_back({.key = {.key = node}, .version = member.version});
    }
  }
  return rows;
}

}  // namespace carawayrelay
