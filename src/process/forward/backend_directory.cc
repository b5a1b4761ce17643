#include "process/forward/backend_directory.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "platform/desired_state.h"
#include "process/pace/candidate_cost.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Registrations that expired during a store outage are written again within two
// seconds after the store is available again.
constexpr std::chrono::milliseconds kExpiryGrace{2300};
constexpr std::chrono::milliseconds kFirstAvoidance{500};
constexpr int kMaxAvoidanceDoublings = 3;
constexpr std::chrono::milliseconds kFullAvoidance{60};
// Time in which a load report loses half of its weight.
constexpr std::chrono::duration<double> kLoadHalfLife{0.4};
// Part of what a cold backend server bears that online requests may use. The
// rest is for batch items, which its own worker sends.
constexpr double kColdOnlineFraction = 0.8;
// Burst of requests that a frontend may send to a cold backend server.
constexpr double kColdBurst = 1;
// A canary backend server is chosen before all others when it is due, and a
// reserve only when the others are avoided.
constexpr double kPreferredBonus = 50;
constexpr double kReservePenalty = 50;
// Range of the random tie-break, added to the cost of a candidate.
constexpr double kTieBreakRange = 0.02;
// A response that took this many times the median does not let the limit of a
// slow start grow.
constexpr double kSlowResponse = 2;

}  // namespace

void BackendDirectory::Apply(const std::vector<StoredRow>& rows,
                             bool is_full,
                             std::optional<TimePoint> reconnected_at,
                             TimePoint now) {
  if (is_full) {
    std::set<std::string> present;
    for (const StoredRow& row : rows) {
      present.insert(row.key.key);
    }
    std::vector<std::string> missing;
    for (const auto& [id, backend] : backends_) {
      if (!present.contains(id)) {
        missing.push_back(id);
      }
    }
    for (const std::string& id : missing) {
      Remove(id, reconnected_at, now);
    }
  }
  for (const StoredRow& row : rows) {
    if (row.is_removed) {
      Remove(row.key.key, reconnected_at, now);
    } else {
      Put(row, now);
    }
  }
  has_list_ |= is_full;
}

void BackendDirectory::Put(const StoredRow& row, TimePoint now) {
  const std::string& id = row.key.key;
  Result<BackendRegistration> registration =
      platform::DecodeBackendRegistration(id, row.value);
  if (!registration) {
    LogDecision(LogEvent::kBackendRegistrationUnreadable, "runner", id,
                "version", row.version, "reason", registration.error().message);
    backends_.erase(id);
    return;
  }
  const auto [it, is_new] = backends_.try_emplace(id);
  Backend& backend = it->second;
  const bool changes =
      is_new || backend.expires_at ||
      backend.registration.is_draining != registration.value().is_draining ||
      backend.registration.address != registration.value().address;
  const bool has_come_back =
      has_list_ && !registration.value().is_draining &&
      (is_new || backend.registration.is_draining ||
       backend.registration.started_at != registration.value().started_at ||
       backend.registration.address != registration.value().address);
  const bool is_newer = is_new || row.version > backend.registration.version;
  backend.registration = std::move(registration).value();
  backend.registration.version = row.version;
  backend.expires_at.reset();
  backend.cold_until = now + backend.registration.remaining_cold_time;
  if (changes) {
    LogDecision(LogEvent::kBackendChanged, "runner", id, "address",
                backend.registration.address, "zone", backend.registration.zone,
                "draining", backend.registration.is_draining, "cold_ms",
                backend.registration.remaining_cold_time.count(), "version",
                row.version);
  }
  if (has_come_back || (is_new && now < backend.cold_until)) {
    BeginSlowStart(backend, "registered");
  }
  if (is_newer) {
    backend.is_replaced = false;
    MarkOlderReplaced(backend);
  }
}

void BackendDirectory::MarkOlderReplaced(Backend& backend) {
  for (auto& [id, other] : backends_) {
    if (&other == &backend ||
        other.registration.address != backend.registration.address) {
      continue;
    }
    Backend& older = other.registration.version < backend.registration.version
                         ? other
                         : backend;
    NoteReplaced(older, "a newer registration has the same address");
  }
}

void BackendDirectory::NoteReplaced(Backend& backend,
                                    const std::string& reason) {
  if (!std::exchange(backend.is_replaced, true)) {
    LogDecision(LogEvent::kBackendReplaced, "runner", backend.registration.id,
                "address", backend.registration.address, "reason", reason);
  }
}

void BackendDirectory::NoteLeaving(const std::string& id, TimePoint now) {
  const Backend* backend = Find(id);
  const milliseconds started_at =
      backend != nullptr ? backend->registration.started_at : milliseconds(0);
  if (leaving_.Note(id, started_at, now)) {
    LogDecision(LogEvent::kBackendLeaving, "runner", id, "is_registered",
                backend != nullptr, "is_draining",
                backend != nullptr && backend->registration.is_draining,
                "version",
                backend != nullptr ? backend->registration.version : 0);
  }
}

