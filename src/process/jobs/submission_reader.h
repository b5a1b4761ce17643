#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/job_codec.h"
#include "process/jobs/submission_layout.h"
#include "process/store/store_transfer_queue.h"
#include "request/error.h"

namespace carawayrelay {

// Reads items of stored submissions. What is read follows the items that are
// asked for, not the size of their job. Each call passes its result, or the
// error if the items cannot be read within the time limit or decoded, to `done`
// later. Must be used on the event loop thread only.
class SubmissionReader {
 public:
  using Items = std::map<size_t, platform::SubmittedItem>;  // by index
  using ItemsCallback = std::function<void(Result<Items>)>;

  explicit SubmissionReader(StoreTransferQueue& transfers)
      : transfers_(transfers) {}

  // Reads the items with these indexes. Indexes that the job does not have are
  // missing in the result.
  void ReadItems(const std::string& job,
                 std::vector<size_t> indexes,
                 std::chrono::milliseconds time_limit,
                 ItemsCallback done);
  // Reads the item with this id. Fails with kNotFound if there is none.
  void FindItem(const std::string& job,
                const std::string& item_id,
                std::chrono::milliseconds time_limit,
                std::function<void(Result<platform::SubmittedItem>)> done);
  // Reads the ids of all items in their order.
  void ReadItemIds(const std::string& job,
                   std::chrono::milliseconds time_limit,
                   std::function<void(Result<std::vector<std::string>>)> done);

 private:
  using SubmittedItems = std::vector<platform::SubmittedItem>;
  // Returns the indexes to read, given the ids of all items of a job.
  using Selector =
      std::function<std::vector<size_t>(const std::vector<std::string>& ids)>;
  // One read of items from several segments.
  struct SegmentsRead;

  void Read(const std::string& job,
            std::chrono::milliseconds time_limit,
            Selector select,
            ItemsCallback done);
  void ReadSegments(const std::string& job,
                    const SubmissionLayout& layout,
                    std::vector<size_t> indexes,
                    std::chrono::milliseconds time_limit,
                    ItemsCallback done);
  void ReadObject(const std::string& name,
                  size_t bytes,
                  std::chrono::milliseconds time_limit,
                  std::function<void(Result<SubmittedItems>)> done);

  StoreTransferQueue& transfers_;
};

}  // namespace carawayrelay
