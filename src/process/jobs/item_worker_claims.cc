#include <algorithm>
#include <memory>

#include "platform/prompt_codec.h"
#include "process/jobs/item_worker.h"
#include "process/pace/item_pace.h"
#include "process/telemetry/decision_log.h"
#include "request/random_backoff.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// A claim that conflicts with the write of another worker is retried once, then
// abandoned in favor of the other workers.
constexpr int kMaxClaimTries = 2;
// Workers wait a random time up to this limit before they claim items of a job
// that has changed, so that they seldom write the same row.
constexpr milliseconds kMaxClaimDelay{400};
// One of this many jobs that are due first is chosen at random, so that workers
// seldom write the same row.
constexpr size_t kMaxJobCandidates = 3;
constexpr milliseconds kClaimBackoff{60};
// No read of a claimed item begins later than this after the claim, whose lease
// is renewed meanwhile.
constexpr milliseconds kLoadLimit{10000};
constexpr milliseconds kFirstLoadPause{500};
constexpr int kMaxLoadPauseDoublings = 4;

}  // namespace

bool ItemWorker::IsClaimable(const std::string& job,
                             size_t index,
                             const JobItemState& item,
                             milliseconds store_now) const {
  const ItemKey key{job, index};
  if (item.IsListed() || runs_.contains(key) || failed_locally_.contains(key) ||
      holds_.contains(key)) {
    return false;
  }
  return item.state == ItemState::kWaiting || item.owner == options_.node ||
         item.lease_end <= store_now;
}

bool ItemWorker::IsClaimDelayOver(const std::string& job,
                                  std::uint64_t version,
                                  TimePoint now) {
  ClaimTime& time = claim_times_[job];
  if (time.version != version) {
    std::uniform_int_distribution<std::int64_t> delay(0,
                                                      kMaxClaimDelay.count());
    time = {.version = version, .at = now + milliseconds(delay(random_))};
  }
  return now >= time.at;
}

bool ItemWorker::HasOpenJob() const {
  return std::any_of(jobs_.jobs().begin(), jobs_.jobs().end(),
                     [](const auto& item) { return item.second.job.IsOpen(); });
}

double ItemWorker::LocalPace(TimePoint now) {
  const BackendDirectory::Backend* backend = LocalBackend();
  // A run that starts now is slow at first if the pace is slow now, and later
  // if it was slow most of the time.
  return backend == nullptr ? 1
                            : std::max(backend->pace.Estimate(now).pace,
                                       backend->pace.RecentMean(now));
}

void ItemWorker::NoteLocalPace(const std::optional<BackendLoad>& load,
                               TimePoint now) {
  BackendDirectory::Backend* backend = LocalBackend();
  if (backend != nullptr && load && load->pace) {
    backend->pace.AddFigure(*load->pace, now);
  }
}

bool ItemWorker::IsLeftToOthers(const std::string& job,
                                milliseconds time_left,
                                TimePoint now) {
  const auto known = left_until_.find(job);
  if (known != left_until_.end()) {
    return now < known->second;
  }
  const double pace = LocalPace(now);
  if (!FitsOnlyElsewhere(options_.run_time, pace, time_left)) {
    return false;
  }
  left_until_[job] = now + options_.leave_time;
  LogDecision(LogEvent::kItemsLeftToOthers, "job", job, "pace", pace, "left_ms",
              time_left.count(), "for_ms", options_.leave_time.count());
  return true;
}

