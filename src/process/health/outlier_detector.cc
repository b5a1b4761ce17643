#include "process/health/outlier_detector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpdateInterval{100};
// When others have reported something new.
constexpr milliseconds kMinUpdateInterval{20};
constexpr milliseconds kFirstEjection{1000};
constexpr milliseconds kMaxEjection{4000};
// The ejection of each frontend ends at a random time up to this much later.
// The first ones to probe report a failure before the others send a request.
constexpr double kEjectionSpread = 0.5;
// After this long in use, the next ejection is as short as the first.
constexpr milliseconds kGoodBehaviour{30000};
// A backend server that nobody probed for this long is used again.
constexpr milliseconds kMaxProbing{10000};
constexpr milliseconds kPanicLogInterval{5000};
// Attempts with a shorter time limit say nothing about the backend server.
constexpr milliseconds kMinTimeLimit{300};
// A backend server that should be ejected takes the place of another one only
// if it is worse by this much.
constexpr double kClearlyWorse = 0.25;
// A bad link shows at many backend servers at once: more than this number, and
// more than this fraction.
constexpr size_t kMinAccusedByBadLink = 4;
constexpr double kAccusedByBadLink = 0.15;
// Fraction of the usual requests to a backend server that only the limit saves
// from ejection.
constexpr double kPanicWeight = 0.1;

bool IsOut(const ServerHealth& health) {
  return std::holds_alternative<ServerEjected>(health) ||
         std::holds_alternative<ServerProbing>(health);
}

milliseconds EjectionTime(int ejections) {
  constexpr int kMaxDoublings = 8;
  return std::min(
      kMaxEjection,
      kFirstEjection * (1 << std::clamp(ejections - 1, 0, kMaxDoublings)));
}

std::int64_t AgeOf(std::optional<TimePoint> time, TimePoint now) {
  return time ? ToMilliseconds(now - *time) : -1;
}

}  // namespace

void OutlierDetector::SetServers(const std::vector<Server>& servers,
                                 TimePoint now) {
  std::set<std::string> present;
  for (const Server& server : servers) {
    present.insert(server.id);
    const auto [it, is_new] = servers_.try_emplace(server.id);
    if (!is_new && it->second.key != server.key) {
      ids_.erase(it->second.key);
      reported_.Forget(it->second.key);
      it->second = Entry{};
    }
    it->second.service = server.service;
    it->second.key = server.key;
    ids_[server.key] = server.id;
  }
  std::erase_if(servers_, [&](const auto& item) {
    if (present.contains(item.first)) {
      return false;
    }
    ids_.erase(item.second.key);
    reported_.Forget(item.second.key);
    return true;
  });
  for (auto& [name, service] : services_) {
    service.servers.clear();
  }
  for (auto& item : servers_) {
    services_[item.second.service].servers.push_back(&item);
  }
  std::erase_if(services_,
                [](const auto& item) { return item.second.servers.empty(); });
  for (auto& [name, service] : services_) {
    EnforceLimit(service, now);
  }
}

void OutlierDetector::NoteOutcome(const AttemptOutcome& outcome,
                                  TimePoint now) {
  const auto it = servers_.find(outcome.backend_id);
  if (it == servers_.end()) {
    return;
  }
  bool is_failure = false;
  switch (outcome.result) {
    case AttemptResult::kAnswered:
      it->second.own.AddAnswer(now);
      return;
    case AttemptResult::kFailed:
      is_failure = true;
      break;
    case AttemptResult::kTimedOut:
      is_failure = outcome.events == 0 && outcome.total >= kMinTimeLimit;
      break;
    case AttemptResult::kDeclined:
    case AttemptResult::kCancelled:
      break;
  }
  // The failure of a silent attempt was counted when it became silent.
  if (is_failure && !outcome.was_silent) {
    it->second.own.AddFailure(now);
    last_failure_ = now;
  }
}

void OutlierDetector::NoteSilence(const std::string& id, TimePoint now) {
  const auto it = servers_.find(id);
  if (it != servers_.end()) {
    it->second.own.AddFailure(now);
    last_failure_ = now;
  }
}

