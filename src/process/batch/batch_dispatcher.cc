#include "process/batch/batch_dispatcher.h"

#include <algorithm>
#include <utility>

#include "process/batch/batch_route.h"

namespace carawayrelay {
namespace {

// Keeps the ids of batch attempts apart from those of online attempts.
constexpr std::uint64_t kAttemptIdBase = std::uint64_t{1} << 63;
constexpr std::chrono::seconds kDeadlineCheckInterval{1};

constexpr int kRequestTimeout = 408;
constexpr int kConflictStatus = 409;
constexpr int kTooEarly = 425;
constexpr int kTooManyRequests = 429;

// True for a status that another try cannot change.
bool IsFinalStatus(int status) {
  return status >= 200 && status < 500 && status != kRequestTimeout &&
         status != kConflictStatus && status != kTooEarly &&
         status != kTooManyRequests;
}

TryEnd ClassifyRefusal(const Refusal& refusal) {
  if (refusal.run_state == RunState::kNotRun) {
    return TryEnd::kNotRun;
  }
  switch (refusal.code) {
    case RefusalCode::kCancelled:
      return TryEnd::kPreempted;
    case RefusalCode::kConnectionLost:
      return TryEnd::kConnectionLost;
    default:
      return TryEnd::kBackendFailed;
  }
}

}  // namespace

std::vector<BatchAction> BatchDispatcher::Handle(BatchEvent event,
                                                 TimePoint now) {
  std::visit([&](auto& e) { On(e, now); }, event);
  Advance(now);
  return std::exchange(actions_, {});
}

void BatchDispatcher::On(LinkUp& event, TimePoint now) {
  connections_[event.connection] = {
      .zone = std::move(event.peer.zone),
      .routes = {event.peer.routes.begin(), event.peer.routes.end()}};
}

void BatchDispatcher::On(LinkMessage& event, TimePoint now) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) {
    return;
  }
  Connection& connection = it->second;
  std::visit(Overloaded{[&](Part& part) {
                          if (OwnsAttempt(event.connection, part.attempt)) {
                            OnPart(part);
                          }
                        },
                        [&](const End& end) {
                          if (OwnsAttempt(event.connection, end.attempt)) {
                            OnEnd(end, now);
                          }
                        },
                        [&](const Refused& refused) {
                          if (refused.refusal.run_state == RunState::kNotRun) {
                            // The count of room was out of date.
                            connection.room = 0;
                          }
                          if (OwnsAttempt(event.connection, refused.attempt)) {
                            OnRefused(refused, now);
                          }
                        },
                        [&](const BatchCapacity& room) {
                          connection.room = room.items;
                        },
                        [&](const Status& status) {
                          if (status.leaving || status.zone_out) {
                            connection.room = 0;
                          }
                        },
                        [](const auto& other) {}},
             event.message);
}

void BatchDispatcher::On(LinkDown& event, TimePoint now) {
  connections_.erase(event.connection);
  std::vector<AttemptId> lost;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.connection == event.connection) {
      lost.push_back(id);
    }
  }
  for (const AttemptId id : lost) {
    book_.Requeue(TakeAttempt(id).item, TryEnd::kConnectionLost, event.reason,
                  now);
  }
}

void BatchDispatcher::On(BatchConfigChanged& event, TimePoint now) {
  config_ = std::move(event.config);
}

void BatchDispatcher::On(SessionChanged& event, TimePoint now) {
  if (event.is_lost || event.session != session_) {
    DropAll();
    jobs_.ForgetCandidates();
  }
  session_ = event.is_lost ? std::string() : event.session;
  held_until_ = event.is_lost ? TimePoint{} : event.held_until;
}

void BatchDispatcher::On(ActiveJobsListed& event, TimePoint now) {
  jobs_.OnListed(event, now);
}

void BatchDispatcher::On(JobScanned& event, TimePoint now) {
  if (!jobs_.OnScanned(event, now)) {
    DropJob(event.job);
  }
}

