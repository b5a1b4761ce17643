#include "process/quarantine/prompt_quarantine.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Crashes after which a process that got an answer since tells the others.
constexpr int kCrashesUntilReply = 2;
// A part with an answer this shortly before a crash is not suspected for it.
constexpr milliseconds kRecentAnswer{2000};
// How long answers on parts that nobody suspects are remembered. Longer than
// the report of a crash takes to arrive.
constexpr milliseconds kAnswerMemory{5000};
constexpr milliseconds kPruneInterval{1000};
// Limit of crashes, and of answered parts, in the report of one process; older
// ones are dropped.
constexpr size_t kMaxReported = 32;
// Limit of the ids of parts in the crashes of one report, so that it fits into
// a row.
constexpr size_t kMaxReportedParts = 600;
constexpr size_t kMaxSuspects = 64;
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
  bool clears_crashes = false;
  for (const std::string& part : parts) {
    const TimePoint known =
        std::max(OwnAnswers(part).whole, ReportedAnswerAt(part));
    clears_crashes |= evidence_.CountCrashes(part, known) >= kCrashesUntilReply;
    own_answers_[part].whole = now;
  }
  if (clears_crashes) {
    UpdateQuarantine(now);
    ReportAnswers();
  }
}

void PromptQuarantine::NoteProgress(const PromptParts& parts, TimePoint now) {
  for (const std::string& part : parts) {
    own_answers_[part].in_progress = now;
  }
}

void PromptQuarantine::NoteCrash(const std::string& backend_id,
                                 const PromptParts& parts,
                                 TimePoint now) {
  PromptParts cut = TakeUnconfirmed(backend_id, now);
  cut.insert(cut.begin(), parts.begin(), parts.end());
  PromptParts suspects;
  std::copy_if(cut.begin(), cut.end(), std::back_inserter(suspects),
               [&](const std::string& part) {
                 return now - OwnAnswers(part).whole >= kRecentAnswer;
               });
  if (suspects.empty()) {
    return;
  }
  LogDecision(LogEvent::kCrashSuspected, "runner", backend_id, "suspects",
              JoinIds(suspects), "prompt_parts", JoinIds(parts));
  AddOwnCrash(backend_id, suspects, now);
  ++own_version_;
  Rebuild(now);
}

void PromptQuarantine::NoteUndelimitedAnswer(const std::string& backend_id,
                                             const PromptParts& parts,
                                             TimePoint now) {
  if (!parts.empty()) {
    unconfirmed_.push_back(
        {.backend_id = backend_id, .parts = parts, .at = now});
  }
}

PromptParts PromptQuarantine::TakeUnconfirmed(const std::string& backend_id,
                                              TimePoint before) {
  PromptParts parts;
  std::erase_if(unconfirmed_, [&](const UnconfirmedAnswer& answer) {
    if (answer.backend_id != backend_id || answer.at >= before) {
      return false;
    }
    parts.insert(parts.end(), answer.parts.begin(), answer.parts.end());
    return true;
  });
  return parts;
}

void PromptQuarantine::NoteUnreachable(const std::string& backend_id,
                                       TimePoint now) {
  const bool may_have_crashed =
      std::ranges::any_of(unconfirmed_, [&](const UnconfirmedAnswer& answer) {
        return answer.backend_id == backend_id;
      });
  if (may_have_crashed) {
    NoteCrash(backend_id, {}, now);
  }
}

void PromptQuarantine::AddOwnCrash(const std::string& backend_id,
                                   const PromptParts& suspects,
                                   TimePoint now) {
  auto& crashes = own_report_.crashes;
  const auto same =
      std::ranges::find_if(crashes, [&](const BackendCrash& crash) {
        return crash.backend_id == backend_id && now - crash.at < kSameCrash;
      });
  BackendCrash& crash = same != crashes.end()
                            ? *same
                            : crashes.emplace_back(BackendCrash{
                                  .backend_id = backend_id, .at = now});
  for (const std::string& part : suspects) {
    if (crash.suspects.size() < kMaxSuspects &&
        std::ranges::find(crash.suspects, part) == crash.suspects.end()) {
      crash.suspects.push_back(part);
    }
  }
  DropOldest(crashes);
  size_t parts = 0;
  for (const BackendCrash& reported : crashes) {
    parts += reported.suspects.size();
  }
  while (parts > kMaxReportedParts) {
    parts -= crashes.front().suspects.size();
    crashes.erase(crashes.begin());
  }
}

void PromptQuarantine::NoteAlive(const std::string& backend_id,
                                 TimePoint since,
                                 TimePoint now) {
  const PromptParts confirmed = TakeUnconfirmed(backend_id, since);
  if (!confirmed.empty()) {
    NoteAnswer(confirmed, now);
  }
  const size_t refuted =
      std::erase_if(own_report_.crashes, [&](const BackendCrash& crash) {
        return crash.backend_id == backend_id && since > crash.at &&
               now - crash.at < kSameCrash;
      });
  if (refuted > 0) {
    LogDecision(LogEvent::kCrashRefuted, "runner", backend_id);
    ++own_version_;
    Rebuild(now);
  }
}

