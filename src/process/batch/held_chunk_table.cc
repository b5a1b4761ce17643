#include "process/batch/held_chunk_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace carawayrelay {
namespace {

std::deque<size_t>* FindPending(
    std::map<std::string, std::deque<size_t>>& pending,
    const std::set<std::string>& routes) {
  for (auto& [model, items] : pending) {
    if (!items.empty() && routes.contains(model)) {
      return &items;
    }
  }
  return nullptr;
}

}  // namespace

void HeldChunkTable::Add(ClaimedChunk claimed, TimePoint now) {
  assert(!Contains(claimed.lease.id));
  const std::string& workspace = claimed.lease.workspace;
  if (ChunkCountOfWorkspace(workspace) == 0) {
    // A workspace that was idle starts at the lowest value of the active ones,
    // so that it does not get all capacity until it has caught up.
    double least = 0;
    bool is_first = true;
    for (const auto& [id, chunk] : chunks_) {
      const double done = work_done_[chunk.claimed.lease.workspace];
      least = is_first ? done : std::min(least, done);
      is_first = false;
    }
    work_done_[workspace] = std::max(work_done_[workspace], least);
  }
  HeldChunk chunk{.items = std::vector<ItemState>(claimed.items.size()),
                  .last_progress = now,
                  .last_served = now};
  for (size_t i = 0; i < claimed.items.size(); ++i) {
    chunk.pending[claimed.items[i].model].push_back(i);
  }
  chunk.claimed = std::move(claimed);
  const ChunkId id = chunk.claimed.lease.id;
  chunks_.emplace(id, std::move(chunk));
}

void HeldChunkTable::Remove(const ChunkId& id) {
  chunks_.erase(id);
  if (ChunkNumbersOfJob(id.job).empty()) {
    last_served_.erase(id.job);
  }
  if (chunks_.empty()) {
    work_done_.clear();
  }
}

