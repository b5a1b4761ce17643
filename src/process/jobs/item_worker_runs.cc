#include "process/jobs/item_worker.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "platform/runner_codec.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// A claim is renewed when less than this part of its lease is left.
constexpr int kRenewPart = 2;
// The answer of a backend server that can never do the item.
constexpr int kUnprocessable = 422;
// The answer of a backend server whose run failed.
constexpr int kRunFailed = 500;

}  // namespace

void ItemWorker::StartPaused(int count, TimePoint now) {
  for (auto& [key, run] : runs_) {
    if (count <= 0) {
      return;
    }
    if (run.state == RunState::kPaused) {
      Start(key, run, now);
      --count;
    }
  }
}

void ItemWorker::Start(const ItemKey& key, Run& run, TimePoint now) {
  const ServingRoute* route = RouteOf(key.first);
  const JobTable::Entry* entry = jobs_.Find(key.first);
  const RunnerDirectory::Runner* runner = OwnRunner();
  if (route == nullptr || entry == nullptr || runner == nullptr) {
    Return(key, run, "the route or the backend server is gone", now);
    return;
  }
  run.state = RunState::kRunning;
  run.state_since = now;
  run.status = 0;
  run.is_declined = false;
  run.is_foreign = false;
  run.head_problem.clear();
  run.cutter.Reset();
  run.heard_at = now;
  run.started_at = now;
  run.runner = runner->entry.id;
  const ClientCall call{.request_id = run.item.id,
                        .host = route->host,
                        .method = "POST",
                        .target = run.item.path,
                        .headers = run.item.headers,
                        .body = run.item.body};
  run.out = calls_.Start(
      platform::EncodeRunnerCall(
          {.call = call,
           .runner = runner->entry,
           .workspace = entry->job.workspace,
           .resume_after = run.progress.last_event == 0
                               ? std::string()
                               : std::to_string(run.progress.last_event)}),
      [this, key](CallEvent& event) { OnEvent(key, event); });
}

void ItemWorker::OnEvent(const ItemKey& key, CallEvent& event) {
  const auto it = runs_.find(key);
  if (it == runs_.end()) {
    return;
  }
  Run& run = it->second;
  const TimePoint now = clock_.now();
  run.heard_at = now;
  std::visit(Overloaded{
                 [&](const CallHead& head) {
                   const platform::RunnerHead answer =
                       platform::DecodeRunnerHead(head);
                   run.status = answer.status;
                   run.is_declined = answer.is_declined;
                   RunnerDirectory::Runner* runner = OwnRunner();
                   if (answer.is_other_runner && runner != nullptr &&
                       runner->entry.id == run.runner) {
                     runners_.NoteReplaced(
                         *runner, "its address belongs to another start");
                   }
                   run.is_foreign = !answer.request_id.empty() &&
                                    answer.request_id != run.item.id;
                   if (answer.status == 200 && !answer.is_signed) {
                     run.is_foreign = true;
                   }
                 },
                 [&](const CallData& data) {
                   if (run.status == 200 && !run.is_foreign) {
                     TakeEvents(run, data.bytes);
                   }
                 },
                 [&](const CallEnd& end) { OnEnd(key, run, end, now); },
             },
             event);
}

void ItemWorker::TakeEvents(Run& run, const std::string& bytes) {
  PartialRun& progress = run.progress;
  for (const CutEvent& event : run.cutter.Feed(bytes)) {
    if (!event.has_data || (event.id && *event.id <= progress.last_event)) {
      continue;
    }
    if (!event.id || *event.id != progress.last_event + 1) {
      run.head_problem = "event out of order";
      run.is_foreign = true;
      return;
    }
    if (progress.last_event > 0) {
      progress.text += '\n';
    }
    progress.text += event.data;
    progress.last_event = *event.id;
  }
}

void ItemWorker::OnEnd(const ItemKey& key,
                       Run& run,
                       const CallEnd& end,
                       TimePoint now) {
  const ServingRoute* route = RouteOf(key.first);
  const int max_failures = route == nullptr ? 1 : route->max_attempts;
  if (end.is_whole && run.status == 200 && !run.is_foreign &&
      !run.cutter.HasPartialEvent() && run.progress.last_event > 0) {
    failures_in_a_row_ = 0;
    Finish(key, run, /*is_complete=*/true, "complete", now);
    return;
  }
  if (end.is_whole && !run.is_foreign && run.status == kUnprocessable) {
    Finish(key, run, /*is_complete=*/false, "cannot be done", now);
    return;
  }
  const bool has_failed =
      end.is_whole && !run.is_foreign && run.status == kRunFailed;
  run.failures += has_failed ? 1 : 0;
  LogDecision(LogEvent::kItemRunFailed, "job", key.first, "item", key.second,
              "id", run.item.id, "status", run.status, "declined",
              run.is_declined, "after_event", run.progress.last_event,
              "failures", run.failures, "reason",
              run.head_problem.empty() ? end.reason : run.head_problem);
  if (!has_failed) {
    Pause(run, now);
  } else if (run.failures >= max_failures) {
    Finish(key, run, /*is_complete=*/false, "failed too often", now);
  } else {
    NoteRunFailed(key, now);
    Return(key, run, "its run failed", now);
  }
}