std::optional<std::vector<ServerEvidence>> OutlierDetector::Apply(
    const HealthReport& report,
    TimePoint now) {
  if (!reported_.Begin(report, now)) {
    return std::nullopt;
  }
  std::vector<ServerEvidence> learned;
  for (const ServerEvidence& evidence : report.servers) {
    const auto id = ids_.find(evidence.server);
    if (id == ids_.end()) {
      continue;
    }
    const bool is_first = reported_.Put(report, evidence, now);
    // Failed probes are news each time: they extend the ejection.
    const Entry& entry = servers_.at(id->second);
    const bool is_failed_probe =
        IsOut(entry.health) && evidence.failures > 0 &&
        now - report.age - evidence.failure_age > entry.evidence_from;
    if (is_first || is_failed_probe) {
      learned.push_back(evidence);
    }
    if (evidence.failures > 0) {
      last_failure_ = std::max(last_failure_, now - report.age);
    }
  }
  if (!learned.empty()) {
    next_update_ = std::min(next_update_, updated_at_ + kMinUpdateInterval);
  }
  return learned;
}

bool OutlierDetector::IsQuiet(TimePoint now) const {
  return now - last_failure_ > 2 * kHealthEvidenceWindow &&
         reported_.IsEmpty() &&
         std::none_of(servers_.begin(), servers_.end(), [](const auto& item) {
           return !std::holds_alternative<ServerInUse>(item.second.health);
         });
}

void OutlierDetector::Tick(TimePoint now) {
  if (now < next_update_) {
    return;
  }
  updated_at_ = now;
  next_update_ = now + kUpdateInterval;
  has_findings_ = !IsQuiet(now);
  if (!has_findings_) {
    return;
  }
  reported_.Tick(now);
  const auto floor =
      std::max(kMinAccusedByBadLink,
               static_cast<size_t>(kAccusedByBadLink *
                                   static_cast<double>(servers_.size())));
  const size_t own_accused = CountAccused(now);
  reported_.JudgeReporters(floor, peers_, own_accused);
  is_own_link_suspect_ = peers_ > 0 && own_accused > reported_.max_accused();
  for (auto& [name, service] : services_) {
    UpdateService(service, now);
  }
}

size_t OutlierDetector::CountAccused(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
        const int failures = item.second.own.failures(now);
        return failures > 0 && failures >= item.second.own.answers(now);
      }));
}

ServerSummary OutlierDetector::Summarize(const Entry& entry,
                                         TimePoint now) const {
  const EvidenceWindow& own = entry.own;
  const bool counts_own = !is_own_link_suspect_;
  ServerSummary summary{.own_answers = own.answers(now),
                        .is_out = IsOut(entry.health)};
  const int own_failures = counts_own ? own.failures(now) : 0;
  summary.answers = summary.own_answers;
  summary.failures = own_failures;
  if (summary.own_answers > 0) {
    summary.last_answer = own.last_answer();
  }
  if (own_failures > 0) {
    summary.last_failure = own.last_failure();
    summary.own_failures =
        std::min(own_failures, own.FailuresAfter(entry.evidence_from));
  }
  const ReportedEvidence::Records* records = reported_.Find(entry.key);
  if (records != nullptr) {
    for (const auto& [name, record] : *records) {
      if (!record.reporter->is_trusted) {
        continue;
      }
      summary.answers += record.answers;
      summary.failures += record.failures;
      summary.last_answer = std::max(summary.last_answer, record.last_answer);
      summary.last_failure =
          std::max(summary.last_failure, record.last_failure);
      summary.reporters += record.last_failure > entry.evidence_from ? 1 : 0;
    }
  }
  const TimePoint streak_from =
      std::max(entry.evidence_from,
               summary.last_answer.value_or(now - kHealthEvidenceWindow));
  if (own_failures > 0) {
    const int failures = own.FailuresAfter(streak_from);
    summary.streak += failures;
    summary.streak_sources += failures > 0 ? 1 : 0;
  }
  if (records != nullptr) {
    for (const auto& [name, record] : *records) {
      // How many of the reporter's failures are later is not known.
      if (record.reporter->is_trusted && record.last_failure > streak_from) {
        ++summary.streak;
        ++summary.streak_sources;
      }
    }
  }
  return summary;
}

