#include "process/batch/batch_dispatcher.h"

#include <algorithm>
#include <utility>

#include "process/batch/batch_route.h"

namespace carawayrelay {
namespace {

// Batch attempts have the highest bit of the id set, so that their ids differ
// from those of online attempts.
constexpr std::uint64_t kAttemptIdBase = std::uint64_t{1} << 63;
constexpr std::chrono::seconds kDeadlineCheckInterval{1};

constexpr int kRequestTimeoutStatus = 408;
constexpr int kConflictStatus = 409;
constexpr int kTooEarlyStatus = 425;
constexpr int kTooManyRequestsStatus = 429;

// Returns true for an HTTP status that a further attempt would not change.
bool IsFinalHttpStatus(int status) {
  return status >= 200 && status < 500 && status != kRequestTimeoutStatus &&
         status != kConflictStatus && status != kTooEarlyStatus &&
         status != kTooManyRequestsStatus;
}

ItemAttemptEnd ClassifyRefusal(const Refusal& refusal) {
  if (refusal.run_state == RunState::kNotRun) {
    return ItemAttemptEnd::kNotRun;
  }
  switch (refusal.code) {
    case RefusalCode::kCancelled:
      return ItemAttemptEnd::kPreempted;
    case RefusalCode::kConnectionLost:
      return ItemAttemptEnd::kConnectionLost;
    default:
      return ItemAttemptEnd::kBackendFailed;
  }
}

}  // namespace

std::vector<BatchAction> BatchDispatcher::Handle(BatchEvent event,
                                                 TimePoint now) {
  std::visit([&](auto& e) { On(e, now); }, event);
  EmitDueActions(now);
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
                            // The last report of free slots was out of date.
                            connection.free_slots = 0;
                          }
                          if (OwnsAttempt(event.connection, refused.attempt)) {
                            OnRefused(refused, now);
                          }
                        },
                        [&](const BatchCapacity& capacity) {
                          connection.free_slots = capacity.items;
                        },
                        [&](const Status& status) {
                          if (status.leaving || status.zone_out) {
                            connection.free_slots = 0;
                          }
                        },
                        [](const auto& other) {}},
             event.message);
}

