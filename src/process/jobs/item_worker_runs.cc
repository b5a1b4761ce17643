#include "process/jobs/item_worker.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "platform/backend_codec.h"
#include "process/jobs/item_listing.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"
#include "request/prompt_parts.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// How often a claim is renewed and the text so far is stored with it. What a
// run produced since then is lost if the VM of the worker fails.
constexpr milliseconds kRenewalInterval{3000};
// No attempt to write the text of a result begins later than this after the end
// of its run. The lease is renewed meanwhile.
constexpr milliseconds kStoreLimit{20000};
constexpr int kOk = 200;
// Status of a backend server that can never process the item.
constexpr int kUnprocessable = 422;
// Status of a backend server whose run failed.
constexpr int kRunFailed = 500;

// Runs in a row that may break before their first event until the item is left
// to other workers, and for how long: the item may crash its backend server.
constexpr int kMaxEarlyBreaks = 3;
constexpr std::chrono::seconds kCrashRetryDelay{15};

}  // namespace

void ItemWorker::StartPausedRuns(int count, TimePoint now) {
  if (!jobs_.IsCurrent(options_.max_jobs_age, now)) {
    return;
  }
  for (auto& [key, run] : runs_) {
    if (count <= 0) {
      return;
    }
    if (run.state != RunState::kPaused) {
      continue;
    }
    StartRun(key, run, now);
    --count;
  }
}

void ItemWorker::StartRun(const ItemKey& key, Run& run, TimePoint now) {
  const JobTable::Entry* entry = jobs_.Find(key.first);
  const ServingRoute* route =
      entry == nullptr ? nullptr : FindRoute(entry->job);
  const BackendDirectory::Backend* backend = LocalBackend();
  if (route == nullptr || backend == nullptr || !IsServedLocally(*route)) {
    ReleaseClaim(key, run,
                 "the route, job or local backend server is not available",
                 now);
    return;
  }
  if (const auto reason = GiveUpReason(*entry, now)) {
    ReleaseClaim(key, run, *reason, now);
    return;
  }
  const milliseconds due = entry->job.accepted + route->bulk.completion_target;
  if (IsLeftToOthers(key.first, due - store_.StoreTime(now), now)) {
    ReleaseClaim(key, run, "the local backend server is too slow", now);
    return;
  }
  if (!IsAdmitted(key, run, now)) {
    return;
  }
  run.state = RunState::kRunning;
  run.state_since = now;
  run.status = 0;
  run.is_declined = false;
  run.is_response_invalid = false;
  run.response_problem.clear();
  run.is_text_too_long = false;
  run.event_splitter.Reset();
  run.has_run_event = false;
  run.is_progress_noted = false;
  run.last_progress_at = now;
  run.started_at = now;
  run.backend_id = backend->registration.id;
  const ClientCall call{.request_id = run.item.id,
                        .host = route->host,
                        .method = "POST",
                        .target = run.item.path,
                        .headers = run.item.headers,
                        .body = run.item.body};
  run.outbound_id = calls_.Start(
      platform::EncodeBackendCall(
          {.call = call,
           .backend = backend->registration,
           .workspace = entry->job.workspace,
           .resume_after = run.progress.last_event == 0
                               ? std::string()
                               : std::to_string(run.progress.last_event)}),
      [this, key](CallEvent& event) { OnEvent(key, event); });
}

void ItemWorker::NoteAnswerEnd(const Run& run,
                               const CallEnd& end,
                               TimePoint now) {
  if (!end.was_sent) {
    quarantine_.NoteUnreachable(run.backend_id, now);
  } else if (IsAnswerCut(run, end)) {
    quarantine_.NoteCrash(
        run.backend_id,
        run.is_progress_noted ? PromptParts() : run.prompt_parts, now);
  } else if (!end.is_complete || run.is_declined || run.is_response_invalid) {
    return;
  } else if (run.ends_with_connection) {
    quarantine_.NoteUndelimitedAnswer(run.backend_id, run.prompt_parts, now);
  } else {
    quarantine_.NoteAnswer(run.prompt_parts, now);
  }
}

