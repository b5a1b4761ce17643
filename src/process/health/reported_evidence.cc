#include "process/health/reported_evidence.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawayrelay {
namespace {

// A reporter may accuse this many times as many backend servers as the median
// of all frontends. When many backend servers fail, all frontends accuse many.
constexpr size_t kMaxAccusedFactor = 2;

}  // namespace

bool ReportedEvidence::Begin(const HealthReport& report, TimePoint now) {
  const auto [it, is_new] = reporters_.try_emplace(report.reporter);
  Reporter& reporter = it->second;
  if (!is_new && reporter.process == report.process &&
      reporter.sequence >= report.sequence) {
    return false;
  }
  reporter.process = report.process;
  reporter.sequence = report.sequence;
  reporter.reported_at = std::max(reporter.reported_at, now - report.age);
  return true;
}

bool ReportedEvidence::Put(const HealthReport& report,
                           const ServerEvidence& evidence,
                           TimePoint now) {
  const TimePoint reported_at = now - report.age;
  Record record{.reporter = &reporters_.at(report.reporter),
                .reported_at = reported_at,
                .answers = evidence.answers,
                .failures = evidence.failures};
  if (evidence.answers > 0) {
    record.last_answer = reported_at - evidence.answer_age;
  }
  if (evidence.failures > 0) {
    record.last_failure = reported_at - evidence.failure_age;
  }
  const auto [it, is_new] =
      servers_[evidence.server].try_emplace(report.reporter);
  const bool had_failures = !is_new && it->second.failures > 0;
  it->second = record;
  return evidence.failures > 0 && !had_failures;
}

void ReportedEvidence::Tick(TimePoint now) {
  const TimePoint oldest = now - kHealthEvidenceWindow;
  for (auto it = servers_.begin(); it != servers_.end();) {
    std::erase_if(it->second, [&](const auto& item) {
      const Record& record = item.second;
      return record.reported_at <= oldest ||
             (record.last_answer.value_or(oldest) <= oldest &&
              record.last_failure.value_or(oldest) <= oldest);
    });
    it = it->second.empty() ? servers_.erase(it) : std::next(it);
  }
  std::erase_if(reporters_, [&](const auto& item) {
    return item.second.reported_at <= oldest;
  });
}

void ReportedEvidence::JudgeReporters(size_t floor,
                                      size_t peers,
                                      size_t own_accused) {
  for (auto& [name, reporter] : reporters_) {
    reporter.accused = 0;
  }
  for (const auto& [server, records] : servers_) {
    for (const auto& [name, record] : records) {
      record.reporter->accused += record.Accuses() ? 1 : 0;
    }
  }
  std::vector<size_t> counts{own_accused};
  for (const auto& [name, reporter] : reporters_) {
    counts.push_back(reporter.accused);
  }
  // Frontends that reported nothing accuse no backend server.
  counts.resize(std::max(counts.size(), peers + 1), 0);
  const auto median =
      counts.begin() + static_cast<std::ptrdiff_t>((counts.size() - 1) / 2);
  std::nth_element(counts.begin(), median, counts.end());
  max_accused_ = std::max(floor, kMaxAccusedFactor * *median);
  for (auto& [name, reporter] : reporters_) {
    reporter.is_trusted = reporter.accused <= max_accused_;
  }
}

const ReportedEvidence::Records* ReportedEvidence::Find(
    ServerKey server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? nullptr : &it->second;
}

size_t ReportedEvidence::CountDistrusted() const {
  return static_cast<size_t>(
      std::count_if(reporters_.begin(), reporters_.end(),
                    [](const auto& item) { return !item.second.is_trusted; }));
}

}  // namespace carawayrelay