void BatchDispatcher::On(LinkDown& event, TimePoint now) {
  connections_.erase(event.connection);
  std::vector<AttemptId> lost_attempts;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.connection == event.connection) {
      lost_attempts.push_back(id);
    }
  }
  for (const AttemptId id : lost_attempts) {
    held_chunks_.RequeueItem(ExtractAttempt(id).item,
                             ItemAttemptEnd::kConnectionLost, event.reason,
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
  // A claim for an earlier session is dropped: that session is lost, so other
  // entries may claim the chunk.
  if (event.session == session_ && !held_chunks_.Contains(event.id)) {
    held_chunks_.Add(std::move(event.chunk).value(), now);
  }
}

void BatchDispatcher::On(ChunkCommitted& event, TimePoint now) {
  if (!held_chunks_.Contains(event.id) ||
      held_chunks_.Lease(event.id).record.fence != event.fence) {
    return;
  }
  CommitState& commit = commits_[event.id];
  commit.in_flight = false;
  if (!event.status) {
    const ErrorCode code = event.status.error().code;
    if (code == ErrorCode::kNotFound || code == ErrorCode::kConflict) {
      DropChunk(event.id);
    } else {
      commit.next_commit = now + options_.commit_retry_delay;
    }
    return;
  }
  switch (event.status.value()) {
    case CommitStatus::kCommitted:
      jobs_.OnCommitted(event.id.job, now);
      DropChunk(event.id);
      return;
    case CommitStatus::kChunkLost:
      DropChunk(event.id);
      return;
    case CommitStatus::kJobEnded:
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

void BatchDispatcher::On(LocalJobCreated& event, TimePoint now) {
  jobs_.Add(event.job);
}

void BatchDispatcher::On(LocalJobCancelled& event, TimePoint now) {
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
  Attempt attempt = ExtractAttempt(end.attempt);
  if (attempt.has_gap || attempt.next_part != end.parts) {
    held_chunks_.RequeueItem(attempt.item, ItemAttemptEnd::kBackendFailed,
                             "the response has gaps", now);
  } else if (IsFinalHttpStatus(end.http_status)) {
    held_chunks_.FinishItem(
        attempt.item, ItemResponse{end.http_status, std::move(attempt.body)},
        now);
  } else {
    held_chunks_.RequeueItem(attempt.item, ItemAttemptEnd::kBackendFailed,
                             "status " + std::to_string(end.http_status), now);
  }
}

void BatchDispatcher::OnRefused(const Refused& refused, TimePoint now) {
  const Attempt attempt = ExtractAttempt(refused.attempt);
  const Refusal& refusal = refused.refusal;
  switch (refusal.code) {
    case RefusalCode::kFenced:
      // Another entry has claimed the chunk under a higher fence.
      held_chunks_.RequeueItem(attempt.item, ItemAttemptEnd::kNotRun,
                               refusal.reason, now);
      DropChunk(attempt.item.chunk);
      return;
    case RefusalCode::kInvalidRequest:
    case RefusalCode::kTooLarge:
    case RefusalCode::kHeadersTooLarge:
      held_chunks_.FinishItem(
          attempt.item, ItemError{ToString(refusal.code), refusal.reason}, now);
      return;
    default:
      held_chunks_.RequeueItem(
          attempt.item, ClassifyRefusal(refusal),
          std::string(ToString(refusal.code)) + ": " + refusal.reason, now);
  }
}

void BatchDispatcher::EmitDueActions(TimePoint now) {
  if (now >= next_deadline_check_) {
    next_deadline_check_ = now + kDeadlineCheckInterval;
    std::vector<AttemptId> late_attempts;
    for (const auto& [id, attempt] : attempts_) {
      if (now >= attempt.deadline) {
        late_attempts.push_back(id);
      }
    }
    for (const AttemptId id : late_attempts) {
      const Attempt attempt = ExtractAttempt(id);
      actions_.emplace_back(SendToAgent{attempt.connection, Cancel{id}});
      held_chunks_.RequeueItem(attempt.item, ItemAttemptEnd::kBackendFailed,
                               "the attempt took too long", now);
    }
  }
  if (stopping_) {
    ReleaseChunks();
  }
  // The lease may have expired while this process was paused, and another entry
  // may own the chunks by now.
  if (now < held_until_) {
    if (!stopping_) {
      SubmitItems(now);
      ReleaseUnservedChunk(now);
      FindChunksToClaim(now);
    }
    CommitChunks(now);
  } else if (stopping_) {
    DropAll();
  }
  if (stopping_ && !stop_reported_ && held_chunks_.size() == 0 &&
      claims_.empty() && releases_.empty()) {
    stop_reported_ = true;
    actions_.emplace_back(BatchStopFinished{});
  }
}

void BatchDispatcher::SubmitItems(TimePoint now) {
  if (!config_) {
    return;
  }
  // Submitting one item to each connection in turn spreads the load over the
  // backend servers.
  bool has_submitted = true;
  while (has_submitted) {
    has_submitted = false;
    for (auto& [id, connection] : connections_) {
      if (connection.free_slots > 0 && IsUsable(connection)) {
        has_submitted = SubmitItem(id, connection, now) || has_submitted;
      }
    }
  }
}

bool BatchDispatcher::SubmitItem(ConnectionId id,
                                 Connection& connection,
                                 TimePoint now) {
  while (true) {
    const std::optional<ItemRef> ref = held_chunks_.TakeItem(
        connection.routes,
        [this](const std::string& workspace) { return WeightOf(workspace); },
        now);
    if (!ref) {
      return false;
    }
    const BatchItem& item = held_chunks_.Item(*ref);
    const ChunkLease& lease = held_chunks_.Lease(ref->chunk);
    std::optional<ItemError> error =
        CheckBatchRoute(*config_, lease.workspace, item.model);
    if (error) {
      held_chunks_.FinishItem(*ref, *std::move(error), now);
      continue;
    }
    const AttemptId attempt{kAttemptIdBase + ++next_attempt_};
    attempts_.emplace(attempt,
                      Attempt{.connection = id,
                              .item = *ref,
                              .deadline = now + options_.attempt_timeout});
    --connection.free_slots;
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
  for (const ChunkId& id : held_chunks_.Ids()) {
    if (!held_chunks_.IsComplete(id)) {
      continue;
    }
    CommitState& commit = commits_[id];
    if (!commit.in_flight && now >= commit.next_commit) {
      commit.in_flight = true;
      Request(
          CommitJobChunk{held_chunks_.Lease(id), held_chunks_.BuildResult(id)});
    }
  }
}

void BatchDispatcher::DropChunk(const ChunkId& id) {
  CancelAttempts(id);
  commits_.erase(id);
  held_chunks_.Remove(id);
}

void BatchDispatcher::DropJob(const std::string& job) {
  for (const std::uint64_t number : held_chunks_.ChunkNumbersOfJob(job)) {
    DropChunk({job, number});
  }
}

void BatchDispatcher::DropAll() {
  for (const ChunkId& id : held_chunks_.Ids()) {
    DropChunk(id);
  }
}

bool BatchDispatcher::OwnsAttempt(ConnectionId connection, AttemptId id) const {
  const auto it = attempts_.find(id);
  return it != attempts_.end() && it->second.connection == connection;
}

BatchDispatcher::Attempt BatchDispatcher::ExtractAttempt(AttemptId id) {
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

bool BatchDispatcher::IsUsable(const Connection& connection) const {
  return config_ != nullptr && !config_->IsZoneOut(connection.zone);
}

double BatchDispatcher::WeightOf(const std::string& workspace) const {
  const WorkspaceConfig* found =
      config_ ? config_->FindWorkspace(workspace) : nullptr;
  return found == nullptr ? 1 : found->weight;
}

}  // namespace carawayrelay