std::optional<std::string> ItemWorker::ChooseJob(TimePoint now) {
  if (LocalBackend() == nullptr || !config_) {
    return std::nullopt;
  }
  const milliseconds store_now = store_.StoreTime(now);
  struct Candidate {
    bool is_late;  // the job is unlikely to finish before `due`
    milliseconds due;
    std::string job;

    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> found;
  for (const auto& [id, entry] : jobs_.jobs()) {
    const ServingRoute* route = FindRoute(entry.job);
    if (!entry.job.IsOpen() || route == nullptr || !IsServedLocally(*route) ||
        GiveUpReason(entry, now)) {
      continue;
    }
    if (!IsClaimDelayOver(id, entry.version, now)) {
      continue;
    }
    for (size_t i = 0; i < entry.job.items.size(); ++i) {
      if (IsClaimable(id, i, entry.job.items[i], store_now)) {
        const milliseconds due =
            entry.job.accepted + route->bulk.completion_target;
        if (IsLeftToOthers(id, due - store_now, now)) {
          break;
        }
        found.push_back({.is_late = due - store_now < options_.run_time,
                         .due = due,
                         .job = id});
        break;
      }
    }
  }
  if (found.empty()) {
    return std::nullopt;
  }
  std::sort(found.begin(), found.end());
  const auto in_time = static_cast<size_t>(std::count_if(
      found.begin(), found.end(),
      [](const Candidate& candidate) { return !candidate.is_late; }));
  const size_t candidate_count = in_time > 0 ? in_time : found.size();
  std::uniform_int_distribution<size_t> pick(
      0, std::min(candidate_count, kMaxJobCandidates) - 1);
  return found[pick(random_)].job;
}

void ItemWorker::Claim(int count, TimePoint now) {
  if (is_claiming_ || now < next_claim_) {
    return;
  }
  const std::optional<std::string> job = ChooseJob(now);
  if (!job) {
    return;
  }
  is_claiming_ = true;
  auto claimed = std::make_shared<std::vector<size_t>>();
  const auto apply = [this, id = *job, count, claimed,
                      tries = std::make_shared<int>(0)](BulkJob& state,
                                                        RowsTransaction&) {
    claimed->clear();
    if (state.is_ended || ++*tries > kMaxClaimTries) {
      return JobWriter::Outcome::kObsolete;
    }
    const milliseconds store_now = store_.StoreTime(clock_.now());
    for (size_t i = 0;
         i < state.items.size() && claimed->size() < static_cast<size_t>(count);
         ++i) {
      JobItemState& item = state.items[i];
      if (!IsClaimable(id, i, item, store_now)) {
        continue;
      }
      item.state = ItemState::kClaimed;
      item.owner = options_.node;
      item.lease_end = store_now + options_.lease;
      claimed->push_back(i);
    }
    return claimed->empty() ? JobWriter::Outcome::kObsolete
                            : JobWriter::Outcome::kChanged;
  };
  const auto done = [this, id = *job, claimed](JobWriter::Outcome outcome) {
    is_claiming_ = false;
    const TimePoint at = clock_.now();
    if (outcome == JobWriter::Outcome::kChanged) {
      OnClaimed(id, *claimed, at);
    } else {
      next_claim_ = at + kClaimBackoff;
    }
  };
  writer_.Add(*job, {.apply = apply, .done = done});
}

void ItemWorker::OnClaimed(const std::string& job,
                           const std::vector<size_t>& items,
                           TimePoint now) {
  const JobTable::Entry* entry = jobs_.Find(job);
  for (const size_t index : items) {
    Run& run = runs_[{job, index}];
    run.state_since = now;
    run.last_event_at = now;
    run.lease_end = store_.StoreTime(now) + options_.lease;
    bool has_partial = false;
    if (entry != nullptr) {
      run.failures = entry->job.items[index].failures;
      has_partial = entry->job.items[index].has_partial;
    }
    LogDecision(LogEvent::kItemClaimed, "job", job, "item", index,
                "has_partial", has_partial);
  }
  LoadItems(job, items);
}

void ItemWorker::LoadItems(const std::string& job,
                           const std::vector<size_t>& items) {
  submissions_.ReadItems(
      job, items, kLoadLimit,
      [this, job, items](Result<SubmissionReader::Items> loaded) {
        OnItemsLoaded(job, items, std::move(loaded));
      });
}

void ItemWorker::OnItemsLoaded(const std::string& job,
                               const std::vector<size_t>& items,
                               Result<SubmissionReader::Items> loaded) {
  const TimePoint now = clock_.now();
  if (loaded) {
    consecutive_load_failures_ = 0;
  } else {
    NoteLoadFailed(now);
  }
  for (const size_t index : items) {
    const ItemKey key{job, index};
    Run* run = FindRun(key, RunState::kLoading);
    if (run == nullptr) {
      continue;
    }
    if (!loaded || !loaded.value().contains(index)) {
      ReleaseClaim(key, *run,
                   loaded ? "the submission does not contain the item"
                          : loaded.error().message,
                   now);
      continue;
    }
    run->item = std::move(loaded.value()[index]);
    run->prompt_parts = platform::DecodeSharedPromptParts(run->item.headers);
    run->has_item = true;
    LoadProgress(key);
  }
}

void ItemWorker::LoadProgress(const ItemKey& key) {
  const JobTable::Entry* entry = jobs_.Find(key.first);
  if (entry == nullptr || !entry->job.items[key.second].has_partial) {
    Pause(runs_.at(key), clock_.now());
    return;
  }
  const RowKey row = job_rows::Partial(key.first, key.second);
  transfers_.Add(
      {.request = RowsRead{.table = row.table,
                           .part = row.part,
                           .from = row.key,
                           .to = row.key + '\0'},
       .bytes = job_rows::kMaxValueBytes,
       .time_limit = kLoadLimit},
      [this, key](const StoreResponse& response) {
        Run* run = FindRun(key, RunState::kLoading);
        if (run == nullptr) {
          return;
        }
        const TimePoint now = clock_.now();
        if (response.status != StoreStatus::kDone) {
          NoteLoadFailed(now);
          ReleaseClaim(key, *run,
                       "the partial result cannot be read: " + response.reason,
                       now);
          return;
        }
        if (!response.rows.empty()) {
          auto partial = DecodePartialRun(response.rows[0].value);
          if (partial) {
            run->progress = std::move(partial).value();
          } else {
            LogDecision(LogEvent::kPartialUnreadable, "job", key.first, "item",
                        key.second, "reason", partial.error().message);
          }
        }
        Pause(*run, now);
      });
}

void ItemWorker::NoteLoadFailed(TimePoint now) {
  next_claim_ = now + RandomBackoff(kFirstLoadPause, consecutive_load_failures_,
                                    kMaxLoadPauseDoublings, random_);
  ++consecutive_load_failures_;
}

ItemWorker::Run* ItemWorker::FindRun(const ItemKey& key, RunState state) {
  const auto it = runs_.find(key);
  return it != runs_.end() && it->second.state == state ? &it->second : nullptr;
}

}  // namespace carawayrelay
