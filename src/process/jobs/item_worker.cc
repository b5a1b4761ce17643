#include "process/jobs/item_worker.h"

#include <algorithm>
#include <memory>

#include "platform/backend_codec.h"
#include "process/pace/item_pace.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Limit of items that one write claims.
constexpr int kMaxItemsPerClaim = 3;
// How long an item whose run failed is left to the other workers, because the
// fault may be in the local backend server.
constexpr milliseconds kLocalRetryDelay{3000};
// How long nothing is claimed after a failed run; doubles with each consecutive
// failure. Otherwise a backend server that fails fast would use up the attempts
// of many items.
constexpr milliseconds kFirstFailurePause{500};
constexpr int kMaxFailurePauseDoublings = 3;
// Limit of concurrent runs while the backend server is cold.
constexpr int kMaxColdRuns = 2;

}  // namespace

ItemWorker::ItemWorker(Options options,
                       JobTable& jobs,
                       JobWriter& writer,
                       StoreClient& store,
                       StoreTransferQueue& transfers,
                       BackendDirectory& backends,
                       PromptQuarantine& quarantine,
                       PromptTrials& trials,
                       OutboundCalls& calls,
                       const EventLoopClock& clock)
    : options_(std::move(options)),
      jobs_(jobs),
      writer_(writer),
      store_(store),
      transfers_(transfers),
      backends_(backends),
      quarantine_(quarantine),
      trials_(trials),
      calls_(calls),
      clock_(clock),
      random_(options_.seed) {}

BackendDirectory::Backend* ItemWorker::LocalBackend() {
  BackendDirectory::Backend* backend =
      backends_.FindByAddress(options_.backend_address);
  return backend != nullptr && backends_.IsUsable(*backend) &&
                 !backend->expires_at
             ? backend
             : nullptr;
}

int ItemWorker::CountRunning() const {
  return static_cast<int>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& item) {
        return item.second.state == RunState::kRunning;
      }));
}

int ItemWorker::CountPending() const {
  return static_cast<int>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& item) {
        return item.second.state == RunState::kLoading ||
               item.second.state == RunState::kPaused ||
               item.second.state == RunState::kAsking;
      }));
}

const ServingRoute* ItemWorker::FindRoute(const BulkJob& job) const {
  const ServingRoute* route =
      config_ ? config_->FindRouteByName(job.route) : nullptr;
  return route != nullptr && route->call_class == CallClass::kBulk ? route
                                                                   : nullptr;
}

bool ItemWorker::IsServedLocally(const ServingRoute& route) {
  const BackendDirectory::Backend* backend = LocalBackend();
  return backend != nullptr &&
         std::ranges::any_of(route.services, [&](const WeightedService& s) {
           return s.service == backend->registration.service;
         });
}

void ItemWorker::Tick(TimePoint now) {
  DropObsoleteRuns(now);
  EndHolds(now);
  RenewClaims(now);
  if (is_stopping_) {
    return;
  }
  GiveUpJob(now);
  if (LocalBackend() == nullptr) {
    for (auto& [key, run] : runs_) {
      if (run.state == RunState::kRunning || run.state == RunState::kPaused) {
        ReleaseClaim(key, run, "the local backend server is not usable", now);
      }
    }
    return;
  }
  for (auto& [key, run] : runs_) {
    if (run.state == RunState::kRunning &&
        now - run.last_progress_at >= options_.silence_limit) {
      Pause(run, now);
    } else if (run.state == RunState::kPaused &&
               now - run.state_since >= options_.pause_limit) {
      ReleaseClaim(key, run, "no free slot within the pause limit", now);
    }
  }
  ReleaseStalledRuns(now);
  RequestLoadReport(now);
}

void ItemWorker::ReleaseStalledRuns(TimePoint now) {
  bool is_any_stalled = false;
  for (auto& [key, run] : runs_) {
    const bool waits_for_events = run.state == RunState::kRunning ||
                                  run.state == RunState::kPaused ||
                                  run.state == RunState::kAsking;
    if (!waits_for_events ||
        now - run.last_event_at < options_.progress_limit) {
      continue;
    }
    is_any_stalled = true;
    failed_locally_[key] = now + kLocalRetryDelay;
    ReleaseClaim(key, run, "no new event within the progress limit", now);
  }
  if (is_any_stalled) {
    PauseClaims(now);
  }
}

