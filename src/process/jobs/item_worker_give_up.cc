#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/jobs/item_listing.h"
#include "process/jobs/item_worker.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGiveUpCheckInterval{500};
// Limit of the time in which the ids of the items are read.
constexpr milliseconds kReadLimit{5000};
// Items that one write gives up: less than a transaction may hold, so that
// other changes of the job fit beside them.
constexpr size_t kMaxItemsPerGiveUp =
    RowsTransaction::kMaxEntries / kEntriesPerListing - 10;

}  // namespace

std::optional<std::string> ItemWorker::GiveUpReason(
    const JobTable::Entry& entry,
    TimePoint now) const {
  if (!config_) {
    return std::nullopt;
  }
  const ServingRoute* route = FindRoute(entry.job);
  if (route == nullptr) {
    // A configuration older than the job may not have the route yet.
    return config_->version() >= entry.job.config_version
               ? std::optional<std::string>("the route of the job was removed")
               : std::nullopt;
  }
  const milliseconds expiry = route->bulk.item_expiry;
  if (expiry.count() > 0 &&
      store_.StoreTime(now) >= entry.job.accepted + expiry) {
    return "the retention time of the job is over";
  }
  return std::nullopt;
}

void ItemWorker::GiveUpJob(TimePoint now) {
  if (now < next_give_up_check_ || is_giving_up_) {
    return;
  }
  next_give_up_check_ = now + kGiveUpCheckInterval;
  std::erase_if(failed_locally_,
                [&](const auto& item) { return now >= item.second; });
  const auto is_of_closed_job = [&](const auto& item) {
    const JobTable::Entry* entry = jobs_.Find(item.first);
    return entry == nullptr || !entry->job.IsOpen();
  };
  std::erase_if(claim_times_, is_of_closed_job);
  std::erase_if(left_until_, is_of_closed_job);
  for (const auto& [id, entry] : jobs_.jobs()) {
    const std::optional<std::string> reason =
        entry.job.IsOpen() ? GiveUpReason(entry, now) : std::nullopt;
    if (!reason || !HasItemToGiveUp(entry.job, now) ||
        !IsClaimDelayOver(id, entry.version, now)) {
      continue;
    }
    is_giving_up_ = true;
    submissions_.ReadItemIds(
        id, kReadLimit,
        [this, job = id,
         reason = *reason](Result<std::vector<std::string>> item_ids) {
          if (item_ids) {
            GiveUpItems(job, reason, std::move(item_ids).value());
          } else {
            is_giving_up_ = false;
            LogDecision(LogEvent::kGiveUpDelayed, "job", job, "reason",
                        item_ids.error().message);
          }
        });
    return;
  }
}

bool ItemWorker::CanGiveUp(const BulkJob& job,
                           size_t index,
                           TimePoint now) const {
  const JobItemState& item = job.items[index];
  const bool is_held_elsewhere = item.state == ItemState::kClaimed &&
                                 item.owner != options_.node &&
                                 item.lease_end > store_.StoreTime(now);
  return !item.IsListed() && !is_held_elsewhere &&
         !runs_.contains({job.id, index});
}

bool ItemWorker::HasItemToGiveUp(const BulkJob& job, TimePoint now) const {
  for (size_t i = 0; i < job.items.size(); ++i) {
    if (CanGiveUp(job, i, now)) {
      return true;
    }
  }
  return false;
}

void ItemWorker::GiveUpItems(const std::string& job,
                             const std::string& reason,
                             std::vector<std::string> item_ids) {
  auto given_up = std::make_shared<std::vector<size_t>>();
  const auto ids =
      std::make_shared<const std::vector<std::string>>(std::move(item_ids));
  const auto apply = [this, job, given_up, ids,
                      tries = std::make_shared<int>(0)](
                         BulkJob& state, RowsTransaction& transaction) {
    given_up->clear();
    // Other workers give up the same items. After a conflict with one of them,
    // the next check finds out what is left.
    if (state.is_ended || ++*tries > 1) {
      return JobWriter::Outcome::kObsolete;
    }
    const size_t count = std::min(state.items.size(), ids->size());
    for (size_t i = 0; i < count && given_up->size() < kMaxItemsPerGiveUp;
         ++i) {
      if (CanGiveUp(state, i, clock_.now())) {
        ListItemResult(state, i, {.item = (*ids)[i], .is_complete = false},
                       transaction);
        given_up->push_back(i);
      }
    }
    return given_up->empty() ? JobWriter::Outcome::kObsolete
                             : JobWriter::Outcome::kChanged;
  };
  const auto done = [this, job, reason, given_up,
                     ids](JobWriter::Outcome outcome) {
    is_giving_up_ = false;
    if (outcome != JobWriter::Outcome::kChanged) {
      return;
    }
    next_give_up_check_ = clock_.now();  // there may be more items
    for (const size_t i : *given_up) {
      LogDecision(LogEvent::kItemFinished, "job", job, "item", i, "id",
                  (*ids)[i], "outcome", reason);
      ++counters_.given_up;
    }
  };
  writer_.Add(job, {.apply = apply, .done = done});
}

}  // namespace carawayrelay
