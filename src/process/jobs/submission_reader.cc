#include "process/jobs/submission_reader.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "process/jobs/job_table.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Size to expect of a submission in one object, which its row does not tell.
constexpr size_t kSingleObjectBytes = size_t{4} << 20;

Error ReadError(const std::string& what, const StoreResponse& response) {
  return {ErrorCode::kUnavailable,
          what + " cannot be read: " + ToString(response.status) + " " +
              response.reason};
}

std::vector<std::string> IdsOf(
    const std::vector<platform::SubmittedItem>& items) {
  std::vector<std::string> ids;
  ids.reserve(items.size());
  for (const platform::SubmittedItem& item : items) {
    ids.push_back(item.id);
  }
  return ids;
}

// Returns the items with these indexes. `items` begins with the item `first`.
SubmissionReader::Items Pick(std::vector<platform::SubmittedItem> items,
                             size_t first,
                             const std::vector<size_t>& indexes) {
  SubmissionReader::Items picked;
  for (const size_t index : indexes) {
    if (index >= first && index - first < items.size()) {
      picked.emplace(index, std::move(items[index - first]));
    }
  }
  return picked;
}

// Whether these are the items that the layout has in the segment.
bool MatchesLayout(const std::vector<platform::SubmittedItem>& items,
                   const SubmissionLayout& layout,
                   size_t segment) {
  const auto first =
      layout.item_ids.begin() +
      static_cast<std::ptrdiff_t>(layout.segments[segment].first_item);
  const auto has_id = [](const platform::SubmittedItem& item,
                         const std::string& id) { return item.id == id; };
  return items.size() == layout.CountItems(segment) &&
         std::equal(items.begin(), items.end(), first, has_id);
}

}  // namespace

struct SubmissionReader::SegmentsRead {
  SubmissionLayout layout;
  std::vector<size_t> indexes;
  size_t segments_left = 0;
  Result<Items> result = Items{};
  ItemsCallback done;

  void AddSegment(size_t segment, Result<SubmittedItems> items) {
    if (!items) {
      result = items.error();
    } else if (!MatchesLayout(items.value(), layout, segment)) {
      result = Error{ErrorCode::kInvalid,
                     "segment " + std::to_string(segment) +
                         " of the submission does not hold the items that its "
                         "layout names"};
    } else if (result) {
      result.value().merge(Pick(std::move(items).value(),
                                layout.segments[segment].first_item, indexes));
    }
    if (--segments_left == 0) {
      done(std::move(result));
    }
  }
};

void SubmissionReader::ReadItems(const std::string& job,
                                 std::vector<size_t> indexes,
                                 milliseconds time_limit,
                                 ItemsCallback done) {
  Read(
      job, time_limit,
      [indexes = std::move(indexes)](const std::vector<std::string>& ids) {
        std::vector<size_t> present = indexes;
        std::erase_if(present,
                      [&](size_t index) { return index >= ids.size(); });
        return present;
      },
      std::move(done));
}

void SubmissionReader::FindItem(
    const std::string& job,
    const std::string& item_id,
    milliseconds time_limit,
    std::function<void(Result<platform::SubmittedItem>)> done) {
  Read(
      job, time_limit,
      [item_id](const std::vector<std::string>& ids) -> std::vector<size_t> {
        const auto it = std::ranges::find(ids, item_id);
        if (it == ids.end()) {
          return {};
        }
        return {static_cast<size_t>(std::distance(ids.begin(), it))};
      },
      [item_id, done = std::move(done)](Result<Items> items) {
        if (!items) {
          done(items.error());
        } else if (items.value().empty()) {
          done(Error{ErrorCode::kNotFound, "no item " + item_id});
        } else {
          done(std::move(items.value().begin()->second));
        }
      });
}

void SubmissionReader::ReadItemIds(
    const std::string& job,
    milliseconds time_limit,
    std::function<void(Result<std::vector<std::string>>)> done) {
  auto all_ids = std::make_shared<std::vector<std::string>>();
  Read(
      job, time_limit,
      [all_ids](const std::vector<std::string>& ids) -> std::vector<size_t> {
        *all_ids = ids;
        return {};
      },
      [all_ids, done = std::move(done)](const Result<Items>& items) {
        if (!items) {
          done(items.error());
        } else {
          done(std::move(*all_ids));
        }
      });
}

void SubmissionReader::Read(const std::string& job,
                            milliseconds time_limit,
                            Selector select,
                            ItemsCallback done) {
  const RowKey key = job_rows::Submission(job);
  const auto pick = [select, done](Result<SubmittedItems> items) {
    if (!items) {
      done(items.error());
      return;
    }
    const std::vector<size_t> indexes = select(IdsOf(items.value()));
    done(Pick(std::move(items).value(), 0, indexes));
  };
  transfers_.Add(
      {.request = RowsRead{.table = key.table,
                           .part = key.part,
                           .from = key.key,
                           .to = key.key + '\0'},
       .bytes = job_rows::kMaxValueBytes,
       .time_limit = time_limit},
      [this, job, time_limit, select, done, pick](StoreResponse response) {
        if (response.status != StoreStatus::kDone || response.rows.empty()) {
          done(ReadError("the row of the submission", response));
          return;
        }
        Result<StoredSubmission> stored =
            DecodeStoredSubmission(response.rows[0].value);
        if (!stored) {
          done(stored.error());
          return;
        }
        std::visit(Overloaded{
                       [&](InlineSubmission& s) { pick(std::move(s.items)); },
                       [&](const SingleObjectSubmission&) {
                         ReadObject(job_rows::SubmissionObject(job),
                                    kSingleObjectBytes, time_limit, pick);
                       },
                       [&](const SubmissionLayout& layout) {
                         ReadSegments(job, layout, select(layout.item_ids),
                                      time_limit, done);
                       },
                   },
                   stored.value());
      });
}

void SubmissionReader::ReadSegments(const std::string& job,
                                    const SubmissionLayout& layout,
                                    std::vector<size_t> indexes,
                                    milliseconds time_limit,
                                    ItemsCallback done) {
  std::set<size_t> segments;
  for (const size_t index : indexes) {
    segments.insert(layout.SegmentOf(index));
  }
  if (segments.empty()) {
    done(Items{});
    return;
  }
  auto read = std::make_shared<SegmentsRead>(
      SegmentsRead{.layout = layout,
                   .indexes = std::move(indexes),
                   .segments_left = segments.size(),
                   .done = std::move(done)});
  for (const size_t segment : segments) {
    ReadObject(SegmentObject(job, layout.segments[segment]),
               layout.segments[segment].bytes, time_limit,
               [read, segment](Result<SubmittedItems> items) {
                 read->AddSegment(segment, std::move(items));
               });
  }
}

void SubmissionReader::ReadObject(
    const std::string& name,
    size_t bytes,
    milliseconds time_limit,
    std::function<void(Result<SubmittedItems>)> done) {
  transfers_.Add({.request = ObjectRead{.name = name},
                  .bytes = bytes,
                  .time_limit = time_limit},
                 [name, done = std::move(done)](const StoreResponse& response) {
                   if (response.status != StoreStatus::kDone) {
                     done(ReadError("the object " + name, response));
                     return;
                   }
                   done(platform::DecodeSubmission(response.data));
                 });
}

}  // namespace carawayrelay
