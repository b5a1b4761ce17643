#include "process/serving/allowances.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "process/serving/decision_log.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// Demand reports follow the demand with this time constant.
constexpr std::chrono::duration<double> kDemandMemory{3.0};
// Part of the rate that is split evenly whatever the demand, so that an entry
// that meets new demand can begin to admit it.
constexpr double kEvenPart = 0.25;
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
  return usage.bucket->TrySpend(1, now) ? Verdict::kAdmitted
                                        : Verdict::kOverRate;
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

double Allowances::ShareOf(const ServingWorkspace& workspace,
                           TimePoint now) const {
  const double even = live_members_ == 0
                          ? 0
                          : kEvenPart * workspace.rate_per_second /
                                static_cast<double>(live_members_);
  double own = 0;
  double sum = 0;
  for (const auto& [node, member] : members_) {
    if (now - member.changed_at >= kMemberLapse) {
      continue;
    }
    const auto it = member.demand.find(workspace.name);
    const double weight =
        even + (it == member.demand.end() ? 0 : it->second);
    sum += weight;
    if (node == node_) {
      own = weight;
    }
  }
  return sum > 0 ? own / sum : 0;
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
    const double share = ShareOf(workspace, now);
    const double rate = workspace.rate_per_second * share;
    // A bucket smaller than one request would never admit any.
    const double burst = std::max(1.0, workspace.burst * share);
    Usage& usage = usage_[workspace.name];
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
