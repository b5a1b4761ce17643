#include "process/quarantine/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Crashes without an answer in between after which a part is quarantined.
constexpr int kCrashesUntilQuarantine = 3;
// Crashes after which a process that got an answer since tells the others.
constexpr int kCrashesUntilReply = 2;
// Crashes closer to each other count as one: a rack or zone that fails breaks
// many requests at once, which says nothing about their prompts.
constexpr milliseconds kMinCrashGap{100};
// How long a crash counts, and how long a part is not sent after its last one.
constexpr std::chrono::minutes kCrashLifetime{5};
// A part with an answer this shortly before a crash is not suspected for it.
constexpr milliseconds kRecentAnswer{2000};
// How long answers on parts that nobody suspects are remembered. Longer than
// the report of a crash takes to arrive.
constexpr milliseconds kAnswerMemory{5000};
constexpr milliseconds kPruneInterval{1000};
// Limit of crashes, and of answered parts, in the report of one process; older
// ones are dropped.
constexpr size_t kMaxReported = 32;

// Counts the crashes after `after`, those close to each other once. `crashes`
// must be in order.
int CountCrashes(const std::vector<BackendCrash>& crashes, TimePoint after) {
  int count = 0;
  TimePoint last{};
  for (const BackendCrash& crash : crashes) {
    if (crash.at > after && (count == 0 || crash.at - last >= kMinCrashGap)) {
      ++count;
      last = crash.at;
    }
  }
  return count;
}

template <class Entry>
void DropOldest(std::vector<Entry>& entries) {
  if (entries.size() > kMaxReported) {
    entries.erase(entries.begin(), entries.end() - kMaxReported);
  }
}

bool HasExpired(TimePoint at, TimePoint now) {
  return now - at >= kCrashLifetime;
}

}  // namespace

void PromptQuarantine::NoteAnswer(const PromptParts& parts, TimePoint now) {
  bool is_suspect = false;
  for (const std::string& part : parts) {
    own_answers_[part] = now;
    is_suspect |= suspects_.contains(part);
  }
  if (is_suspect) {
    UpdateQuarantine(now);
    ReportAnswers();
  }
}

void PromptQuarantine::NoteCrash(const std::string& backend_id,
                                 const PromptParts& parts,
                                 TimePoint now) {
  PromptParts suspects;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(suspects),
               [&](const std::string& part) {
                 const auto it = own_answers_.find(part);
                 return it == own_answers_.end() ||
                        now - it->second >= kRecentAnswer;
               });
  if (suspects.empty()) {
    return;
  }
  LogDecision(LogEvent::kCrashSuspected, "runner", backend_id, "suspects",
              JoinIds(suspects), "prompt_parts", JoinIds(parts));
  auto& crashes = own_report_.crashes;
  crashes.push_back(
      {.backend_id = backend_id, .at = now, .suspects = std::move(suspects)});
  DropOldest(crashes);
  ++own_version_;
  Rebuild(now);
}

void PromptQuarantine::Apply(const std::string& node,
                             CrashReport report,
                             TimePoint now) {
  reports_[node] = std::move(report);
  Rebuild(now);
}

void PromptQuarantine::TakeOver(const CrashReport& report, TimePoint now) {
  auto& crashes = own_report_.crashes;
  crashes.insert(crashes.begin(), report.crashes.begin(), report.crashes.end());
  DropOldest(crashes);
  Rebuild(now);
}

void PromptQuarantine::Remove(const std::string& node, TimePoint now) {
  if (reports_.erase(node) > 0) {
    Rebuild(now);
  }
}

void PromptQuarantine::Tick(TimePoint now) {
  if (now < next_prune_) {
    return;
  }
  next_prune_ = now + kPruneInterval;
  std::erase_if(own_answers_, [&](const auto& item) {
    return now - item.second >= kAnswerMemory &&
           !suspects_.contains(item.first);
  });
  if (PruneOwnReport(now)) {
    ++own_version_;
  }
  if (!suspects_.empty()) {
    Rebuild(now);
  }
}

bool PromptQuarantine::PruneOwnReport(TimePoint now) {
  const auto has_expired = [now](const auto& item) {
    return HasExpired(item.at, now);
  };
  const size_t crashes = std::erase_if(own_report_.crashes, has_expired);
  const size_t answered = std::erase_if(own_report_.answered, has_expired);
  return crashes + answered > 0;
}