void BatchDispatcher::On(ChunkClaimed& event, TimePoint now) {
  claims_.erase(event.id);
  if (!event.chunk) {
    jobs_.OnClaimFailed(event.id.job, event.chunk.error().code, now);
    return;
  }
  // A claim of an earlier session is void, as its session is lost.
  if (event.session == session_ && !book_.Contains(event.id)) {
    book_.Add(std::move(event.chunk).value(), now);
  }
}

void BatchDispatcher::On(ChunkCommitted& event, TimePoint now) {
  if (!book_.Contains(event.id) ||
      book_.Lease(event.id).record.fence != event.fence) {
    return;
  }
  CommitState& commit = commits_[event.id];
  commit.in_flight = false;
  if (!event.verdict) {
    const ErrorCode code = event.verdict.error().code;
    if (code == ErrorCode::kNotFound || code == ErrorCode::kConflict) {
      DropChunk(event.id);
    } else {
      commit.next_try = now + options_.commit_retry_delay;
    }
    return;
  }
  switch (event.verdict.value()) {
    case CommitVerdict::kCommitted:
      jobs_.OnCommitted(event.id.job, now);
      DropChunk(event.id);
      return;
    case CommitVerdict::kChunkLost:
      DropChunk(event.id);
      return;
    case CommitVerdict::kJobEnded:
      jobs_.Remove(event.id.job);
      DropJob(event.id.job);
      return;
  }
}

void BatchDispatcher::On(ChunkReleased& event, TimePoint now) {
  const auto it = releases_.find(event.id);
  if (it != releases_.end() && it->second == event.fence) {
    releases_.erase(it);
  }
}

void BatchDispatcher::On(JobCreatedHere& event, TimePoint now) {
  jobs_.Add(event.job);
}

void BatchDispatcher::On(JobCancelledHere& event, TimePoint now) {
  jobs_.Remove(event.job);
  DropJob(event.job);
}

void BatchDispatcher::On(Tick& event, TimePoint now) {}

void BatchDispatcher::On(StopRequested& event, TimePoint now) {
  stopping_ = true;
}

void BatchDispatcher::OnPart(Part& part) {
  Attempt& attempt = attempts_.at(part.attempt);
  attempt.has_gap = attempt.has_gap || part.sequence != attempt.next_part;
  ++attempt.next_part;
  attempt.body += part.data;
}

void BatchDispatcher::OnEnd(const End& end, TimePoint now) {
  Attempt attempt = TakeAttempt(end.attempt);
  if (attempt.has_gap || attempt.next_part != end.parts) {
    book_.Requeue(attempt.item, TryEnd::kBackendFailed, "the response has gaps",
                  now);
  } else if (IsFinalStatus(end.http_status)) {
    book_.Finish(attempt.item,
                 ItemResponse{end.http_status, std::move(attempt.body)}, now);
  } else {
    book_.Requeue(attempt.item, TryEnd::kBackendFailed,
                  "status " + std::to_string(end.http_status), now);
  }
}

void BatchDispatcher::OnRefused(const Refused& refused, TimePoint now) {
  const Attempt attempt = TakeAttempt(refused.attempt);
  const Refusal& refusal = refused.refusal;
  switch (refusal.code) {
    case RefusalCode::kFenced:
      // The chunk has a newer owner.
      book_.Requeue(attempt.item, TryEnd::kNotRun, refusal.reason, now);
      DropChunk(attempt.item.chunk);
      return;
    case RefusalCode::kInvalidRequest:
    case RefusalCode::kTooLarge:
    case RefusalCode::kHeadersTooLarge:
      book_.Finish(attempt.item,
                   ItemError{ToString(refusal.code), refusal.reason}, now);
      return;
    default:
      book_.Requeue(attempt.item, ClassifyRefusal(refusal),
                    std::string(ToString(refusal.code)) + ": " + refusal.reason,
                    now);
  }
}

