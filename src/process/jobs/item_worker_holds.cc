#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "process/jobs/item_listing.h"
#include "process/jobs/item_worker.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// How much longer other workers leave a held item to the worker that held it,
// so that they do not all claim it.
constexpr milliseconds kHoldPriority{2000};
constexpr milliseconds kMinHoldTime{500};

}  // namespace

bool ItemWorker::IsAdmitted(const ItemKey& key, Run& run, TimePoint now) {
  if (run.trial) {
    return true;
  }
  if (RunsBesideSuspect(run)) {
    return false;
  }
  const PromptTrials::Verdict verdict = trials_.Admit(run.prompt_parts, now);
  return std::visit(Overloaded{
                        [](const PromptTrials::Admitted&) { return true; },
                        [&](const PromptTrials::Refused& refusal) {
                          HoldItem(key, run, refusal, now);
                          return false;
                        },
                        [&](const PromptTrials::TrialDue&) {
                          run.state = RunState::kAsking;
                          run.state_since = now;
                          trials_.Ask(
                              run.prompt_parts,
                              [this, key](const PromptTrials::Answer& answer) {
                                OnTrialAnswer(key, answer);
                              });
                          return false;
                        },
                    },
                    verdict);
}

bool ItemWorker::RunsBesideSuspect(const Run& run) const {
  return std::ranges::any_of(runs_, [&](const auto& item) {
    const Run& other = item.second;
    return other.state == RunState::kRunning &&
           quarantine_.IsAccusedWith(run.prompt_parts, other.prompt_parts);
  });
}

void ItemWorker::OnTrialAnswer(const ItemKey& key,
                               const PromptTrials::Answer& answer) {
  const TimePoint now = clock_.now();
  Run* run = FindRun(key, RunState::kAsking);
  std::visit(Overloaded{
                 [&](const PromptTrials::Admitted&) {
                   if (run != nullptr) {
                     Pause(*run, now);  // starts with the next free slot
                   }
                 },
                 [&](const TrialGrant& grant) {
                   if (run == nullptr) {
                     trials_.Return(grant);
                     return;
                   }
                   run->trial = grant;
                   StartRun(key, *run, now);
                   if (run->state != RunState::kRunning) {
                     EndTrial(*run, /*was_received=*/false);
                   }
                 },
                 [&](const PromptTrials::Refused& refusal) {
                   if (run != nullptr) {
                     HoldItem(key, *run, refusal, now);
                   }
                 },
             },
             answer);
}

void ItemWorker::EndTrial(Run& run, bool was_received) {
  if (run.trial && !was_received) {
    trials_.Return(*run.trial);
  }
  run.trial.reset();
}

void ItemWorker::EndHolds(TimePoint now) {
  std::erase_if(holds_, [&](const auto& item) {
    const Hold& hold = item.second;
    return now >= hold.until || !quarantine_.Find(hold.prompt_parts);
  });
}

void ItemWorker::HoldItem(const ItemKey& key,
                          Run& run,
                          const PromptTrials::Refused& refusal,
                          TimePoint now) {
  Pause(run, now);
  run.state = RunState::kReleasing;
  ++counters_.held;
  const milliseconds hold_time =
      std::clamp(std::chrono::ceil<milliseconds>(refusal.retry_at - now),
                 kMinHoldTime, options_.hold_time);
  // An item that was run here without success is left to the other workers
  // first, because the fault may be in the local backend server.
  const bool was_run = run.started_at > TimePoint{};
  holds_[key] = {
      .prompt_parts = run.prompt_parts,
      .until = now + hold_time + (was_run ? kHoldPriority : milliseconds(0))};
  LogDecision(LogEvent::kItemHeld, "job", key.first, "item", key.second, "id",
              run.item.id, "part", refusal.part, "for_ms", hold_time.count());
  milliseconds lease_end = store_.StoreTime(now) + hold_time +
                           (was_run ? milliseconds(0) : kHoldPriority);
  const JobTable::Entry* entry = jobs_.Find(key.first);
  const ServingRoute* route =
      entry == nullptr ? nullptr : FindRoute(entry->job);
  if (route != nullptr && route->bulk.item_expiry.count() > 0) {
    lease_end =
        std::min(lease_end, entry->job.accepted + route->bulk.item_expiry);
  }
  const auto apply = [key, lease_end, progress = run.progress,
                      node = options_.node](BulkJob& state,
                                            RowsTransaction& transaction) {
    JobItemState& item = state.items[key.second];
    if (item.state != ItemState::kClaimed || item.owner != node) {
      return JobWriter::Outcome::kAlreadyApplied;
    }
    item.lease_end = lease_end;
    StorePartialRun(state, key.second, progress, transaction);
    return JobWriter::Outcome::kChanged;
  };
  const auto done = [this, key](JobWriter::Outcome) { runs_.erase(key); };
  writer_.Add(key.first, {.apply = apply, .done = done});
}

}  // namespace carawayrelay
