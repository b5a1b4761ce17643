#include "process/jobs/item_worker.h"

#include <algorithm>
#include <memory>

#include "platform/runner_codec.h"
#include "process/jobs/job_api.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Items that one write may claim.
constexpr int kMaxClaim = 3;
// A claim that lost against other workers is tried again once, then left to
// them.
constexpr int kMaxClaimTries = 2;
// Workers wait up to so long at random before they claim items of a job that
// has changed, so that they seldom write the same row.
constexpr milliseconds kClaimSpread{400};
// Jobs that are due first, of which one is picked at random so that workers
// seldom write the same row.
constexpr size_t kJobChoices = 3;
constexpr milliseconds kClaimBackoff{60};
constexpr milliseconds kSweepInterval{500};
// An item whose run failed is left to the other workers for so long: the fault
// may be that of the own backend server.
constexpr milliseconds kOthersFirst{3000};
// After a failed run nothing is claimed for this long, more after each in a
// row: a backend server that fails fast would use up the tries of many items.
constexpr milliseconds kFirstClaimPause{500};
constexpr int kMaxClaimPauseDoublings = 3;
// Runs beside each other while the backend server is cold.
constexpr int kColdRuns = 2;

}  // namespace

ItemWorker::ItemWorker(Options options,
                       JobTable& jobs,
                       JobWriter& writer,
                       StoreClient& store,
                       RunnerDirectory& runners,
                       OutboundCalls& calls,
                       const EventLoopClock& clock)
    : options_(std::move(options)),
      jobs_(jobs),
      writer_(writer),
      store_(store),
      runners_(runners),
      calls_(calls),
      clock_(clock),
      random_(options_.seed) {}

RunnerDirectory::Runner* ItemWorker::OwnRunner() {
  RunnerDirectory::Runner* runner =
      runners_.FindByAddress(options_.runner_address);
  return runner != nullptr && runners_.IsUsable(*runner) && !runner->gone_at
             ? runner
             : nullptr;
}

int ItemWorker::CountRunning() const {
  return static_cast<int>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& item) {
        return item.second.state == RunState::kRunning;
      }));
}

int ItemWorker::CountHeld() const {
  return static_cast<int>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& item) {
        return item.second.state == RunState::kLoading ||
               item.second.state == RunState::kPaused;
      }));
}

const ServingRoute* ItemWorker::RouteOf(const std::string& job) const {
  const JobTable::Entry* entry = jobs_.Find(job);
  return entry == nullptr || !config_
             ? nullptr
             : config_->FindRouteByName(entry->job.route);
}

void ItemWorker::Tick(TimePoint now) {
  DropMoot(now);
  Renew(now);
  if (is_stopping_) {
    return;
  }
  GiveUpExpired(now);
  if (OwnRunner() == nullptr) {
    for (auto& [key, run] : runs_) {
      if (run.state == RunState::kRunning || run.state == RunState::kPaused) {
        Return(key, run, "the backend server takes no work", now);
      }
    }
    return;
  }
  for (auto& [key, run] : runs_) {
    if (run.state == RunState::kRunning &&
        now - run.heard_at >= options_.silence_limit) {
      Pause(run, now);
    } else if (run.state == RunState::kPaused &&
               now - run.state_since >= options_.pause_limit) {
      Return(key, run, "no free slot", now);
    }
  }
  AskReport(now);
}

void ItemWorker::AskReport(TimePoint now) {
  if (is_asking_ || now < next_report_) {
    return;
  }
  const bool has_work = !runs_.empty() || ChooseJob(now).has_value();
  if (!has_work) {
    return;
  }
  is_asking_ = true;
  next_report_ = now + options_.report_interval;
  auto body = std::make_shared<std::string>();
  calls_.Start(platform::EncodeReportCall(options_.runner_address),
               [this, body](CallEvent& event) {
                 std::visit(Overloaded{
                                [](CallHead&) {},
                                [&](CallData& data) { *body += data.bytes; },
                                [&](CallEnd& end) {
                                  is_asking_ = false;
                                  const auto load =
                                      platform::DecodeReport(*body);
                                  if (end.is_whole && load) {
                                    OnReport(load.value(), clock_.now());
                                  }
                                },
                            },
                            event);
               });
}