void ItemWorker::RequestLoadReport(TimePoint now) {
  if (is_report_pending_ || now < next_report_) {
    return;
  }
  const bool has_work = !runs_.empty() || ChooseJob(now).has_value();
  if (!has_work) {
    return;
  }
  is_report_pending_ = true;
  next_report_ = now + options_.report_interval;
  auto body = std::make_shared<std::string>();
  calls_.Start(platform::EncodeReportCall(options_.backend_address),
               [this, body, now](CallEvent& event) {
                 std::visit(
                     Overloaded{
                         [&](CallHead& head) { OnReportHead(head, now); },
                         [&](CallData& data) { *body += data.bytes; },
                         [&](CallEnd& end) {
                           is_report_pending_ = false;
                           const auto load = platform::DecodeReport(*body);
                           if (end.is_complete && load) {
                             OnLoadReport(load.value(), clock_.now());
                           }
                         },
                     },
                     event);
               });
}

void ItemWorker::OnReportHead(const CallHead& head, TimePoint asked_at) {
  const BackendDirectory::Backend* backend = LocalBackend();
  if (backend != nullptr) {
    quarantine_.NoteAlive(backend->registration.id, asked_at, clock_.now());
  }
  NoteLocalPace(platform::DecodeBackendResponseHead(head).load, clock_.now());
  if (backend != nullptr && platform::AnnouncesLeaving(head.headers)) {
    backends_.NoteLeaving(backend->registration.id, clock_.now());
  }
}

void ItemWorker::OnLoadReport(const BackendLoad& load, TimePoint now) {
  BackendDirectory::Backend* backend = LocalBackend();
  if (backend == nullptr || is_stopping_) {
    return;
  }
  const int online = load.running + load.waiting - CountRunning();
  int free_slots = backend->registration.slots - load.running - load.waiting;
  if (online >= options_.reserve_threshold) {
    free_slots -= options_.reserved_slots;
  }
  if (free_slots < 0) {
    PreemptRuns(-free_slots, now);
    return;
  }
  free_slots = std::min(
      free_slots, SlotsAtPace(backend->registration.slots, LocalPace(now)) -
                      load.running - load.waiting);
  if (now < backend->cold_until) {
    free_slots = std::min(free_slots, kMaxColdRuns - CountRunning());
  }
  if (free_slots <= 0) {
    return;
  }
  StartPausedRuns(free_slots, now);
  const int claim_count = free_slots - CountPending();
  if (claim_count > 0) {
    Claim(std::min(claim_count, kMaxItemsPerClaim), now);
  }
}

// Stops the runs that started last, because they have the fewest events to
// repeat.
void ItemWorker::PreemptRuns(int count, TimePoint now) {
  std::vector<Run*> running;
  for (auto& [key, run] : runs_) {
    if (run.state == RunState::kRunning) {
      running.push_back(&run);
    }
  }
  std::sort(running.begin(), running.end(), [](const Run* a, const Run* b) {
    return a->started_at > b->started_at;
  });
  if (running.size() > static_cast<size_t>(count)) {
    running.resize(static_cast<size_t>(count));
  }
  for (Run* run : running) {
    ++counters_.yielded;
    Pause(*run, now);
  }
}

void ItemWorker::Pause(Run& run, TimePoint now) {
  if (run.state == RunState::kRunning) {
    calls_.Cancel(run.outbound_id);
    // A prompt that crashes backend servers does so when its answer begins.
    if (!run.is_progress_noted) {
      EndTrial(run, /*was_received=*/true);
    }
  }
  run.state = RunState::kPaused;
  run.state_since = now;
}

// Stops runs whose job has ended or whose item has a listed result.
void ItemWorker::DropObsoleteRuns(TimePoint now) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    Run& run = it->second;
    const JobTable::Entry* entry = jobs_.Find(it->first.first);
    const bool is_obsolete = entry == nullptr || entry->job.is_ended ||
                             entry->job.items[it->first.second].IsListed();
    const bool is_busy =
        run.state == RunState::kListing || run.state == RunState::kReleasing;
    if (!is_obsolete || is_busy) {
      ++it;
      continue;
    }
    Pause(run, now);
    LogDecision(LogEvent::kItemDropped, "job", it->first.first, "item",
                it->first.second, "reason",
                "the job has ended or the result is listed");
    it = runs_.erase(it);
  }
}

void ItemWorker::NoteRunFailed(const ItemKey& key, TimePoint now) {
  failed_locally_[key] = now + kLocalRetryDelay;
  PauseClaims(now);
}

void ItemWorker::PauseClaims(TimePoint now) {
  next_claim_ =
      now + kFirstFailurePause * (1 << std::min(consecutive_failures_,
                                                kMaxFailurePauseDoublings));
  ++consecutive_failures_;
}

void ItemWorker::Stop(TimePoint now) {
  is_stopping_ = true;
  for (auto it = runs_.begin(); it != runs_.end();) {
    auto& [key, run] = *it++;
    if (run.state != RunState::kListing && run.state != RunState::kReleasing) {
      ReleaseClaim(key, run, "the worker is stopping", now);
    }
  }
}

}  // namespace carawayrelay