void OutlierDetector::UpdateService(Service& service, TimePoint now) {
  std::vector<ServerSummary> summaries;
  summaries.reserve(service.servers.size());
  service.has_failures = false;
  for (auto* item : service.servers) {
    Entry& entry = item->second;
    entry.summary = Summarize(entry, now);
    service.has_failures |= entry.summary.failures > 0;
    summaries.push_back(entry.summary);
    UpdatePhase(item->first, entry, now);
  }
  const ServiceBackground background = BackgroundOf(summaries);
  std::vector<std::pair<HealthVerdict, std::pair<const std::string, Entry>*>>
      to_eject;
  for (auto* item : service.servers) {
    Entry& entry = item->second;
    const HealthVerdict verdict = Judge(entry.summary, background);
    if (verdict.should_eject) {
      to_eject.emplace_back(verdict, item);
    } else if (!IsOut(entry.health)) {
      entry.health = verdict.weight < 1
                         ? ServerHealth(ServerReduced{verdict.weight})
                         : ServerHealth(ServerInUse{});
    }
  }
  std::stable_sort(to_eject.begin(), to_eject.end(),
                   [](const auto& a, const auto& b) {
                     return a.first.badness > b.first.badness;
                   });
  for (const auto& [verdict, item] : to_eject) {
    EjectOrReduce(item->first, item->second, verdict, service, now);
  }
}

void OutlierDetector::UpdatePhase(const std::string& id,
                                  Entry& entry,
                                  TimePoint now) {
  const bool has_answered = entry.summary.last_answer > entry.evidence_from &&
                            !entry.summary.IsFailing();
  std::visit(Overloaded{
                 [&](const ServerEjected& ejected) {
                   if (now >= entry.evidence_from && has_answered) {
                     Return(id, entry, "answered", now);
                   } else if (now >= ejected.until) {
                     entry.health = ServerProbing{.since = now};
                   }
                 },
                 [&](const ServerProbing& probing) {
                   if (has_answered) {
                     Return(id, entry, "answered", now);
                   } else if (now - probing.since >= kMaxProbing) {
                     Return(id, entry, "not probed", now);
                   }
                 },
                 [&](const auto&) {
                   if (entry.ejections > 0 &&
                       now - entry.returned_at >= kGoodBehaviour) {
                     entry.ejections = 0;
                   }
                 },
             },
             ServerHealth(entry.health));
}

void OutlierDetector::EjectOrReduce(const std::string& id,
                                    Entry& entry,
                                    const HealthVerdict& verdict,
                                    Service& service,
                                    TimePoint now) {
  const bool was_out = IsOut(entry.health);
  if (was_out && now < entry.evidence_from) {
    return;  // ejected already
  }
  const auto out = static_cast<size_t>(std::count_if(
      service.servers.begin(), service.servers.end(),
      [](const auto* item) { return IsOut(item->second.health); }));
  if (was_out || out < service.servers.size() / 2) {
    Eject(id, entry, verdict.badness, now);
    return;
  }
  ++counters_.panics;
  if (now >= service.next_panic_log) {
    service.next_panic_log = now + kPanicLogInterval;
    LogDecision(LogEvent::kEjectionLimitReached, "service", entry.service,
                "runners", service.servers.size(), "ejected", out, "runner", id,
                "answers", entry.summary.answers, "failures",
                entry.summary.failures);
  }
  std::pair<const std::string, Entry>* least_bad = nullptr;
  for (auto* item : service.servers) {
    if (IsOut(item->second.health) &&
        (least_bad == nullptr ||
         item->second.badness < least_bad->second.badness)) {
      least_bad = item;
    }
  }
  if (least_bad != nullptr &&
      least_bad->second.badness + kClearlyWorse < verdict.badness) {
    Return(least_bad->first, least_bad->second, "others are worse", now);
    Eject(id, entry, verdict.badness, now);
    return;
  }
  entry.health = ServerReduced{.weight = kPanicWeight};
}