void ItemWorker::OnReport(const RunnerLoad& load, TimePoint now) {
  RunnerDirectory::Runner* runner = OwnRunner();
  if (runner == nullptr || is_stopping_) {
    return;
  }
  const int online = load.running + load.waiting - CountRunning();
  int room = runner->entry.slots - load.running - load.waiting;
  if (online >= options_.reserve_from_online) {
    room -= options_.reserved_slots;
  }
  if (room < 0) {
    Yield(-room, now);
    return;
  }
  if (now < runner->cold_until) {
    room = std::min(room, kColdRuns - CountRunning());
  }
  if (room <= 0) {
    return;
  }
  StartPaused(room, now);
  const int wanted = room - CountHeld();
  if (wanted > 0) {
    Claim(std::min(wanted, kMaxClaim), now);
  }
}

// Stops the runs that began last; they have the least to read again.
void ItemWorker::Yield(int count, TimePoint now) {
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
    calls_.Cancel(run.out);
  }
  run.state = RunState::kPaused;
  run.state_since = now;
}

// Lists items that nobody has done in the time that their job is kept.
void ItemWorker::GiveUpExpired(TimePoint now) {
  if (now < next_sweep_ || !config_ || is_giving_up_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  std::erase_if(failed_here_, [&](const auto& item) {
    return now - item.second >= kOthersFirst;
  });
  std::erase_if(claim_times_, [&](const auto& item) {
    const JobTable::Entry* entry = jobs_.Find(item.first);
    return entry == nullptr || !entry->job.IsOpen();
  });
  const milliseconds store_now = store_.StoreTime(now);
  for (const auto& [id, entry] : jobs_.jobs()) {
    const ServingRoute* route = config_->FindRouteByName(entry.job.route);
    if (!entry.job.IsOpen() || route == nullptr ||
        route->bulk.keep.count() == 0 ||
        store_now < entry.job.accepted + route->bulk.keep) {
      continue;
    }
    is_giving_up_ = true;
    LoadSubmission(
        id, store_,
        [this, job = id](Result<std::vector<platform::SubmittedItem>> items) {
          is_giving_up_ = false;
          if (items) {
            GiveUpAll(job, items.value());
          }
        });
    return;
  }
}

void ItemWorker::GiveUpAll(const std::string& job,
                           const std::vector<platform::SubmittedItem>& items) {
  for (size_t i = 0; i < items.size(); ++i) {
    const JobTable::Entry* entry = jobs_.Find(job);
    if (entry != nullptr && i < entry->job.items.size() &&
        !entry->job.items[i].IsListed() && !runs_.contains({job, i})) {
      LogDecision(LogEvent::kItemFinished, "job", job, "item", i, "id",
                  items[i].id, "outcome", "kept for too long", "events", 0,
                  "failures", entry->job.items[i].failures);
      ++counters_.given_up;
      List({job, i}, {.item = items[i].id, .is_complete = false});
    }
  }
}

// Stops runs whose job has ended or whose item another worker has taken.
void ItemWorker::DropMoot(TimePoint now) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    Run& run = it->second;
    const JobTable::Entry* entry = jobs_.Find(it->first.first);
    const bool is_moot = entry == nullptr || entry->job.is_ended ||
                         entry->job.items[it->first.second].IsListed();
    const bool is_busy =
        run.state == RunState::kListing || run.state == RunState::kReturning;
    if (!is_moot || is_busy) {
      ++it;
      continue;
    }
    Pause(run, now);
    LogDecision(LogEvent::kItemDropped, "job", it->first.first, "item",
                it->first.second, "reason",
                "the job has ended or the item is listed");
    it = runs_.erase(it);
  }
}

bool ItemWorker::IsClaimable(const std::string& job,
                             size_t index,
                             const JobItemState& item,
                             milliseconds store_now) const {
  const ItemKey key{job, index};
  if (item.IsListed() || runs_.contains(key) || failed_here_.contains(key)) {
    return false;
  }
  return item.state == ItemState::kWaiting || item.owner == options_.node ||
         item.lease_end <= store_now;
}

bool ItemWorker::IsClaimTime(const std::string& job,
                             std::uint64_t version,
                             TimePoint now) {
  ClaimTime& time = claim_times_[job];
  if (time.version != version) {
    std::uniform_int_distribution<std::int64_t> delay(0, kClaimSpread.count());
    time = {.version = version, .at = now + milliseconds(delay(random_))};
  }
  return now >= time.at;
}

