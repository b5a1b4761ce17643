#include "process/serving/allowances.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

#include "process/serving/decision_log.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// Demand reports follow the demand with this time constant.
constexpr std::chrono::duration<double> kDemandMemory{3.0};
// Part of the rate that is split evenly whatever the demand, so that an entry
// that meets new demand can begin to admit it.
constexpr double kEvenPart = 0.25;
// Requests that all entries together may admit beyond the burst: half of what
// a window of the rate's check tolerates.
constexpr double kSpareRequests = 10;
constexpr double kSparePart = 0.05;
// An entry may borrow while all entries together are estimated to use less
// than this part of what the window allows.
constexpr double kBorrowPart = 0.6;
// The window over which the rate is checked, and the slices that it is counted
// in.
constexpr std::chrono::milliseconds kWindow{5000};
constexpr std::chrono::milliseconds kSlice{500};
// Standard deviations that an estimate from the own count is lowered by.
constexpr double kOwnCountMargin = 1.5;
// Demand below this is not reported.
constexpr double kLeastDemand = 0.01;

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
  return report_stored_at_ && now - *report_stored_at_ < kReportLapse &&
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

void Allowances::RecentCount::Advance(TimePoint now) {
  const std::int64_t slice = now.time_since_epoch() / kSlice;
  const auto size = static_cast<std::int64_t>(slices_.size());
  for (std::int64_t i = std::max(slice_ + 1, slice - size + 1); i <= slice;
       ++i) {
    slices_[static_cast<size_t>(i % size)] = 0;
  }
  slice_ = slice;
}

void Allowances::RecentCount::Add(TimePoint now) {
  Advance(now);
  slices_[static_cast<size_t>(slice_ % static_cast<std::int64_t>(
                                           slices_.size()))] += 1;
}

double Allowances::RecentCount::Sum(TimePoint now) {
  Advance(now);
  return std::accumulate(slices_.begin(), slices_.end(), 0.0);
}

bool Allowances::MayBorrow(const ServingWorkspace& workspace,
                           Usage& usage,
                           TimePoint now) const {
  const double window = std::chrono::duration<double>(kWindow).count();
  const double allowed = workspace.rate_per_second * window + workspace.burst;
  const double own = usage.recent.Sum(now);
  // Reports lag, so a sudden rise shows first in the own count.
  const double by_reports = own + usage.others_demand * window;
  const double by_own_count =
      usage.share > 0
          ? (own - kOwnCountMargin * std::sqrt(own)) / usage.share
          : 0;
  return std::max(by_reports, by_own_count) < kBorrowPart * allowed;
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
  const double kept = std::exp(-(passed / kDemandMemory));
  json demand = json::object();
  for (auto& [name, usage] : usage_) {
    usage.demand =
        usage.demand * kept + usage.arrived / seconds * (1 - kept);
    usage.arrived = 0;
    if (usage.demand >= kLeastDemand) {
      demand[name] = std::round(usage.demand * 100) / 100;
    }
  }
  return json{{"demand", std::move(demand)}}.dump();
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
    const json root = json::parse(row.value, nullptr, false);
    const auto demand =
        root.is_object() ? root.find("demand") : root.end();
    if (!root.is_object() || demand == root.end() || !demand->is_object()) {
      LogDecision(LogEvent::kDemandReportUnreadable, "member", row.key.key,
                  "version", row.version);
    } else {
      for (const auto& [name, value] : demand->items()) {
        if (value.is_number()) {
          member.demand[name] = value.get<double>();
        }
      }
    }
    members.emplace(row.key.key, std::move(member));
  }
  members_ = std::move(members);
  UpdateShares(now);
}

std::pair<double, double> Allowances::ShareOf(
    const ServingWorkspace& workspace,
    TimePoint now) const {
  const double even = live_members_ == 0
                          ? 0
                          : kEvenPart * workspace.rate_per_second /
                                static_cast<double>(live_members_);
  double own = 0;
  double sum = 0;
  double others_demand = 0;
  for (const auto& [node, member] : members_) {
    if (now - member.changed_at >= kMemberLapse) {
      continue;
    }
    const auto it = member.demand.find(workspace.name);
    const double demand = it == member.demand.end() ? 0 : it->second;
    sum += even + demand;
    if (node == node_) {
      own = even + demand;
    } else {
      others_demand += demand;
    }
  }
  return {sum > 0 ? own / sum : 0, others_demand};
}

void Allowances::UpdateShares(TimePoint now) {
  live_members_ = static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& item) {
        return now - item.second.changed_at < kMemberLapse;
      }));
  if (!config_ || !members_.contains(node_)) {
    return;
  }
  for (const ServingWorkspace& workspace : config_->workspaces()) {
    if (workspace.rate_per_second <= 0) {
      continue;
    }
    const auto [share, others_demand] = ShareOf(workspace, now);
    const double rate = workspace.rate_per_second * share;
    const double spare =
        (kSpareRequests + kSparePart * workspace.rate_per_second *
                              std::chrono::duration<double>(kWindow).count()) /
        static_cast<double>(live_members_);
    // A bucket smaller than one request would never admit any.
    const double burst = std::max(1.0, workspace.burst * share + spare);
    Usage& usage = usage_[workspace.name];
    usage.share = share;
    usage.others_demand = others_demand;
    if (usage.bucket) {
      usage.bucket->SetRate(rate, burst, now);
    } else {
      usage.bucket.emplace(rate, burst, now);
    }
  }
}

std::vector<StoredRow> Allowances::Abandoned(std::chrono::milliseconds age,
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