void BackendDirectory::Remove(const std::string& id,
                              std::optional<TimePoint> reconnected_at,
                              TimePoint now) {
  const auto it = backends_.find(id);
  if (it == backends_.end()) {
    return;
  }
  if (reconnected_at && now < *reconnected_at + kExpiryGrace &&
      !it->second.registration.is_draining) {
    it->second.expires_at = *reconnected_at + kExpiryGrace;
    return;
  }
  LogDecision(LogEvent::kBackendRemoved, "runner", id, "reason",
              "its registration was removed from the store");
  backends_.erase(it);
}

void BackendDirectory::Tick(TimePoint now) {
  leaving_.Tick(now);
  std::erase_if(backends_, [&](const auto& item) {
    const bool is_expired =
        item.second.expires_at && *item.second.expires_at <= now;
    if (is_expired) {
      LogDecision(LogEvent::kBackendRemoved, "runner", item.first, "reason",
                  "its registration was not renewed after a store outage");
    }
    return is_expired;
  });
}

bool BackendDirectory::IsUsable(const Backend& backend) const {
  return IsInService(backend) && VersionUseOf(backend) != VersionUse::kRefused;
}

bool BackendDirectory::IsInService(const Backend& backend) const {
  return !backend.registration.is_draining && !backend.is_replaced &&
         !leaving_.Contains(backend.registration) &&
         !evacuated_.contains(backend.registration.zone);
}

BackendDirectory::Counts BackendDirectory::CountStates(TimePoint now) const {
  Counts counts;
  for (const auto& [id, backend] : backends_) {
    counts.usable += IsUsable(backend) ? 1 : 0;
    counts.draining += backend.registration.is_draining ? 1 : 0;
    counts.leaving += leaving_.Contains(backend.registration) ? 1 : 0;
    counts.replaced += backend.is_replaced ? 1 : 0;
    counts.lapsed += backend.expires_at ? 1 : 0;
    counts.avoided += now < backend.avoid_until ? 1 : 0;
    counts.cold += now < backend.cold_until ? 1 : 0;
    counts.slow_start += backend.slow_start.IsActive() ? 1 : 0;
    counts.with_pace += backend.pace.HasFigures(now) ? 1 : 0;
  }
  return counts;
}

double BackendDirectory::Cost(const Backend& backend,
                              const Query& query,
                              bool is_limited,
                              TimePoint now) {
  const std::chrono::duration<double> age = now - backend.other_load_at;
  const double other_load =
      backend.other_load * std::exp2(-(age / kLoadHalfLife));
  double cost = CandidateCost(
      {.load = backend.own_calls + other_load,
       .slots = backend.registration.slots,
       .pace = backend.pace.Estimate(now),
       .is_in_other_zone = backend.registration.zone != query.zone,
       .is_cold = now < backend.cold_until,
       .is_avoided = now < backend.avoid_until,
       .is_limited = is_limited});
  if (health_penalty_) {
    cost += health_penalty_(backend, query, now);
  }
  const VersionUse version_use = VersionUseOf(backend);
  cost -= version_use == VersionUse::kPreferred ? kPreferredBonus : 0;
  cost += version_use == VersionUse::kReserve ? kReservePenalty : 0;
  std::uniform_real_distribution<double> tie(0, kTieBreakRange);
  return cost + tie(random_);
}

BackendDirectory::Backend* BackendDirectory::Choose(const Query& query,
                                                    TimePoint now) {
  struct Candidate {
    Backend* backend;
    bool is_limited;
  };
  std::vector<Candidate> candidates;
  size_t limited_count = 0;
  for (auto& [id, backend] : backends_) {
    if (backend.registration.service != query.service || !IsUsable(backend) ||
        query.excluded.contains(id) || !HasColdCapacity(backend, now)) {
      continue;
    }
    const bool is_limited =
        !backend.slow_start.HasCapacity(backend.own_calls, now, random_);
    limited_count += is_limited ? 1 : 0;
    candidates.push_back({&backend, is_limited});
  }
  // When most are limited, as after the loss of an availability zone, the
  // limits would send all requests to the few others.
  const bool applies_limits = 2 * limited_count <= candidates.size();
  Backend* best = nullptr;
  double lowest_cost = 0;
  for (const auto& [backend, is_limited] : candidates) {
    const double cost =
        Cost(*backend, query, applies_limits && is_limited, now);
    if (best == nullptr || cost < lowest_cost) {
      best = backend;
      lowest_cost = cost;
    }
  }
  return best;
}

BackendDirectory::Backend* BackendDirectory::Find(const std::string& id) {
  const auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}

BackendDirectory::Backend* BackendDirectory::FindByAddress(
    const std::string& address) {
  Backend* found = nullptr;
  for (auto& [id, backend] : backends_) {
    if (backend.registration.address == address &&
        (found == nullptr || (IsUsable(backend) && !IsUsable(*found)))) {
      found = &backend;
    }
  }
  return found;
}

