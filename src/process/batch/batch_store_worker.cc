#include "process/batch/batch_store_worker.h"

#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

template <class T>
const Error* ErrorOf(const Result<T>& result) {
  return result ? nullptr : &result.error();
}

}  // namespace

BatchStoreWorker::BatchStoreWorker(Options options,
                                   const StoreAccess& access,
                                   Sources sources,
                                   Deliver deliver)
    : options_(std::move(options)),
      sources_(std::move(sources)),
      chunks_(access, options_.lease.lease_time, sources_.clock),
      jobs_(access, JobStore::Options{}),
      lease_(MakeLease()),
      deliver_(std::move(deliver)) {}

SessionLease BatchStoreWorker::MakeLease() const {
  return {options_.node + ":" + sources_.random_id(), options_.lease};
}

void BatchStoreWorker::Renew() {
  const bool is_first = !lease_.has_started();
  const Result<void> renewed = chunks_.Renew(lease_);
  if (lease_.is_lost()) {
    LogWarning(LogEvent::kBatchSessionLost,
               "batch session {} lost: {}; starting a new one",
               lease_.session(), renewed.error().message);
    deliver_(SessionChanged{.session = lease_.session(), .is_lost = true});
    lease_ = MakeLease();
    return;
  }
  RecordOutcome("renew session", ErrorOf(renewed));
  if (!renewed) {
    return;
  }
  if (is_first) {
    LogInfo(LogEvent::kBatchSessionStarted, "batch session {} started",
            lease_.session());
  }
  deliver_(SessionChanged{.session = lease_.session(),
                          .held_until = lease_.held_until()});
}

void BatchStoreWorker::Perform(const BatchStoreRequest& request) {
  std::visit(
      Overloaded{
          [&](const ListActiveJobs& r) {
            ActiveJobsListed event{r.after,
                                   jobs_.ReadActiveJobs(r.after, r.limit)};
            RecordOutcome("list active jobs", ErrorOf(event.jobs));
            deliver_(std::move(event));
          },
          [&](const ScanJob& r) {
            JobScanned event{
                r.job, r.state_only
                           ? chunks_.Check(r.workspace, r.job)
                           : chunks_.Scan(r.workspace, r.job, r.session, r.held,
                                          sources_.wall_clock())};
            RecordOutcome("scan job", ErrorOf(event.scan));
            deliver_(std::move(event));
          },
          [&](const ClaimJobChunk& r) {
            ChunkClaimed event{
                {r.job, r.candidate.chunk},
                r.session,
                chunks_.Claim(r.workspace, r.job, r.candidate, r.session)};
            const Error* error = ErrorOf(event.chunk);
            const bool is_race =
                error != nullptr && error->code == ErrorCode::kConflict;
            RecordOutcome("claim chunk", is_race ? nullptr : error);
            deliver_(std::move(event));
          },
          [&](const CommitJobChunk& r) {
            ChunkCommitted event{r.lease.id, r.lease.record.fence,
                                 chunks_.Commit(r.lease, r.result)};
            RecordOutcome("commit chunk", ErrorOf(event.status));
            deliver_(std::move(event));
          },
          [&](const ReleaseJobChunk& r) {
            const Result<void> released = chunks_.Release(r.lease);
            RecordOutcome("release chunk", ErrorOf(released));
            deliver_(ChunkReleased{r.lease.id, r.lease.record.fence});
          },
      },
      request);
}

void BatchStoreWorker::RecordOutcome(const char* operation,
                                     const Error* error) {
  if (error != nullptr && !is_failing_) {
    LogWarning(LogEvent::kBatchStoreFailing,
               "batch store operation \"{}\" failed: {}: {}", operation,
               ToString(error->code), error->message);
  }
  is_failing_ = error != nullptr;
}

void BatchStoreWorker::EndSession() {
  if (lease_.has_started() && !lease_.is_lost()) {
    const Result<void> ended = chunks_.EndSession(lease_);
    RecordOutcome("end session", ErrorOf(ended));
  }
}

}  // namespace carawayrelay