void PromptQuarantine::Apply(std::map<std::string, CrashReport> reports,
                             TimePoint now) {
  reports.merge(reports_);  // keeps the new report of each node
  reports_ = std::move(reports);
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
    const CrashEvidence::Answers& answers = item.second;
    return now - std::max(answers.whole, answers.in_progress) >=
               kAnswerMemory &&
           !evidence_.IsSuspect(item.first);
  });
  std::erase_if(unconfirmed_, [now](const UnconfirmedAnswer& answer) {
    return now - answer.at >= kAnswerMemory;
  });
  if (PruneOwnReport(now)) {
    ++own_version_;
  }
  if (!evidence_.empty()) {
    Rebuild(now);
  }
}

bool PromptQuarantine::PruneOwnReport(TimePoint now) {
  // A crash whose parts were all answered since accuses none of them.
  const size_t crashes =
      std::erase_if(own_report_.crashes, [&](const BackendCrash& crash) {
        return HasExpired(crash.at, now) ||
               std::ranges::all_of(
                   crash.suspects, [&](const std::string& part) {
                     return std::max(ReportedAnswerAt(part),
                                     OwnAnswers(part).whole) > crash.at;
                   });
      });
  const size_t answered = std::erase_if(
      own_report_.answered,
      [now](const AnsweredPart& item) { return HasExpired(item.at, now); });
  return crashes + answered > 0;
}

void PromptQuarantine::Rebuild(TimePoint now) {
  evidence_ = CrashEvidence();
  reported_answers_.clear();
  const auto add = [&](const CrashReport& report) {
    evidence_.Add(report, now);
    for (const AnsweredPart& item : report.answered) {
      TimePoint& at = reported_answers_[item.part];
      at = std::max(at, item.at);
    }
  };
  add(own_report_);
  for (const auto& [node, report] : reports_) {
    add(report);
  }
  UpdateQuarantine(now);
  ReportAnswers();
}

void PromptQuarantine::UpdateQuarantine(TimePoint now) {
  const auto answers = [this](const std::string& part) {
    CrashEvidence::Answers known = OwnAnswers(part);
    known.whole = std::max(known.whole, ReportedAnswerAt(part));
    return known;
  };
  std::map<std::string, Quarantine> quarantined;
  for (const CrashEvidence::Accused& accused : evidence_.FindAccused(answers)) {
    const Quarantine quarantine{
        .until = accused.crashes.back() + kCrashLifetime,
        .together = accused.parts,
        .crashes = accused.crashes};
    for (const std::string& part : accused.parts) {
      quarantined.emplace(part, quarantine);
    }
  }
  const std::map<std::string, Quarantine> before =
      std::exchange(quarantined_, std::move(quarantined));
  LogChanges(before, now);
}

void PromptQuarantine::LogChanges(
    const std::map<std::string, Quarantine>& before,
    TimePoint now) const {
  for (const auto& [part, quarantine] : quarantined_) {
    if (!before.contains(part)) {
      LogDecision(LogEvent::kPromptQuarantined, "part", part, "crashes",
                  quarantine.crashes.size(), "for_ms",
                  ToMilliseconds(quarantine.until - now));
    }
  }
  for (const auto& [part, quarantine] : before) {
    if (!quarantined_.contains(part)) {
      LogDecision(LogEvent::kPromptReleased, "part", part, "reason",
                  now < quarantine.until
                      ? "a backend server answered on it, or another part "
                        "explains the crashes"
                      : "the last crash is long ago");
    }
  }
}

void PromptQuarantine::ReportAnswers() {
  for (const std::string& part : evidence_.Suspects()) {
    const TimePoint reported_at = ReportedAnswerAt(part);
    const TimePoint answered_at = OwnAnswers(part).whole;
    const int known = evidence_.CountCrashes(part, reported_at);
    if (known < kCrashesUntilReply ||
        evidence_.CountCrashes(part, answered_at) >= known) {
      continue;
    }
    auto& answered = own_report_.answered;
    std::erase_if(answered,
                  [&](const AnsweredPart& item) { return item.part == part; });
    answered.push_back({.part = part, .at = answered_at});
    DropOldest(answered);
    reported_answers_[part] = answered_at;
    ++own_version_;
  }
}

CrashEvidence::Answers PromptQuarantine::OwnAnswers(
    const std::string& part) const {
  const auto it = own_answers_.find(part);
  return it == own_answers_.end() ? CrashEvidence::Answers{} : it->second;
}

TimePoint PromptQuarantine::ReportedAnswerAt(const std::string& part) const {
  const auto it = reported_answers_.find(part);
  return it == reported_answers_.end() ? TimePoint{} : it->second;
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
      return Match{.part = part,
                   .until = it->second.until,
                   .together = it->second.together,
                   .crashes = it->second.crashes};
    }
  }
  return std::nullopt;
}

bool PromptQuarantine::IsAccusedWith(const PromptParts& parts,
                                     const PromptParts& other) const {
  return std::ranges::any_of(parts, [&](const std::string& part) {
    const auto it = quarantined_.find(part);
    return it != quarantined_.end() &&
           std::ranges::any_of(other, [&](const std::string& other_part) {
             return it->second.together.contains(other_part);
           });
  });
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