void BackendDirectory::SetColdLimits(std::map<std::string, double> per_second,
                                     size_t members) {
  cold_per_second_ = std::move(per_second);
  members_ = members;
  for (auto& [service, limit] : cold_per_second_) {
    limit *=
        kColdOnlineFraction / static_cast<double>(std::max<size_t>(members, 1));
  }
}

bool BackendDirectory::HasColdCapacity(Backend& backend, TimePoint now) {
  const auto limit = cold_per_second_.find(backend.registration.service);
  if (now >= backend.cold_until || limit == cold_per_second_.end() ||
      limit->second <= 0) {
    backend.cold_tokens.reset();
    return true;
  }
  if (backend.cold_tokens) {
    backend.cold_tokens->SetRate(limit->second, kColdBurst, now);
  } else {
    // Begins with a random part of a token, because all frontends learn of a
    // cold server at the same time: a whole token each would be a burst of as
    // many requests as there are frontends.
    backend.cold_tokens.emplace(limit->second, kColdBurst, now);
    std::uniform_real_distribution<double> missing(0, kColdBurst);
    backend.cold_tokens->Spend(missing(random_), now);
  }
  return backend.cold_tokens->TokensAt(now) >= 1;
}

void BackendDirectory::NoteSent(Backend& backend, TimePoint now) {
  ++backend.own_calls;
  backend.slow_start.NoteSent();
  if (on_sent_) {
    on_sent_(backend.registration);
  }
  if (backend.cold_tokens) {
    backend.cold_tokens->Spend(1, now);
  }
}

void BackendDirectory::NoteLoad(Backend& backend,
                                const BackendLoad& load,
                                TimePoint now) {
  backend.other_load =
      std::max(0, load.running + load.waiting - std::max(1, backend.own_calls));
  backend.other_load_at = now;
  if (load.pace) {
    backend.pace.AddFigure(*load.pace, now);
  }
}

void BackendDirectory::SetEvacuated(std::set<std::string> zones) {
  for (auto& [id, backend] : backends_) {
    const std::string& zone = backend.registration.zone;
    if (evacuated_.contains(zone) && !zones.contains(zone)) {
      BeginSlowStart(backend, "its availability zone is in service again");
    }
  }
  evacuated_ = std::move(zones);
}

bool BackendDirectory::HasPaceFigures(const std::string& service,
                                      TimePoint now) const {
  return std::ranges::any_of(backends_, [&](const auto& item) {
    return item.second.registration.service == service &&
           item.second.pace.HasFigures(now);
  });
}

void BackendDirectory::BeginSlowStart(Backend& backend,
                                      const std::string& reason) {
  if (!has_slow_start_) {
    return;
  }
  const bool is_change = !backend.slow_start.IsActive();
  backend.slow_start.Begin(backend.registration.slots, members_);
  if (is_change) {
    LogDecision(LogEvent::kSlowStartBegan, "runner", backend.registration.id,
                "limit", backend.slow_start.limit(), "reason", reason);
  }
}

void BackendDirectory::NoteAttempt(const AttemptOutcome& outcome,
                                   TimePoint now) {
  if (!has_slow_start_) {
    return;
  }
  const std::optional<double> pace = observed_pace_.Add(outcome);
  Backend* backend = Find(outcome.backend_id);
  if (backend == nullptr) {
    return;
  }
  if (pace) {
    backend->pace.AddObservation(*pace, now);
  }
  const bool is_good = outcome.result == AttemptResult::kAnswered &&
                       pace.value_or(1) < kSlowResponse;
  if (!is_good && outcome.result != AttemptResult::kCancelled) {
    backend->slow_start.NoteBadResponse();
  } else if (is_good && backend->slow_start.NoteGoodResponse()) {
    LogDecision(LogEvent::kSlowStartEnded, "runner", outcome.backend_id);
  }
}

void BackendDirectory::NoteSuccess(Backend& backend) {
  backend.consecutive_failures = 0;
  backend.avoid_until = TimePoint{};
}

void BackendDirectory::NoteFailure(Backend& backend,
                                   const std::string& reason,
                                   TimePoint now) {
  const auto avoidance =
      kFirstAvoidance *
      (1 << std::min(backend.consecutive_failures, kMaxAvoidanceDoublings));
  ++backend.consecutive_failures;
  backend.avoid_until = now + avoidance;
  // One failure of a sound backend server, such as a lost answer, does not mean
  // that it has to recover.
  if (backend.consecutive_failures > 1) {
    BeginSlowStart(backend, reason);
  }
  LogDecision(LogEvent::kBackendAvoided, "runner", backend.registration.id,
              "failures", backend.consecutive_failures, "avoid_ms",
              avoidance.count(), "reason", reason);
}

void BackendDirectory::NoteFull(Backend& backend, TimePoint now) {
  backend.avoid_until = std::max(backend.avoid_until, now + kFullAvoidance);
}

}  // namespace carawayrelay