std::optional<ItemRef> HeldChunkTable::TakeItem(
    const std::set<std::string>& routes,
    const WeightOf& weight_of,
    TimePoint now) {
  HeldChunk* best = nullptr;
  std::deque<size_t>* best_items = nullptr;
  std::tuple<double, std::uint64_t> best_rank;
  for (auto& [id, chunk] : chunks_) {
    std::deque<size_t>* items = FindPending(chunk.pending, routes);
    if (items == nullptr) {
      continue;
    }
    const std::tuple rank{work_done_[chunk.claimed.lease.workspace],
                          last_served_[id.job]};
    if (best == nullptr || rank < best_rank) {
      best = &chunk;
      best_items = items;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const ChunkLease& lease = best->claimed.lease;
  const double charge = 1 / weight_of(lease.workspace);
  work_done_[lease.workspace] += charge;
  last_served_[lease.id.job] = ++take_count_;
  const size_t index = best_items->front();
  best_items->pop_front();
  best->items[index].charge = charge;
  ++best->running;
  best->last_progress = now;
  return ItemRef{lease.id, index};
}

void HeldChunkTable::FinishItem(const ItemRef& ref,
                                ItemOutcome outcome,
                                TimePoint now) {
  HeldChunk& chunk = chunks_.at(ref.chunk);
  ItemState& item = chunk.items.at(ref.index);
  assert(!item.outcome && chunk.running > 0);
  item.outcome = std::move(outcome);
  --chunk.running;
  ++chunk.finished;
  chunk.last_progress = now;
}

void HeldChunkTable::RequeueItem(const ItemRef& ref,
                                 ItemAttemptEnd end,
                                 const std::string& reason,
                                 TimePoint now) {
  HeldChunk& chunk = chunks_.at(ref.chunk);
  ItemState& item = chunk.items.at(ref.index);
  assert(!item.outcome && chunk.running > 0);
  if (std::optional<ItemError> error = CountAttempt(item, end, reason)) {
    FinishItem(ref, *std::move(error), now);
    return;
  }
  --chunk.running;
  if (end == ItemAttemptEnd::kNotRun) {
    work_done_[chunk.claimed.lease.workspace] -= item.charge;
  }
  // Queued last, so that an item that keeps failing does not delay the others.
  chunk.pending[chunk.claimed.items[ref.index].model].push_back(ref.index);
}

std::optional<ItemError> HeldChunkTable::CountAttempt(
    ItemState& item,
    ItemAttemptEnd end,
    const std::string& reason) const {
  const auto check = [&](int& count, int limit, const char* code,
                         const char* what) -> std::optional<ItemError> {
    if (++count < limit) {
      return std::nullopt;
    }
    return ItemError{code, std::string(what) + " " + std::to_string(count) +
                               " times, last: " + reason};
  };
  switch (end) {
    case ItemAttemptEnd::kNotRun:
      return check(item.not_run, limits_.not_run, "no_backend",
                   "no backend server took the item,");
    case ItemAttemptEnd::kConnectionLost:
      return check(item.lost_connections, limits_.lost_connections,
                   "connection_lost", "the connection was lost");
    case ItemAttemptEnd::kPreempted:
      return check(item.preemptions, limits_.preemptions, "cancelled",
                   "the item was cancelled for online work");
    case ItemAttemptEnd::kBackendFailed:
      return check(item.backend_failures, limits_.backend_failures,
                   "backend_failed", "the backend server failed");
  }
  return std::nullopt;
}

const ChunkLease& HeldChunkTable::Lease(const ChunkId& id) const {
  return chunks_.at(id).claimed.lease;
}

const BatchItem& HeldChunkTable::Item(const ItemRef& ref) const {
  return chunks_.at(ref.chunk).claimed.items.at(ref.index);
}

bool HeldChunkTable::IsComplete(const ChunkId& id) const {
  const HeldChunk& chunk = chunks_.at(id);
  return chunk.finished == chunk.items.size();
}

ChunkResult HeldChunkTable::BuildResult(const ChunkId& id) const {
  assert(IsComplete(id));
  const HeldChunk& chunk = chunks_.at(id);
  ChunkResult result;
  for (size_t i = 0; i < chunk.items.size(); ++i) {
    const ItemOutcome& outcome = *chunk.items[i].outcome;
    const std::uint64_t number = chunk.claimed.lease.first_item + i;
    const std::string line =
        FormatResultLine(id.job + "_item_" + std::to_string(number),
                         chunk.claimed.items[i].custom_id, outcome);
    if (IsSuccess(outcome)) {
      result.output_lines += line;
      ++result.counts.succeeded;
    } else {
      result.error_lines += line;
      ++result.counts.failed;
    }
  }
  return result;
}

std::vector<ChunkId> HeldChunkTable::Ids() const {
  std::vector<ChunkId> ids;
  ids.reserve(chunks_.size());
  for (const auto& [id, chunk] : chunks_) {
    ids.push_back(id);
  }
  return ids;
}

std::set<std::uint64_t> HeldChunkTable::ChunkNumbersOfJob(
    const std::string& job) const {
  std::set<std::uint64_t> numbers;
  for (auto it = chunks_.lower_bound({job, 0});
       it != chunks_.end() && it->first.job == job; ++it) {
    numbers.insert(it->first.number);
  }
  return numbers;
}

size_t HeldChunkTable::ChunkCountOfWorkspace(
    const std::string& workspace) const {
  return static_cast<size_t>(
      std::count_if(chunks_.begin(), chunks_.end(), [&](const auto& entry) {
        return entry.second.claimed.lease.workspace == workspace;
      }));
}

bool HeldChunkTable::IsIdle(const HeldChunk& chunk, TimePoint limit) {
  return chunk.running == 0 && chunk.finished < chunk.items.size() &&
         chunk.last_progress < limit;
}

void HeldChunkTable::NoteServedRoutes(const std::set<std::string>& routes,
                                      TimePoint now) {
  for (auto& [id, chunk] : chunks_) {
    if (FindPending(chunk.pending, routes) != nullptr) {
      chunk.last_served = now;
    }
  }
}

std::optional<ChunkId> HeldChunkTable::FindUnservedChunk(
    TimePoint limit) const {
  for (const auto& [id, chunk] : chunks_) {
    if (IsIdle(chunk, limit) && chunk.last_served < limit) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<ChunkId> HeldChunkTable::FindIdleChunk(TimePoint limit) const {
  std::optional<ChunkId> best;
  for (const auto& [id, chunk] : chunks_) {
    if (IsIdle(chunk, limit) &&
        (!best || chunk.finished < chunks_.at(*best).finished)) {
      best = id;
    }
  }
  return best;
}

}  // namespace carawayrelay