bool ItemWorker::HasOpenJob() const {
  return std::any_of(jobs_.jobs().begin(), jobs_.jobs().end(),
                     [](const auto& item) { return item.second.job.IsOpen(); });
}

std::optional<std::string> ItemWorker::ChooseJob(TimePoint now) {
  const RunnerDirectory::Runner* runner = OwnRunner();
  if (runner == nullptr || !config_) {
    return std::nullopt;
  }
  const milliseconds store_now = store_.StoreTime(now);
  struct Choice {
    bool is_late;  // its results will hardly be in time
    milliseconds due;
    std::string job;

    auto operator<=>(const Choice&) const = default;
  };
  std::vector<Choice> found;
  for (const auto& [id, entry] : jobs_.jobs()) {
    if (!entry.job.IsOpen()) {
      continue;
    }
    const ServingRoute* route = config_->FindRouteByName(entry.job.route);
    if (route == nullptr ||
        std::none_of(route->services.begin(), route->services.end(),
                     [&](const WeightedService& s) {
                       return s.service == runner->entry.service;
                     })) {
      continue;
    }
    if (!IsClaimTime(id, entry.version, now)) {
      continue;
    }
    for (size_t i = 0; i < entry.job.items.size(); ++i) {
      if (IsClaimable(id, i, entry.job.items[i], store_now)) {
        const milliseconds due = entry.job.accepted + route->bulk.run_goal;
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
  const auto in_time = static_cast<size_t>(
      std::count_if(found.begin(), found.end(),
                    [](const Choice& choice) { return !choice.is_late; }));
  const size_t choices = in_time > 0 ? in_time : found.size();
  std::uniform_int_distribution<size_t> pick(
      0, std::min(choices, kJobChoices) - 1);
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
      return JobWriter::Outcome::kMoot;
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
    return claimed->empty() ? JobWriter::Outcome::kMoot
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
    run.lease_end = store_.StoreTime(now) + options_.lease;
    bool has_partial = false;
    if (entry != nullptr) {
      run.failures = entry->job.items[index].failures;
      has_partial = entry->job.items[index].has_partial;
    }
    LogDecision(LogEvent::kItemClaimed, "job", job, "item", index,
                "has_partial", has_partial);
    Load({job, index});
  }
}

// Reads what the run needs: the request and the text so far.
void ItemWorker::Load(const ItemKey& key) {
  LoadSubmission(
      key.first, store_,
      [this, key](Result<std::vector<platform::SubmittedItem>> items) {
        const auto it = runs_.find(key);
        if (it == runs_.end() || it->second.state != RunState::kLoading) {
          return;
        }
        const TimePoint now = clock_.now();
        if (!items || key.second >= items.value().size()) {
          Return(
              key, it->second,
              items ? "the submission lacks the item" : items.error().message,
              now);
          return;
        }
        it->second.item = std::move(items.value()[key.second]);
        it->second.has_item = true;
        const JobTable::Entry* entry = jobs_.Find(key.first);
        if (entry == nullptr || !entry->job.items[key.second].has_partial) {
          Pause(it->second, now);
          return;
        }
        const RowKey row = job_rows::Partial(key.first, key.second);
        store_.Send(
            RowsRead{.table = row.table,
                     .part = row.part,
                     .from = row.key,
                     .to = row.key + '\0'},
            [this, key](StoreReply reply) {
              const auto found = runs_.find(key);
              if (found == runs_.end() ||
                  found->second.state != RunState::kLoading) {
                return;
              }
              if (!reply.rows.empty()) {
                if (auto partial = DecodePartialRun(reply.rows[0].value)) {
                  found->second.progress = std::move(partial).value();
                }
              }
              // Without its text the item runs from the start.
              Pause(found->second, clock_.now());
            });
      });
}

void ItemWorker::NoteRunFailed(const ItemKey& key, TimePoint now) {
  failed_here_[key] = now;
  next_claim_ =
      now + kFirstClaimPause *
                (1 << std::min(failures_in_a_row_, kMaxClaimPauseDoublings));
  ++failures_in_a_row_;
}

void ItemWorker::Stop(TimePoint now) {
  is_stopping_ = true;
  for (auto it = runs_.begin(); it != runs_.end();) {
    auto& [key, run] = *it++;
    if (run.state != RunState::kListing && run.state != RunState::kReturning) {
      Return(key, run, "the worker stops", now);
    }
  }
}

}  // namespace carawayrelay
