#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "process/batch/batch_dispatcher.h"

namespace carawayrelay {

void BatchDispatcher::FindChunksToClaim(TimePoint now) {
  if (const std::optional<ListActiveJobs> list = jobs_.NextListRequest(now)) {
    Request(*list);
  }
  // Numbers of the chunks that are held or being claimed, by job.
  std::map<std::string, std::set<std::uint64_t>> chunks_of_job;
  std::map<std::string, double> load_of_workspace;
  std::set<std::string> held_jobs;
  for (const ChunkId& id : held_chunks_.Ids()) {
    const std::string& workspace = held_chunks_.Lease(id).workspace;
    chunks_of_job[id.job].insert(id.number);
    load_of_workspace[workspace] += 1 / WeightOf(workspace);
    held_jobs.insert(id.job);
  }
  for (const ChunkId& id : claims_) {
    chunks_of_job[id.job].insert(id.number);
  }
  const auto request_scan = [&](const std::string& job,
                                const std::string& workspace, bool state_only) {
    Request(ScanJob{workspace, job, session_, chunks_of_job[job], state_only});
  };
  if (const auto due = jobs_.NextDueCheck(held_jobs, now)) {
    request_scan(due->job, due->workspace, due->state_only);
  }
  const std::set<std::string> routes = ServedRoutes(/*free_slots=*/1);
  if (routes.empty()) {
    return;
  }
  while (claims_.size() < options_.max_claims &&
         held_chunks_.size() + claims_.size() < options_.max_chunks) {
    const auto load_of =
        [&](const std::string& job,
            const std::string& workspace) -> std::optional<ActiveJobs::Load> {
      const size_t of_job = chunks_of_job[job].size();
      if (of_job >= options_.max_chunks_per_job) {
        return std::nullopt;
      }
      return ActiveJobs::Load{of_job, load_of_workspace[workspace]};
    };
    std::optional<ActiveJobs::ClaimOrScan> next =
        jobs_.NextClaimOrScan(routes, load_of, now);
    if (!next) {
      return;
    }
    if (!next->candidate) {
      request_scan(next->job, next->workspace, false);
      continue;
    }
    const ChunkId id{next->job, next->candidate->chunk};
    if (held_chunks_.Contains(id) || !claims_.insert(id).second) {
      continue;
    }
    chunks_of_job[id.job].insert(id.number);
    load_of_workspace[next->workspace] += 1 / WeightOf(next->workspace);
    Request(ClaimJobChunk{next->workspace, next->job, session_,
                          *std::move(next->candidate)});
  }
  if (held_chunks_.size() + claims_.size() >= options_.max_chunks) {
    // Chunks whose models no agent can run now must not use up `max_chunks`.
    const TimePoint limit = now - options_.idle_release_delay;
    if (const auto idle = held_chunks_.FindIdleChunk(limit)) {
      jobs_.Postpone(idle->job, now + options_.idle_job_delay);
      ReleaseChunk(*idle);
    }
  }
}

void BatchDispatcher::ReleaseUnservedChunk(TimePoint now) {
  held_chunks_.NoteServedRoutes(ServedRoutes(/*free_slots=*/0), now);
  const TimePoint limit = now - options_.idle_release_delay;
  if (const auto unserved = held_chunks_.FindUnservedChunk(limit)) {
    ReleaseChunk(*unserved);
  }
}

void BatchDispatcher::ReleaseChunks() {
  for (const ChunkId& id : held_chunks_.Ids()) {
    if (!held_chunks_.IsComplete(id)) {
      ReleaseChunk(id);
    }
  }
}

void BatchDispatcher::ReleaseChunk(const ChunkId& id) {
  const ChunkLease lease = held_chunks_.Lease(id);
  DropChunk(id);
  releases_[id] = lease.record.fence;
  Request(ReleaseJobChunk{lease});
}

std::set<std::string> BatchDispatcher::ServedRoutes(int free_slots) const {
  std::set<std::string> routes;
  for (const auto& [id, connection] : connections_) {
    if (connection.free_slots >= free_slots && IsUsable(connection)) {
      routes.insert(connection.routes.begin(), connection.routes.end());
    }
  }
  return routes;
}

}  // namespace carawayrelay