void BatchDispatcher::Advance(TimePoint now) {
  if (now >= next_deadline_check_) {
    next_deadline_check_ = now + kDeadlineCheckInterval;
    std::vector<AttemptId> late;
    for (const auto& [id, attempt] : attempts_) {
      if (now >= attempt.deadline) {
        late.push_back(id);
      }
    }
    for (const AttemptId id : late) {
      const Attempt attempt = TakeAttempt(id);
      actions_.emplace_back(SendToAgent{attempt.connection, Cancel{id}});
      book_.Requeue(attempt.item, TryEnd::kBackendFailed,
                    "the attempt took too long", now);
    }
  }
  if (stopping_) {
    ReleaseChunks();
  }
  // After a pause of this process the lease may have expired, and another entry
  // may own the chunks.
  if (now < held_until_) {
    if (!stopping_) {
      OfferItems(now);
      FindWork(now);
    }
    CommitChunks(now);
  } else if (stopping_) {
    DropAll();
  }
  if (stopping_ && !stop_reported_ && book_.size() == 0 && claims_.empty() &&
      releases_.empty()) {
    stop_reported_ = true;
    actions_.emplace_back(BatchStopFinished{});
  }
}

void BatchDispatcher::OfferItems(TimePoint now) {
  if (!config_) {
    return;
  }
  // One item for each connection in turn spreads the work over the backends.
  bool has_offered = true;
  while (has_offered) {
    has_offered = false;
    for (auto& [id, connection] : connections_) {
      if (connection.room > 0 && IsUsable(connection)) {
        has_offered = OfferItem(id, connection, now) || has_offered;
      }
    }
  }
}

bool BatchDispatcher::OfferItem(ConnectionId id,
                                Connection& connection,
                                TimePoint now) {
  while (true) {
    const std::optional<ItemRef> ref = book_.Take(
        connection.routes,
        [this](const std::string& workspace) { return WeightOf(workspace); },
        now);
    if (!ref) {
      return false;
    }
    const BatchItem& item = book_.Item(*ref);
    const ChunkLease& lease = book_.Lease(ref->chunk);
    std::optional<ItemError> error =
        CheckBatchRoute(*config_, lease.workspace, item.model);
    if (error) {
      book_.Finish(*ref, *std::move(error), now);
      continue;
    }
    const AttemptId attempt{kAttemptIdBase + ++next_attempt_};
    attempts_.emplace(attempt,
                      Attempt{.connection = id,
                              .item = *ref,
                              .deadline = now + options_.attempt_timeout});
    --connection.room;
    actions_.emplace_back(SendToAgent{
        id, Submit{.attempt = attempt,
                   .workspace = lease.workspace,
                   .route = item.model,
                   .method = "POST",
                   .path = std::string(kBatchUrl),
                   .body = item.body,
                   .stream = false,
                   .repeatable = true,
                   .config_version = config_->version(),
                   .chunk = ChunkRef{.job = lease.id.job,
                                     .chunk = lease.id.number,
                                     .fence = lease.record.fence}}});
    return true;
  }
}

void BatchDispatcher::CommitChunks(TimePoint now) {
  for (const ChunkId& id : book_.Ids()) {
    if (!book_.IsComplete(id)) {
      continue;
    }
    CommitState& commit = commits_[id];
    if (!commit.in_flight && now >= commit.next_try) {
      commit.in_flight = true;
      Request(CommitJobChunk{book_.Lease(id), book_.BuildResult(id)});
    }
  }
}