void PromptQuarantine::Rebuild(TimePoint now) {
  std::map<std::string, Suspect> suspects;
  const auto add = [&](const CrashReport& report) {
    for (const BackendCrash& crash : report.crashes) {
      if (HasExpired(crash.at, now)) {
        continue;
      }
      for (const std::string& part : crash.suspects) {
        suspects[part].crashes.push_back(crash);
      }
    }
  };
  const auto clear = [&](const CrashReport& report) {
    for (const AnsweredPart& item : report.answered) {
      if (const auto it = suspects.find(item.part); it != suspects.end()) {
        it->second.answered_at = std::max(it->second.answered_at, item.at);
      }
    }
  };
  add(own_report_);
  for (const auto& [node, report] : reports_) {
    add(report);
  }
  clear(own_report_);
  for (const auto& [node, report] : reports_) {
    clear(report);
  }
  for (auto& [part, suspect] : suspects) {
    std::ranges::sort(suspect.crashes, {}, &BackendCrash::at);
  }
  suspects_ = std::move(suspects);
  UpdateQuarantine(now);
  ReportAnswers();
}

void PromptQuarantine::UpdateQuarantine(TimePoint now) {
  std::map<std::string, Quarantine> quarantined;
  for (const auto& [part, suspect] : suspects_) {
    const TimePoint answered_at =
        std::max(suspect.answered_at, OwnAnswerAt(part));
    const int crashes = CountCrashes(suspect.crashes, answered_at);
    if (crashes < kCrashesUntilQuarantine) {
      continue;
    }
    const Quarantine quarantine = MakeQuarantine(suspect.crashes, answered_at);
    if (!quarantined_.contains(part)) {
      LogDecision(LogEvent::kPromptQuarantined, "part", part, "crashes",
                  crashes, "for_ms", ToMilliseconds(quarantine.until - now));
    }
    quarantined.emplace(part, quarantine);
  }
  for (auto& [part, quarantine] : quarantined) {
    std::erase_if(quarantine.together, [&](const std::string& other) {
      return !quarantined.contains(other);
    });
  }
  for (const auto& [part, quarantine] : quarantined_) {
    if (!quarantined.contains(part)) {
      LogDecision(LogEvent::kPromptReleased, "part", part, "reason",
                  now < quarantine.until ? "a backend server answered on it"
                                         : "the last crash is long ago");
    }
  }
  quarantined_ = std::move(quarantined);
}

PromptQuarantine::Quarantine PromptQuarantine::MakeQuarantine(
    const std::vector<BackendCrash>& crashes,
    TimePoint answered_at) {
  Quarantine quarantine{.until = crashes.back().at + kCrashLifetime};
  bool is_first = true;
  for (const BackendCrash& crash : crashes) {
    if (crash.at <= answered_at) {
      continue;
    }
    const std::set<std::string> named(crash.suspects.begin(),
                                      crash.suspects.end());
    if (std::exchange(is_first, false)) {
      quarantine.together = named;
    } else {
      std::erase_if(quarantine.together, [&](const std::string& part) {
        return !named.contains(part);
      });
    }
  }
  return quarantine;
}

void PromptQuarantine::ReportAnswers() {
  for (auto& [part, suspect] : suspects_) {
    const TimePoint answered_at = OwnAnswerAt(part);
    const int known = CountCrashes(suspect.crashes, suspect.answered_at);
    if (known < kCrashesUntilReply ||
        CountCrashes(suspect.crashes, answered_at) >= known) {
      continue;
    }
    auto& answered = own_report_.answered;
    std::erase_if(answered, [&part = part](const AnsweredPart& item) {
      return item.part == part;
    });
    answered.push_back({.part = part, .at = answered_at});
    DropOldest(answered);
    suspect.answered_at = answered_at;
    ++own_version_;
  }
}

TimePoint PromptQuarantine::OwnAnswerAt(const std::string& part) const {
  const auto it = own_answers_.find(part);
  return it == own_answers_.end() ? TimePoint{} : it->second;
}

std::optional<PromptQuarantine::Match> PromptQuarantine::Find(
    const PromptParts& parts) const {
  const auto is_requested = [&](const std::string& part) {
    return std::ranges::find(parts, part) != parts.end();
  };
  for (const std::string& part : parts) {
    const auto it = quarantined_.find(part);
    if (it != quarantined_.end() &&
        std::ranges::all_of(it->second.together, is_requested)) {
      return Match{.part = part, .until = it->second.until};
    }
  }
  return std::nullopt;
}

std::vector<std::string> PromptQuarantine::ExpiredReports(TimePoint now) const {
  const auto has_expired = [now](const auto& item) {
    return HasExpired(item.at, now);
  };
  std::vector<std::string> nodes;
  for (const auto& [node, report] : reports_) {
    if (std::ranges::all_of(report.crashes, has_expired) &&
        std::ranges::all_of(report.answered, has_expired)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace carawayrelay