void OutlierDetector::Eject(const std::string& id,
                            Entry& entry,
                            double badness,
                            TimePoint now) {
  ++entry.ejections;
  ++counters_.ejected;
  entry.badness = badness;
  const milliseconds time = EjectionTime(entry.ejections);
  entry.evidence_from = now + time;
  const double spread =
      std::uniform_real_distribution<double>(0, kEjectionSpread)(random_);
  const TimePoint until =
      now + time + std::chrono::duration_cast<Duration>(spread * time);
  entry.health = ServerEjected{.until = until};
  const ServerSummary& summary = entry.summary;
  LogDecision(LogEvent::kBackendEjected, "runner", id, "service", entry.service,
              "ejections", entry.ejections, "for_ms",
              ToMilliseconds(until - now), "answers", summary.answers,
              "failures", summary.failures, "own_failures",
              summary.own_failures, "reporters", summary.reporters, "streak",
              summary.streak, "answer_age_ms", AgeOf(summary.last_answer, now),
              "failure_age_ms", AgeOf(summary.last_failure, now));
}

void OutlierDetector::Return(const std::string& id,
                             Entry& entry,
                             const char* reason,
                             TimePoint now) {
  ++counters_.returned;
  entry.health = ServerInUse{};
  entry.returned_at = now;
  entry.evidence_from = std::min(entry.evidence_from, now);
  LogDecision(LogEvent::kBackendReturned, "runner", id, "service",
              entry.service, "ejections", entry.ejections, "reason", reason,
              "answers", entry.summary.answers, "failures",
              entry.summary.failures, "answer_age_ms",
              AgeOf(entry.summary.last_answer, now));
}

void OutlierDetector::EnforceLimit(Service& service, TimePoint now) {
  while (true) {
    size_t out = 0;
    std::pair<const std::string, Entry>* least_bad = nullptr;
    for (auto* item : service.servers) {
      if (!IsOut(item->second.health)) {
        continue;
      }
      ++out;
      if (least_bad == nullptr ||
          item->second.badness < least_bad->second.badness) {
        least_bad = item;
      }
    }
    if (out <= service.servers.size() / 2) {
      return;
    }
    Return(least_bad->first, least_bad->second, "too many are ejected", now);
  }
}

ServerHealth OutlierDetector::Find(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? ServerHealth(ServerInUse{}) : it->second.health;
}

bool OutlierDetector::HasRecentFailures(const std::string& service) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.has_failures;
}

bool OutlierDetector::IsProven(const std::string& id) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && it->second.summary.answers > 0 &&
         it->second.summary.failures == 0;
}

std::vector<ServerEvidence> OutlierDetector::EvidenceToReport(
    TimePoint now) const {
  std::vector<ServerEvidence> evidence;
  if (is_own_link_suspect_ || IsQuiet(now)) {
    return evidence;
  }
  const auto age_of = [now](std::optional<TimePoint> time) {
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(now - time.value_or(now)),
        milliseconds(0), kHealthEvidenceWindow);
  };
  for (const auto& [id, entry] : servers_) {
    const int answers = entry.own.answers(now);
    const int failures = entry.own.failures(now);
    if (failures == 0 &&
        (answers == 0 || reported_.Find(entry.key) == nullptr)) {
      continue;
    }
    ServerEvidence e{
        .server = entry.key, .answers = answers, .failures = failures};
    if (answers > 0) {
      e.answer_age = age_of(entry.own.last_answer());
    }
    if (failures > 0) {
      e.failure_age = age_of(entry.own.last_failure());
    }
    evidence.push_back(e);
  }
  std::stable_sort(evidence.begin(), evidence.end(),
                   [](const ServerEvidence& a, const ServerEvidence& b) {
                     return std::pair(a.failures == 0, a.failure_age) <
                            std::pair(b.failures == 0, b.failure_age);
                   });
  return evidence;
}

OutlierDetector::Counts OutlierDetector::CountStates() const {
  Counts counts{.distrusted = static_cast<int>(reported_.CountDistrusted())};
  for (const auto& [id, entry] : servers_) {
    std::visit(Overloaded{
                   [](const ServerInUse&) {},
                   [&](const ServerReduced&) { ++counts.reduced; },
                   [&](const ServerEjected&) { ++counts.ejected; },
                   [&](const ServerProbing&) { ++counts.probing; },
               },
               entry.health);
  }
  return counts;
}

}  // namespace carawayrelay
