#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "platform/job_codec.h"
#include "request/error.h"

namespace carawayrelay {

// A range of items of a job that is stored in one object.
struct SubmissionSegment {
  size_t first_item = 0;
  size_t bytes = 0;  // of the object
  // Stands for the bytes of the object and is part of its name, so that two
  // processes that store the same job under the same name store the same bytes.
  std::string digest;
};

// Where the items of a job are when their bodies do not fit into one row. A
// reader of few items reads only their segments.
struct SubmissionLayout {
  std::vector<SubmissionSegment> segments;  // in the order of the items
  std::vector<std::string> item_ids;

  // Returns the number of items in a segment.
  size_t CountItems(size_t segment) const;
  // Returns the segment of an item. There must be such an item.
  size_t SegmentOf(size_t item) const;
};

// All items are in the row of the submission.
struct InlineSubmission {
  std::vector<platform::SubmittedItem> items;
};

// All items are in one object. Written by versions before the layout.
struct SingleObjectSubmission {};

using StoredSubmission =
    std::variant<InlineSubmission, SingleObjectSubmission, SubmissionLayout>;

// Returns the row value of a submission whose body, as the client sent it,
// stands in the row.
std::string EncodeInlineSubmission(const std::string& body);
// Returns the row value of a submission in segments. It fits into a row,
// because the number of items and the length of their ids are limited.
std::string EncodeLayout(const SubmissionLayout& layout);
// Fails with kInvalid when the value is of a later version or is damaged.
Result<StoredSubmission> DecodeStoredSubmission(const std::string& value);

// Returns the digest of a segment with these bytes.
std::string SegmentDigest(const std::string& data);
// Returns the name of the object with a segment of a job.
std::string SegmentObject(const std::string& job,
                          const SubmissionSegment& segment);

}  // namespace carawayrelay
