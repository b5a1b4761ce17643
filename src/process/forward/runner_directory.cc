#include "process/forward/runner_directory.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "platform/desired_state.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

// Entries that an outage of the store removed are back within two seconds of
// its return.
constexpr std::chrono::milliseconds kLapseGrace{2300};
constexpr std::chrono::milliseconds kFirstAvoidance{500};
constexpr int kMaxAvoidanceDoublings = 3;
constexpr std::chrono::milliseconds kFullAvoidance{60};
// A load report loses half of its weight in this time.
constexpr std::chrono::duration<double> kLoadHalfLife{0.4};
// Added to the share of slots in use.
constexpr double kOtherZonePenalty = 0.03;
constexpr double kColdPenalty = 0.5;
// Requests that a frontend may send to a cold backend server at once.
constexpr double kColdBurst = 1;
constexpr double kAvoidPenalty = 100;
constexpr double kTieBreak = 0.02;

}  // namespace

void RunnerDirectory::Apply(const std::vector<StoredRow>& rows,
                            bool is_full,
                            std::optional<TimePoint> regained_at,
                            TimePoint now) {
  if (is_full) {
    std::set<std::string> present;
    for (const StoredRow& row : rows) {
      present.insert(row.key.key);
    }
    std::vector<std::string> missing;
    for (const auto& [id, runner] : runners_) {
      if (!present.contains(id)) {
        missing.push_back(id);
      }
    }
    for (const std::string& id : missing) {
      Remove(id, regained_at, now);
    }
  }
  for (const StoredRow& row : rows) {
    if (row.is_removed) {
      Remove(row.key.key, regained_at, now);
    } else {
      Put(row, now);
    }
  }
}

void RunnerDirectory::Put(const StoredRow& row, TimePoint now) {
  const std::string& id = row.key.key;
  Result<RunnerEntry> entry = platform::DecodeRunnerEntry(id, row.value);
  if (!entry) {
    LogDecision(LogEvent::kRunnerEntryUnreadable, "runner", id, "version",
                row.version, "reason", entry.error().message);
    runners_.erase(id);
    return;
  }
  const auto [it, is_new] = runners_.try_emplace(id);
  Runner& runner = it->second;
  const bool changes = is_new || runner.gone_at ||
                       runner.entry.is_draining != entry.value().is_draining ||
                       runner.entry.address != entry.value().address;
  const bool is_newer = is_new || row.version > runner.entry.version;
  runner.entry = std::move(entry).value();
  runner.entry.version = row.version;
  runner.gone_at.reset();
  runner.cold_until = now + runner.entry.cold_left;
  if (changes) {
    LogDecision(LogEvent::kRunnerChanged, "runner", id, "address",
                runner.entry.address, "zone", runner.entry.zone, "draining",
                runner.entry.is_draining, "cold_ms",
                runner.entry.cold_left.count(), "version", row.version);
  }
  if (is_newer) {
    runner.is_replaced = false;
    MarkReplaced(runner);
  }
}

void RunnerDirectory::MarkReplaced(Runner& runner) {
  for (auto& [id, other] : runners_) {
    if (&other == &runner || other.entry.address != runner.entry.address) {
      continue;
    }
    Runner& older = other.entry.version < runner.entry.version ? other : runner;
    NoteReplaced(older, "a newer entry has its address");
  }
}

void RunnerDirectory::NoteReplaced(Runner& runner, const std::string& reason) {
  if (!std::exchange(runner.is_replaced, true)) {
    LogDecision(LogEvent::kRunnerReplaced, "runner", runner.entry.id, "address",
                runner.entry.address, "reason", reason);
  }
}

void RunnerDirectory::Remove(const std::string& id,
                             std::optional<TimePoint> regained_at,
                             TimePoint now) {
  const auto it = runners_.find(id);
  if (it == runners_.end()) {
    return;
  }
  if (regained_at && now < *regained_at + kLapseGrace &&
      !it->second.entry.is_draining) {
    it->second.gone_at = *regained_at + kLapseGrace;
    return;
  }
  LogDecision(LogEvent::kRunnerGone, "runner", id, "reason", "entry removed");
  runners_.erase(it);
}

void RunnerDirectory::Tick(TimePoint now) {
  std::erase_if(runners_, [&](const auto& item) {
    const bool is_gone = item.second.gone_at && *item.second.gone_at <= now;
    if (is_gone) {
      LogDecision(LogEvent::kRunnerGone, "runner", item.first, "reason",
                  "entry did not come back after an outage of the store");
    }
    return is_gone;
  });
}