void ItemWorker::OnEvent(const ItemKey& key, CallEvent& event) {
  const auto it = runs_.find(key);
  if (it == runs_.end()) {
    return;
  }
  Run& run = it->second;
  const TimePoint now = clock_.now();
  std::visit(Overloaded{
                 [&](const CallHead& head) {
                   run.last_progress_at = now;
                   const platform::BackendResponseHead response =
                       platform::DecodeBackendResponseHead(head);
                   NoteLocalPace(response.load, now);
                   if (!response.is_misdirected) {
                     quarantine_.NoteAlive(run.backend_id, run.started_at, now);
                   }
                   if (response.is_leaving && !response.is_misdirected) {
                     backends_.NoteLeaving(run.backend_id, now);
                   }
                   run.status = response.status;
                   run.is_declined = response.is_declined;
                   run.ends_with_connection = response.ends_with_connection;
                   BackendDirectory::Backend* backend = LocalBackend();
                   if (response.is_misdirected && backend != nullptr &&
                       backend->registration.id == run.backend_id) {
                     backends_.NoteReplaced(
                         *backend, "its address belongs to another start");
                   }
                   run.is_response_invalid = !response.request_id.empty() &&
                                             response.request_id != run.item.id;
                   if (response.status == kOk && !response.is_signed) {
                     run.is_response_invalid = true;
                   }
                 },
                 [&](const CallData& data) {
                   if (run.status == kOk && !run.is_response_invalid) {
                     AppendEvents(run, data.bytes, now);
                   }
                 },
                 [](const CallEnd&) {},
             },
             event);
  if (const auto* end = std::get_if<CallEnd>(&event)) {
    OnEnd(key, run, *end, now);
  } else if (run.is_response_invalid) {
    // The rest of the response may have no end.
    calls_.Cancel(run.outbound_id);
    OnEnd(key, run, {.was_sent = true, .reason = "invalid response"}, now);
  }
}

void ItemWorker::AppendEvents(Run& run,
                              const std::string& bytes,
                              TimePoint now) {
  PartialRun& progress = run.progress;
  for (const RawSseEvent& event : run.event_splitter.Feed(bytes)) {
    if (!event.has_data || (event.id && *event.id <= progress.last_event)) {
      continue;
    }
    if (!event.id || *event.id != progress.last_event + 1) {
      run.response_problem = "event id does not follow the previous event id";
      run.is_response_invalid = true;
      return;
    }
    if (progress.last_event > 0) {
      progress.text += '\n';
    }
    progress.text += event.data;
    progress.last_event = *event.id;
    if (!run.has_run_event) {
      run.first_event_at = now;
    } else if (now - run.first_event_at >= PromptQuarantine::kLongAnswer &&
               !std::exchange(run.is_progress_noted, true)) {
      quarantine_.NoteProgress(run.prompt_parts, now);
    }
    run.last_progress_at = now;
    run.last_event_at = now;
    run.has_run_event = true;
    run.early_breaks = 0;
    if (progress.text.size() > options_.max_text_bytes) {
      run.response_problem = "the text of the item is over the limit";
      run.is_response_invalid = true;
      run.is_text_too_long = true;
      progress = PartialRun{};
      return;
    }
  }
  if (run.event_splitter.IsEventTooLong()) {
    run.response_problem = "an event is over the limit";
    run.is_response_invalid = true;
  }
}

bool ItemWorker::IsRunComplete(const Run& run, const CallEnd& end) {
  // A resumed run may have nothing left to send, but only a delimited response
  // tells that from a crash.
  const bool is_cut = run.ends_with_connection && !run.has_run_event;
  return end.is_complete && run.status == kOk && !run.is_response_invalid &&
         !run.event_splitter.HasPartialEvent() && !is_cut &&
         run.progress.last_event > 0;
}

bool ItemWorker::IsAnswerCut(const Run& run, const CallEnd& end) {
  const bool ends_early = run.event_splitter.HasPartialEvent() ||
                          (run.ends_with_connection && !run.has_run_event);
  return end.was_dropped ||
         (end.is_complete && run.status == kOk && ends_early);
}

