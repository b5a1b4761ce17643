#include "process/serving/serving_core.h"

#include <utility>

#include "platform/desired_state.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWatchWait{1000};
constexpr milliseconds kRunnersInterval{500};

}  // namespace

Result<std::unique_ptr<ServingCore>> ServingCore::Make(
    const Options& options,
    OperatorWatch::OnChange on_change) {
  std::unique_ptr<ServingCore> core(
      new ServingCore(options, std::move(on_change)));
  BOOST_OUTCOME_TRY(
      core->caller_, HttpCaller::Make({}, [raw = core.get()](CallEvent event) {
        std::visit(
            [raw](auto& e) { raw->events_.Push(ServingEvent(std::move(e))); },
            event);
      }));
  return core;
}

ServingCore::ServingCore(const Options& options,
                         OperatorWatch::OnChange on_change)
    : events_(kEventCapacity),
      calls_(
          [this](OutboundCall call) { return caller_->Start(std::move(call)); },
          [this](OutboundId id) { caller_->Cancel(id); }),
      store_(options.store_address, calls_, clock_),
      runners_(options.seed),
      writer_(jobs_, store_.port(), clock_),
      operators_(store_.port(),
                 clock_,
                 kWatchWait,
                 [this, on_change = std::move(on_change)](TimePoint now) {
                   runners_.SetEvacuated(operators_.evacuated());
                   on_change(now);
                 }),
      runner_watch_({.table = platform::kRunnersTable,
                     .wait = kWatchWait,
                     .min_interval = kRunnersInterval},
                    store_.port(),
                    clock_,
                    [this](const std::vector<StoredRow>& rows,
                           bool is_full,
                           TimePoint now) {
                      runners_.Apply(rows, is_full, runner_watch_.regained_at(),
                                     now);
                    }),
      job_watch_(
          {.table = job_rows::kStates,
           .parts = job_rows::Parts(),
           .wait = kWatchWait,
           .min_interval = options.jobs_interval},
          store_.port(),
          clock_,
          [this](const std::vector<StoredRow>& rows, bool is_full, TimePoint) {
            jobs_.Apply(rows, is_full);
          }) {}

bool ServingCore::AreJobsCurrent(milliseconds age, TimePoint now) const {
  return job_watch_.proven_at() && now - *job_watch_.proven_at() <= age;
}

void ServingCore::Deliver(CallEvent event) {
  calls_.Deliver(event);
}

void ServingCore::Tick(TimePoint now) {
  calls_.RunFailed();
  operators_.Tick(now);
  runner_watch_.Tick(now);
  runners_.Tick(now);
  job_watch_.Tick(now);
  writer_.Tick(now);
}

void ServingCore::Stop() {
  events_.Close();
  if (caller_) {
    caller_->Stop();
  }
}

}  // namespace carawayrelay
