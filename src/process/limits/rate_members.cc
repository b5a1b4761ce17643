#include "process/limits/rate_members.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "process/limits/sliding_window_counter.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A member is absent when its row is unchanged in this many reads in a row.
constexpr int kReadsUntilAbsent = 3;
// The row of a member is removed when it is unchanged in this many reads.
constexpr int kReadsUntilAbandoned = 30;
// How long a frontend that did not answer is not asked again.
constexpr milliseconds kSilencePenalty{2000};
constexpr double kMinWeight = 0.01;

std::optional<RateMemberReport> DecodeRateMemberReport(
    const std::string& text) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object() || !root.contains("address") ||
      !root["address"].is_string()) {
    return std::nullopt;
  }
  RateMemberReport report{.address = root["address"].get<std::string>()};
  if (const auto it = root.find("weight");
      it != root.end() && it->is_number()) {
    report.weight = std::max(it->get<double>(), kMinWeight);
  }
  const auto granted = root.find("granted");
  if (granted == root.end() || !granted->is_object()) {
    return report;
  }
  for (const auto& [workspace, count] : granted->items()) {
    if (count.is_number()) {
      report.granted[workspace] = count.get<double>();
    }
  }
  return report;
}

std::uint64_t HashOf(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Returns the rank of a member for a workspace; the highest one holds it. Over
// all workspaces, members rank first in proportion to their weights.
double Rank(std::uint64_t hash, double weight) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const double uniform = (static_cast<double>(hash) + 1) / (kHashRange + 2);
  return -weight / std::log(uniform);
}

}  // namespace

std::string EncodeRateMemberReport(const RateMemberReport& report) {
  return json{{"address", report.address},
              {"weight", report.weight},
              {"granted", report.granted}}
      .dump();
}

bool RateMembers::Member::IsPresent() const {
  return !report.address.empty() && unchanged_reads < kReadsUntilAbsent;
}

void RateMembers::Apply(const std::vector<StoredRow>& rows, TimePoint now) {
  std::map<std::string, Member> members;
  for (const StoredRow& row : rows) {
    const auto known = members_.find(row.key.key);
    Member member;
    if (known != members_.end()) {
      member = std::move(known->second);
    }
    if (member.version == row.version) {
      ++member.unchanged_reads;
    } else {
      auto report = DecodeRateMemberReport(row.value);
      if (!report) {
        LogDecision(LogEvent::kRateReportUnreadable, "member", row.key.key,
                    "version", row.version);
      }
      member.report = std::move(report).value_or(RateMemberReport{});
      member.version = row.version;
      member.changed_at = now;
      member.unchanged_reads = 0;
      member.has_left = false;
      member.hash = HashOf(row.key.key, 0);
    }
    members.emplace(row.key.key, std::move(member));
  }
  members_ = std::move(members);
  reads_with_own_row_ += IsKnown() ? 1 : 0;
}

size_t RateMembers::size() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& item) { return item.second.IsPresent(); }));
}

std::optional<RateMembers::Holder> RateMembers::HolderOf(
    const std::string& workspace,
    TimePoint now) const {
  std::optional<Holder> best;
  double best_rank = 0;
  for (const auto& [node, member] : members_) {
    if (member.report.address.empty() || member.has_left ||
        now < member.silent_until) {
      continue;
    }
    const double rank =
        Rank(HashOf(workspace, member.hash), member.report.weight);
    if (!best || rank > best_rank) {
      best = Holder{.node = node, .address = member.report.address};
      best_rank = rank;
    }
  }
  return best;
}

void RateMembers::NoteSilent(const std::string& node, TimePoint now) {
  if (const auto it = members_.find(node); it != members_.end()) {
    it->second.silent_until = now + kSilencePenalty;
    it->second.has_left = !it->second.IsPresent();
  }
}

double RateMembers::GrantedByOthers(const std::string& workspace,
                                    TimePoint now) const {
  double sum = 0;
  for (const auto& [node, member] : members_) {
    const auto it = member.report.granted.find(workspace);
    if (node == node_ || it == member.report.granted.end()) {
      continue;
    }
    const std::chrono::duration<double> age = now - member.changed_at;
    const double left =
        1 - age / std::chrono::duration<double>(SlidingWindowCounter::kWindow);
    sum += it->second * std::max(left, 0.0);
  }
  return sum;
}

std::vector<StoredRow> RateMembers::AbandonedRows() const {
  std::vector<StoredRow> rows;
  for (const auto& [node, member] : members_) {
    if (node != node_ && member.unchanged_reads >= kReadsUntilAbandoned) {
      rows.push_back({.key = {.key = node}, .version = member.version});
    }
  }
  return rows;
}

}  // namespace carawayrelay
