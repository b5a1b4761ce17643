#include "process/jobs/item_listing.h"

#include <string>
#include <utility>

#include "process/jobs/job_table.h"

namespace carawayrelay {

void ListItemResult(BulkJob& job,
                    size_t index,
                    const ItemResult& result,
                    RowsTransaction& transaction) {
  JobItemState& item = job.items[index];
  item.state =
      result.is_complete ? ItemState::kComplete : ItemState::kDeadLetter;
  item.owner.clear();
  if (std::exchange(item.has_partial, false)) {
    transaction.removals.push_back(job_rows::Partial(job.id, index));
  }
  transaction.writes.push_back({.key = job_rows::Result(job.id, job.listed),
                                .value = EncodeItemResult(result)});
  ++job.listed;
}

void StorePartialRun(BulkJob& job,
                     size_t index,
                     const PartialRun& progress,
                     RowsTransaction& transaction) {
  if (progress.last_event == 0) {
    return;
  }
  std::string value = EncodePartialRun(progress);
  if (value.size() > job_rows::kMaxValueBytes) {
    return;
  }
  job.items[index].has_partial = true;
  transaction.writes.push_back(
      {.key = job_rows::Partial(job.id, index), .value = std::move(value)});
}

}  // namespace carawayrelay
