#pragma once

#include <cstddef>

#include "process/store/store_request.h"
#include "request/bulk_job.h"

namespace carawayrelay {

// Gives the result of item `index` the next position in the list of results of
// `job`: changes the state and adds the rows to write and remove to
// `transaction`, at most kEntriesPerListing. The item must not be listed yet.
void ListItemResult(BulkJob& job,
                    size_t index,
                    const ItemResult& result,
                    RowsTransaction& transaction);

// The row of the result, and the removal of the text so far.
inline constexpr size_t kEntriesPerListing = 2;

// Adds the text so far of item `index` to `transaction`, unless it is empty or
// too large for a row; then the next worker begins anew or with an earlier
// text.
void StorePartialRun(BulkJob& job,
                     size_t index,
                     const PartialRun& progress,
                     RowsTransaction& transaction);

}  // namespace carawayrelay