void BatchDispatcher::FindWork(TimePoint now) {
  if (const std::optional<ListActiveJobs> list = jobs_.NextList(now)) {
    Request(*list);
  }
  std::map<std::string, std::set<std::uint64_t>> busy;  // chunks by job
  std::map<std::string, double> busy_of_workspace;
  std::set<std::string> held_jobs;
  for (const ChunkId& id : book_.Ids()) {
    const std::string& workspace = book_.Lease(id).workspace;
    busy[id.job].insert(id.number);
    busy_of_workspace[workspace] += 1 / WeightOf(workspace);
    held_jobs.insert(id.job);
  }
  for (const ChunkId& id : claims_) {
    busy[id.job].insert(id.number);
  }
  const auto request_scan = [&](const std::string& job,
                                const std::string& workspace, bool state_only) {
    Request(ScanJob{workspace, job, session_, busy[job], state_only});
  };
  if (const auto due = jobs_.NextCheck(held_jobs, now)) {
    request_scan(due->job, due->workspace, due->state_only);
  }
  const std::set<std::string> routes = RoutesWithRoom();
  if (routes.empty()) {
    return;
  }
  while (claims_.size() < options_.max_claims &&
         book_.size() + claims_.size() < options_.max_chunks) {
    const auto load_of =
        [&](const std::string& job,
            const std::string& workspace) -> std::optional<ActiveJobs::Load> {
      const size_t of_job = busy[job].size();
      if (of_job >= options_.max_chunks_per_job) {
        return std::nullopt;
      }
      return ActiveJobs::Load{of_job, busy_of_workspace[workspace]};
    };
    std::optional<ActiveJobs::Work> work = jobs_.NextWork(routes, load_of, now);
    if (!work) {
      return;
    }
    if (!work->candidate) {
      request_scan(work->job, work->workspace, false);
      continue;
    }
    const ChunkId id{work->job, work->candidate->chunk};
    if (book_.Contains(id) || !claims_.insert(id).second) {
      continue;
    }
    busy[id.job].insert(id.number);
    busy_of_workspace[work->workspace] += 1 / WeightOf(work->workspace);
    Request(ClaimJobChunk{work->workspace, work->job, session_,
                          *std::move(work->candidate)});
  }
  if (book_.size() + claims_.size() >= options_.max_chunks) {
    // Chunks whose models no agent can run now must not keep out others.
    if (const auto idle = book_.FindIdle(now - options_.idle_release_time)) {
      jobs_.Postpone(idle->job, now + options_.idle_job_delay);
      ReleaseChunk(*idle);
    }
  }
}

void BatchDispatcher::ReleaseChunks() {
  for (const ChunkId& id : book_.Ids()) {
    if (!book_.IsComplete(id)) {
      ReleaseChunk(id);
    }
  }
}

void BatchDispatcher::ReleaseChunk(const ChunkId& id) {
  const ChunkLease lease = book_.Lease(id);
  DropChunk(id);
  releases_[id] = lease.record.fence;
  Request(ReleaseJobChunk{lease});
}

void BatchDispatcher::DropChunk(const ChunkId& id) {
  CancelAttempts(id);
  commits_.erase(id);
  book_.Remove(id);
}

void BatchDispatcher::DropJob(const std::string& job) {
  for (const std::uint64_t number : book_.HeldOf(job)) {
    DropChunk({job, number});
  }
}

void BatchDispatcher::DropAll() {
  for (const ChunkId& id : book_.Ids()) {
    DropChunk(id);
  }
}

bool BatchDispatcher::OwnsAttempt(ConnectionId connection, AttemptId id) const {
  const auto it = attempts_.find(id);
  return it != attempts_.end() && it->second.connection == connection;
}

BatchDispatcher::Attempt BatchDispatcher::TakeAttempt(AttemptId id) {
  return std::move(attempts_.extract(id).mapped());
}

void BatchDispatcher::CancelAttempts(const ChunkId& chunk) {
  std::erase_if(attempts_, [&](const auto& entry) {
    const bool is_of_chunk = entry.second.item.chunk == chunk;
    if (is_of_chunk) {
      actions_.emplace_back(
          SendToAgent{entry.second.connection, Cancel{entry.first}});
    }
    return is_of_chunk;
  });
}

std::set<std::string> BatchDispatcher::RoutesWithRoom() const {
  std::set<std::string> routes;
  for (const auto& [id, connection] : connections_) {
    if (connection.room > 0 && IsUsable(connection)) {
      routes.insert(connection.routes.begin(), connection.routes.end());
    }
  }
  return routes;
}

bool BatchDispatcher::IsUsable(const Connection& connection) const {
  return config_ != nullptr && !config_->IsZoneOut(connection.zone);
}

double BatchDispatcher::WeightOf(const std::string& workspace) const {
  const WorkspaceConfig* found =
      config_ ? config_->FindWorkspace(workspace) : nullptr;
  return found == nullptr ? 1 : found->weight;
}

}  // namespace carawayrelay
