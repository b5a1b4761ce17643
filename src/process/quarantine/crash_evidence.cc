#include "process/quarantine/crash_evidence.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Crashes closer to each other count as one: a rack or zone that fails breaks
// many requests at once, which says nothing about their prompts.
constexpr milliseconds kMinCrashGap{100};

}  // namespace

void CrashEvidence::Add(const CrashReport& report, TimePoint now) {
  for (const BackendCrash& told : report.crashes) {
    if (now - told.at >= kCrashLifetime) {
      continue;
    }
    std::vector<size_t>& known = crashes_of_[told.backend_id];
    const auto same = std::ranges::find_if(known, [&](size_t index) {
      return std::chrono::abs(told.at - crashes_[index]) < kSameCrash;
    });
    const size_t index = same == known.end() ? crashes_.size() : *same;
    if (same == known.end()) {
      known.push_back(index);
      crashes_.push_back(told.at);
    }
    crashes_[index] = std::min(crashes_[index], told.at);
    for (const std::string& part : told.suspects) {
      TimePoint& reported = reports_on_[part][index];
      reported = std::max(reported, told.at);
    }
  }
}

int CrashEvidence::CountApart(const CrashIndexes& crashes) const {
  std::vector<TimePoint> times;
  for (const size_t index : crashes) {
    times.push_back(crashes_[index]);
  }
  std::ranges::sort(times);
  int count = 0;
  TimePoint last{};
  for (const TimePoint at : times) {
    if (count == 0 || at - last >= kMinCrashGap) {
      ++count;
      last = at;
    }
  }
  return count;
}

int CrashEvidence::CountCrashes(const std::string& part,
                                TimePoint after) const {
  return CountApart(CrashesNaming(part, after));
}

CrashEvidence::CrashIndexes CrashEvidence::CrashesNaming(
    const std::string& part,
    TimePoint after) const {
  CrashIndexes found;
  const auto it = reports_on_.find(part);
  if (it == reports_on_.end()) {
    return found;
  }
  for (const auto& [index, reported_at] : it->second) {
    if (reported_at > after) {
      found.insert(index);
    }
  }
  return found;
}

std::vector<std::string> CrashEvidence::Suspects() const {
  std::vector<std::string> parts;
  parts.reserve(reports_on_.size());
  for (const auto& [part, reports] : reports_on_) {
    parts.push_back(part);
  }
  return parts;
}

std::vector<CrashEvidence::Accused> CrashEvidence::FindAccused(
    const AnswersOf& answers) const {
  std::map<std::string, Candidate> candidates;
  for (const auto& [part, reports] : reports_on_) {
    const Answers known = answers(part);
    CrashIndexes crashes = CrashesNaming(part, known.whole);
    if (CountApart(crashes) >= kCrashesUntilQuarantine) {
      const TimePoint first = crashes_[*crashes.begin()];
      candidates.emplace(part,
                         Candidate{.crashes = std::move(crashes),
                                   .is_doubtful = known.in_progress > first});
    }
  }
  std::vector<Accused> accused;
  while (const std::optional<std::string> best = FindBest(candidates)) {
    const CrashIndexes explained = candidates.at(*best).crashes;
    accused.push_back(MakeAccused(candidates, explained));
    for (auto& [part, candidate] : candidates) {
      std::erase_if(candidate.crashes,
                    [&](size_t index) { return explained.contains(index); });
    }
    std::erase_if(candidates, [this](const auto& item) {
      return CountApart(item.second.crashes) < kCrashesUntilQuarantine;
    });
  }
  return accused;
}

std::optional<std::string> CrashEvidence::FindBest(
    const std::map<std::string, Candidate>& candidates) const {
  const auto best =
      std::ranges::max_element(candidates, {}, [this](const auto& item) {
        return std::pair(!item.second.is_doubtful,
                         CountApart(item.second.crashes));
      });
  return best == candidates.end() ? std::nullopt : std::optional(best->first);
}

CrashEvidence::Accused CrashEvidence::MakeAccused(
    const std::map<std::string, Candidate>& candidates,
    const CrashIndexes& crashes) const {
  Accused accused;
  for (const auto& [part, candidate] : candidates) {
    if (candidate.crashes == crashes) {
      accused.parts.insert(part);
    }
  }
  for (const size_t index : crashes) {
    accused.crashes.push_back(crashes_[index]);
  }
  std::ranges::sort(accused.crashes);
  return accused;
}

}  // namespace carawayrelay