bool RunnerDirectory::IsUsable(const Runner& runner) const {
  return !runner.entry.is_draining && !runner.is_replaced &&
         !evacuated_.contains(runner.entry.zone);
}

RunnerDirectory::Counts RunnerDirectory::CountStates(TimePoint now) const {
  Counts counts;
  for (const auto& [id, runner] : runners_) {
    counts.usable += IsUsable(runner) ? 1 : 0;
    counts.draining += runner.entry.is_draining ? 1 : 0;
    counts.replaced += runner.is_replaced ? 1 : 0;
    counts.lapsed += runner.gone_at ? 1 : 0;
    counts.avoided += now < runner.avoid_until ? 1 : 0;
    counts.cold += now < runner.cold_until ? 1 : 0;
  }
  return counts;
}

double RunnerDirectory::Score(const Runner& runner,
                              const Query& query,
                              TimePoint now) {
  const std::chrono::duration<double> age = now - runner.others_at;
  const double others = runner.others * std::exp2(-(age / kLoadHalfLife));
  double score = (runner.running + others) / runner.entry.slots;
  if (runner.entry.zone != query.zone) {
    score += kOtherZonePenalty;
  }
  if (now < runner.cold_until) {
    score += kColdPenalty;
  }
  if (now < runner.avoid_until) {
    score += kAvoidPenalty;
  }
  std::uniform_real_distribution<double> tie(0, kTieBreak);
  return score + tie(random_);
}

RunnerDirectory::Runner* RunnerDirectory::Choose(const Query& query,
                                                 TimePoint now) {
  Runner* best = nullptr;
  double best_score = 0;
  for (auto& [id, runner] : runners_) {
    if (runner.entry.service != query.service || !IsUsable(runner) ||
        query.excluded.contains(id) || !HasColdRoom(runner, now)) {
      continue;
    }
    const double score = Score(runner, query, now);
    if (best == nullptr || score < best_score) {
      best = &runner;
      best_score = score;
    }
  }
  return best;
}

RunnerDirectory::Runner* RunnerDirectory::Find(const std::string& id) {
  const auto it = runners_.find(id);
  return it == runners_.end() ? nullptr : &it->second;
}

RunnerDirectory::Runner* RunnerDirectory::FindByAddress(
    const std::string& address) {
  Runner* found = nullptr;
  for (auto& [id, runner] : runners_) {
    if (runner.entry.address == address &&
        (found == nullptr || (IsUsable(runner) && !IsUsable(*found)))) {
      found = &runner;
    }
  }
  return found;
}

void RunnerDirectory::SetColdLimits(std::map<std::string, double> per_second,
                                    size_t members) {
  cold_per_second_ = std::move(per_second);
  for (auto& [service, limit] : cold_per_second_) {
    limit /= static_cast<double>(std::max<size_t>(members, 1));
  }
}

bool RunnerDirectory::HasColdRoom(Runner& runner, TimePoint now) {
  const auto limit = cold_per_second_.find(runner.entry.service);
  if (now >= runner.cold_until || limit == cold_per_second_.end() ||
      limit->second <= 0) {
    runner.cold_room.reset();
    return true;
  }
  if (runner.cold_room) {
    runner.cold_room->SetRate(limit->second, kColdBurst, now);
  } else {
    runner.cold_room.emplace(limit->second, kColdBurst, now);
  }
  return runner.cold_room->TokensAt(now) >= 1;
}

void RunnerDirectory::NoteSent(Runner& runner, TimePoint now) {
  ++runner.running;
  if (runner.cold_room) {
    runner.cold_room->Spend(1, now);
  }
}

void RunnerDirectory::NoteLoad(Runner& runner,
                               const RunnerLoad& load,
                               TimePoint now) {
  runner.others =
      std::max(0, load.running + load.waiting - std::max(1, runner.running));
  runner.others_at = now;
}

void RunnerDirectory::NoteSuccess(Runner& runner) {
  runner.failures = 0;
  runner.avoid_until = TimePoint{};
}

void RunnerDirectory::NoteFailure(Runner& runner,
                                  const std::string& reason,
                                  TimePoint now) {
  const auto avoidance =
      kFirstAvoidance *
      (1 << std::min(runner.failures, kMaxAvoidanceDoublings));
  ++runner.failures;
  runner.avoid_until = now + avoidance;
  LogDecision(LogEvent::kRunnerAvoided, "runner", runner.entry.id, "failures",
              runner.failures, "avoid_ms", avoidance.count(), "reason", reason);
}

void RunnerDirectory::NoteFull(Runner& runner, TimePoint now) {
  runner.avoid_until = std::max(runner.avoid_until, now + kFullAvoidance);
}

}  // namespace carawayrelay
