#include "process/limits/rate_members.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// A member is absent when its row is unchanged in this many reads in a row.
constexpr int kReadsUntilAbsent = 3;
// The row of a member is removed when it is unchanged in this many reads.
constexpr int kReadsUntilAbandoned = 15;
// Reads that follow each other sooner count as one. Nearly the interval in
// which each frontend writes its row.
constexpr std::chrono::milliseconds kMinReadInterval{1900};
constexpr double kMinWeight = 0.01;

// Returns the ranks of a member; the highest one for a shard holds it. Over all
// shards, members rank first in proportion to their weights.
std::array<double, kRateShards> RanksOf(const std::string& node,
                                        double weight) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  std::array<double, kRateShards> ranks{};
  for (size_t shard = 0; shard < kRateShards; ++shard) {
    const std::uint64_t hash =
        XXH3_64bits_withSeed(node.data(), node.size(), shard);
    const double uniform = (static_cast<double>(hash) + 1) / (kHashRange + 2);
    ranks[shard] = -weight / std::log(uniform);
  }
  return ranks;
}

}  // namespace

std::string EncodeRateMemberReport(const RateMemberReport& report) {
  return json{{"address", report.address},
              {"weight", report.weight},
              {"seen", report.seen_version},
              {"counted", report.is_counted}}
      .dump();
}

std::optional<RateMemberReport> DecodeRateMemberReport(
    const std::string& text) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object() || !root.contains("address") ||
      !root["address"].is_string() || root["address"].empty()) {
    return std::nullopt;
  }
  RateMemberReport report{.address = root["address"].get<std::string>()};
  if (report.address.empty()) {
    return std::nullopt;
  }
  if (const auto it = root.find("weight");
      it != root.end() && it->is_number()) {
    report.weight = std::max(it->get<double>(), kMinWeight);
  }
  if (const auto it = root.find("seen");
      it != root.end() && it->is_number_unsigned()) {
    report.seen_version = it->get<std::uint64_t>();
  }
  if (const auto it = root.find("counted");
      it != root.end() && it->is_boolean()) {
    report.is_counted = it->get<bool>();
  }
  return report;
}

bool RateMembers::Member::IsPresent() const {
  return unchanged_reads < kReadsUntilAbsent;
}

void RateMembers::Apply(const std::vector<StoredRow>& rows,
                        std::uint64_t version,
                        TimePoint now) {
  const bool is_counted =
      !counted_read_at_ || now - *counted_read_at_ >= kMinReadInterval;
  if (is_counted) {
    counted_read_at_ = now;
  }
  std::map<std::string, Member> members;
  own_row_.reset();
  seen_version_ = version;
  for (const StoredRow& row : rows) {
    const std::string& node = row.key.key;
    if (node == node_) {
      own_row_ = row;
    }
    const auto known = members_.find(node);
    if (known != members_.end() && known->second.version == row.version) {
      Member member = std::move(known->second);
      member.unchanged_reads += is_counted ? 1 : 0;
      members.emplace(node, std::move(member));
      continue;
    }
    auto report = DecodeRateMemberReport(row.value);
    if (!report) {
      LogDecision(LogEvent::kRateReportUnreadable, "member", node, "version",
                  row.version);
      continue;
    }
    members.emplace(node, Member{.version = row.version,
                                 .report = *report,
                                 .ranks = RanksOf(node, report->weight)});
  }
  members_ = std::move(members);
  CountRanks();
  peers_.clear();
  for (const auto& [node, member] : members_) {
    if (node != node_) {
      peers_.push_back({.node = node, .address = member.report.address});
    }
  }
}

void RateMembers::CountRanks() {
  above_.fill(0);
  const auto own = members_.find(node_);
  if (own == members_.end()) {
    return;
  }
  for (const auto& [node, member] : members_) {
    for (size_t shard = 0; shard < kRateShards; ++shard) {
      above_[shard] += member.ranks[shard] > own->second.ranks[shard] ? 1 : 0;
    }
  }
}

bool RateMembers::HaveAllSeen(std::uint64_t version) const {
  return std::all_of(members_.begin(), members_.end(), [&](const auto& member) {
    return member.first == node_ ||
           member.second.report.seen_version >= version;
  });
}

size_t RateMembers::size() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& item) { return item.second.IsPresent(); }));
}

double RateMembers::part() const {
  return IsKnown() ? 1.0 / static_cast<double>(members_.size()) : 0;
}

const std::string* RateMembers::FindAddress(const std::string& node) const {
  const auto it = members_.find(node);
  return it == members_.end() ? nullptr : &it->second.report.address;
}

double RateMembers::RankOf(const std::string& node, size_t shard) const {
  const auto it = members_.find(node);
  return it == members_.end() ? 0 : it->second.ranks[shard];
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