bool ItemWorker::IsBrokenBeforeEvent(const Run& run, const CallEnd& end) {
  const bool is_broken =
      !end.is_complete ||
      (run.status == kOk &&
       (run.ends_with_connection || run.event_splitter.HasPartialEvent()));
  return is_broken && end.was_sent && !run.is_response_invalid &&
         !run.has_run_event;
}

void ItemWorker::OnEnd(const ItemKey& key,
                       Run& run,
                       const CallEnd& end,
                       TimePoint now) {
  run.early_breaks += IsBrokenBeforeEvent(run, end) ? 1 : 0;
  EndTrial(run, /*was_received=*/end.was_sent && !run.is_declined);
  NoteAnswerEnd(run, end, now);
  const JobTable::Entry* entry = jobs_.Find(key.first);
  const ServingRoute* route =
      entry == nullptr ? nullptr : FindRoute(entry->job);
  const int max_failures = route == nullptr ? 1 : route->max_attempts;
  if (IsRunComplete(run, end)) {
    consecutive_failures_ = 0;
    FinishItem(key, run, /*is_complete=*/true, "complete", now);
    return;
  }
  if (end.is_complete && !run.is_response_invalid &&
      run.status == kUnprocessable) {
    FinishItem(key, run, /*is_complete=*/false,
               "the backend server cannot process the item", now);
    return;
  }
  const bool has_failed =
      end.is_complete && !run.is_response_invalid && run.status == kRunFailed;
  run.failures += has_failed ? 1 : 0;
  LogDecision(LogEvent::kItemRunFailed, "job", key.first, "item", key.second,
              "id", run.item.id, "status", run.status, "declined",
              run.is_declined, "after_event", run.progress.last_event,
              "got_event", run.has_run_event, "failures", run.failures,
              "prompt_parts", JoinIds(run.prompt_parts), "reason",
              run.response_problem.empty() ? end.reason : run.response_problem);
  if (run.early_breaks >= kMaxEarlyBreaks) {
    failed_locally_[key] = now + kCrashRetryDelay;
    ReleaseClaim(key, run, "its runs broke before their first event", now);
  } else if (run.is_text_too_long) {
    NoteRunFailed(key, now);
    ReleaseClaim(key, run, "the text of the item is over the limit", now);
  } else if (!has_failed) {
    Pause(run, now);
  } else if (run.failures >= max_failures) {
    FinishItem(key, run, /*is_complete=*/false,
               "the run failed as often as the route allows", now);
  } else {
    NoteRunFailed(key, now);
    ReleaseClaim(key, run, "the run failed on the local backend server", now);
  }
}

void ItemWorker::FinishItem(const ItemKey& key,
                            Run& run,
                            bool is_complete,
                            const std::string& reason,
                            TimePoint now) {
  run.state_since = now;
  LogDecision(LogEvent::kItemFinished, "job", key.first, "item", key.second,
              "id", run.item.id, "outcome", reason, "events",
              run.progress.last_event, "failures", run.failures);
  ++(is_complete ? counters_.completed : counters_.given_up);
  ItemResult result{.item = run.item.id, .is_complete = is_complete};
  run.state = RunState::kListing;
  if (!is_complete) {
    ListResult(key, result);
    return;
  }
  result.text = run.progress.text;
  if (EncodeItemResult(result).size() <= job_rows::kMaxValueBytes) {
    ListResult(key, result);
    return;
  }
  StoreText(key, run, std::move(result));
}

void ItemWorker::StoreText(const ItemKey& key, Run& run, ItemResult result) {
  run.state = RunState::kStoring;
  result.text.clear();
  result.object = job_rows::ResultObject(key.first, key.second);
  transfers_.Add(
      {.request = ObjectWrite{.name = result.object, .data = run.progress.text},
       .bytes = run.progress.text.size(),
       .time_limit = kStoreLimit},
      [this, key, result](const StoreResponse& response) {
        Run* storing = FindRun(key, RunState::kStoring);
        if (storing == nullptr) {
          return;
        }
        if (response.status == StoreStatus::kDone ||
            response.status == StoreStatus::kConditionFailed) {
          storing->state = RunState::kListing;
          ListResult(key, result);
        } else {
          // The connection to the store may be at fault, so another worker
          // gets the item.
          const TimePoint at = clock_.now();
          NoteRunFailed(key, at);
          ReleaseClaim(key, *storing, "its text could not be stored", at);
        }
      });
}