void ItemWorker::Finish(const ItemKey& key,
                        Run& run,
                        bool is_complete,
                        const std::string& reason,
                        TimePoint now) {
  run.state = RunState::kListing;
  run.state_since = now;
  LogDecision(LogEvent::kItemFinished, "job", key.first, "item", key.second,
              "id", run.item.id, "outcome", reason, "events",
              run.progress.last_event, "failures", run.failures);
  ++(is_complete ? counters_.completed : counters_.given_up);
  ItemResult result{.item = run.item.id, .is_complete = is_complete};
  if (!is_complete) {
    List(key, result);
    return;
  }
  if (run.progress.text.size() <= job_rows::kMaxValueBytes / 2) {
    result.text = run.progress.text;
    List(key, result);
    return;
  }
  result.object = job_rows::ResultObject(key.first, key.second);
  store_.Send(ObjectWrite{.name = result.object, .data = run.progress.text},
              [this, key, result](const StoreReply& reply) {
                const auto it = runs_.find(key);
                if (it == runs_.end()) {
                  return;
                }
                if (reply.status == StoreStatus::kDone ||
                    reply.status == StoreStatus::kConditionFailed) {
                  List(key, result);
                } else {
                  // Ends whole at once when it is started again.
                  Pause(it->second, clock_.now());
                }
              });
}

void ItemWorker::List(const ItemKey& key, const ItemResult& result) {
  const auto apply = [key, result](BulkJob& state,
                                   RowsTransaction& transaction) {
    JobItemState& item = state.items[key.second];
    if (item.IsListed()) {
      return JobWriter::Outcome::kAlready;
    }
    if (state.is_ended) {
      return JobWriter::Outcome::kMoot;
    }
    item.state =
        result.is_complete ? ItemState::kComplete : ItemState::kDeadLetter;
    item.owner.clear();
    if (item.has_partial) {
      item.has_partial = false;
      transaction.removals.push_back(job_rows::Partial(key.first, key.second));
    }
    transaction.writes.push_back(
        {.key = job_rows::Result(key.first, state.listed),
         .value = EncodeItemResult(result)});
    ++state.listed;
    return JobWriter::Outcome::kChanged;
  };
  const auto done = [this, key](JobWriter::Outcome) { runs_.erase(key); };
  writer_.Add(key.first, {.apply = apply, .done = done});
}

void ItemWorker::Return(const ItemKey& key,
                        Run& run,
                        const std::string& reason,
                        TimePoint now) {
  Pause(run, now);
  run.state = RunState::kReturning;
  ++counters_.released;
  LogDecision(LogEvent::kItemReturned, "job", key.first, "item", key.second,
              "after_event", run.progress.last_event, "reason", reason);
  const PartialRun progress = run.progress;
  const int failures = run.failures;
  const auto apply = [key, progress, failures, node = options_.node](
                         BulkJob& state, RowsTransaction& transaction) {
    JobItemState& item = state.items[key.second];
    if (item.state != ItemState::kClaimed || item.owner != node) {
      return JobWriter::Outcome::kAlready;
    }
    item.state = ItemState::kWaiting;
    item.owner.clear();
    item.failures = std::max(item.failures, failures);
    if (progress.last_event > 0 &&
        progress.text.size() <= job_rows::kMaxValueBytes / 2) {
      item.has_partial = true;
      transaction.writes.push_back(
          {.key = job_rows::Partial(key.first, key.second),
           .value = EncodePartialRun(progress)});
    }
    return JobWriter::Outcome::kChanged;
  };
  const auto done = [this, key](JobWriter::Outcome) { runs_.erase(key); };
  writer_.Add(key.first, {.apply = apply, .done = done});
}

void ItemWorker::Renew(TimePoint now) {
  const milliseconds store_now = store_.StoreTime(now);
  for (auto& [key, run] : runs_) {
    const bool needs_claim =
        run.state == RunState::kRunning || run.state == RunState::kPaused;
    if (!needs_claim || run.is_renewing ||
        run.lease_end - store_now >= options_.lease / kRenewPart) {
      continue;
    }
    run.is_renewing = true;
    const milliseconds lease_end = store_now + options_.lease;
    const auto apply = [key = key, lease_end, node = options_.node](
                           BulkJob& state, RowsTransaction&) {
      JobItemState& item = state.items[key.second];
      if (item.state != ItemState::kClaimed || item.owner != node) {
        return JobWriter::Outcome::kMoot;
      }
      if (item.lease_end >= lease_end) {
        return JobWriter::Outcome::kAlready;
      }
      item.lease_end = lease_end;
      return JobWriter::Outcome::kChanged;
    };
    const auto done = [this, key = key, lease_end](JobWriter::Outcome outcome) {
      const auto it = runs_.find(key);
      if (it == runs_.end()) {
        return;
      }
      it->second.is_renewing = false;
      it->second.lease_end = lease_end;
      if (outcome == JobWriter::Outcome::kMoot) {
        // Another worker has it now.
        Pause(it->second, clock_.now());
        LogDecision(LogEvent::kItemDropped, "job", key.first, "item",
                    key.second, "reason", "the claim was lost");
        runs_.erase(it);
      }
    };
    writer_.Add(key.first, {.apply = apply, .done = done});
  }
}

}  // namespace carawayrelay