void ItemWorker::ListResult(const ItemKey& key, const ItemResult& result) {
  const auto apply = [key, result](BulkJob& state,
                                   RowsTransaction& transaction) {
    if (state.items[key.second].IsListed()) {
      return JobWriter::Outcome::kAlreadyApplied;
    }
    if (state.is_ended) {
      return JobWriter::Outcome::kObsolete;
    }
    ListItemResult(state, key.second, result, transaction);
    return JobWriter::Outcome::kChanged;
  };
  const auto done = [this, key](JobWriter::Outcome) { runs_.erase(key); };
  writer_.Add(key.first, {.apply = apply, .done = done});
}

void ItemWorker::ReleaseClaim(const ItemKey& key,
                              Run& run,
                              const std::string& reason,
                              TimePoint now) {
  Pause(run, now);
  run.state = RunState::kReleasing;
  ++counters_.released;
  LogDecision(LogEvent::kItemReturned, "job", key.first, "item", key.second,
              "after_event", run.progress.last_event, "reason", reason);
  const PartialRun progress = run.progress;
  const int failures = run.failures;
  const auto apply = [key, progress, failures, node = options_.node](
                         BulkJob& state, RowsTransaction& transaction) {
    JobItemState& item = state.items[key.second];
    if (item.state != ItemState::kClaimed || item.owner != node) {
      return JobWriter::Outcome::kAlreadyApplied;
    }
    item.state = ItemState::kWaiting;
    item.owner.clear();
    item.failures = std::max(item.failures, failures);
    StorePartialRun(state, key.second, progress, transaction);
    return JobWriter::Outcome::kChanged;
  };
  const auto done = [this, key](JobWriter::Outcome) { runs_.erase(key); };
  writer_.Add(key.first, {.apply = apply, .done = done});
}

void ItemWorker::RenewClaims(TimePoint now) {
  const milliseconds store_now = store_.StoreTime(now);
  for (auto& [key, run] : runs_) {
    const bool needs_claim =
        run.state == RunState::kLoading || run.state == RunState::kRunning ||
        run.state == RunState::kStoring || run.state == RunState::kPaused ||
        run.state == RunState::kAsking;
    if (!needs_claim || run.is_renewing ||
        run.lease_end - store_now > options_.lease - kRenewalInterval) {
      continue;
    }
    run.is_renewing = true;
    const milliseconds lease_end = store_now + options_.lease;
    const auto apply = [key = key, lease_end, progress = run.progress,
                        node = options_.node](BulkJob& state,
                                              RowsTransaction& transaction) {
      JobItemState& item = state.items[key.second];
      if (item.state != ItemState::kClaimed || item.owner != node) {
        return JobWriter::Outcome::kObsolete;
      }
      if (item.lease_end >= lease_end) {
        return JobWriter::Outcome::kAlreadyApplied;
      }
      item.lease_end = lease_end;
      StorePartialRun(state, key.second, progress, transaction);
      return JobWriter::Outcome::kChanged;
    };
    const auto done = [this, key = key, lease_end](JobWriter::Outcome outcome) {
      const auto it = runs_.find(key);
      if (it == runs_.end()) {
        return;
      }
      it->second.is_renewing = false;
      it->second.lease_end = lease_end;
      if (outcome == JobWriter::Outcome::kObsolete ||
          outcome == JobWriter::Outcome::kRejected) {
        // Another worker may have claimed the item.
        Pause(it->second, clock_.now());
        LogDecision(LogEvent::kItemDropped, "job", key.first, "item",
                    key.second, "reason",
                    "the item is no longer claimed by this worker");
        runs_.erase(it);
      }
    };
    writer_.Add(key.first, {.apply = apply, .done = done});
  }
}

}  // namespace carawayrelay
