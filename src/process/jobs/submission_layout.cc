#include "process/jobs/submission_layout.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

// First byte of the row of a submission, which tells its format.
constexpr char kInlineFormat = 'b';
constexpr char kSingleObjectFormat = 'o';
constexpr char kLayoutFormat = 's';

bool IsInOrder(const SubmissionLayout& layout) {
  size_t next = 0;
  for (const SubmissionSegment& segment : layout.segments) {
    if (segment.first_item < next || (next == 0 && segment.first_item != 0)) {
      return false;
    }
    next = segment.first_item + 1;
  }
  return next > 0 && next <= layout.item_ids.size();
}

// The first line tells the segments, each further one is the id of an item. Ids
// hold no line ends.
Result<StoredSubmission> DecodeLayout(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  std::getline(lines, line);
  const json root = json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!root.is_array()) {
    return Error{ErrorCode::kInvalid, "the layout has no list of segments"};
  }
  SubmissionLayout layout;
  for (const json& entry : root) {
    if (!entry.is_array() || entry.size() != 3 ||
        !entry[0].is_number_unsigned() || !entry[1].is_number_unsigned() ||
        !entry[2].is_string()) {
      return Error{ErrorCode::kInvalid, "a segment of the layout is malformed"};
    }
    layout.segments.push_back({.first_item = entry[0].get<size_t>(),
                               .bytes = entry[1].get<size_t>(),
                               .digest = entry[2].get<std::string>()});
  }
  while (std::getline(lines, line)) {
    layout.item_ids.push_back(line);
  }
  if (!IsInOrder(layout)) {
    return Error{ErrorCode::kInvalid,
                 "the segments of the layout do not cover its items"};
  }
  return StoredSubmission(std::move(layout));
}

}  // namespace

size_t SubmissionLayout::CountItems(size_t segment) const {
  const size_t end = segment + 1 < segments.size()
                         ? segments[segment + 1].first_item
                         : item_ids.size();
  return end - segments[segment].first_item;
}

size_t SubmissionLayout::SegmentOf(size_t item) const {
  const auto next = std::ranges::upper_bound(segments, item, {},
                                             &SubmissionSegment::first_item);
  return static_cast<size_t>(std::distance(segments.begin(), next)) - 1;
}

std::string EncodeInlineSubmission(const std::string& body) {
  return kInlineFormat + body;
}

std::string EncodeLayout(const SubmissionLayout& layout) {
  json segments = json::array();
  for (const SubmissionSegment& segment : layout.segments) {
    segments.push_back({segment.first_item, segment.bytes, segment.digest});
  }
  std::string text = kLayoutFormat + segments.dump();
  for (const std::string& id : layout.item_ids) {
    text += '\n';
    text += id;
  }
  return text;
}

Result<StoredSubmission> DecodeStoredSubmission(const std::string& value) {
  const char format = value.empty() ? '\0' : value[0];
  switch (format) {
    case kInlineFormat: {
      BOOST_OUTCOME_TRY(auto items,
                        platform::DecodeSubmission(value.substr(1)));
      return StoredSubmission(InlineSubmission{std::move(items)});
    }
    case kSingleObjectFormat:
      return StoredSubmission(SingleObjectSubmission{});
    case kLayoutFormat:
      return DecodeLayout(value.substr(1));
    default:
      return Error{ErrorCode::kInvalid,
                   "the submission has an unknown format; a later version may "
                   "have written it"};
  }
}

std::string SegmentDigest(const std::string& data) {
  return fmt::format("{:016x}", XXH3_64bits(data.data(), data.size()));
}

std::string SegmentObject(const std::string& job,
                          const SubmissionSegment& segment) {
  return fmt::format("job-submission-{}-{}-{}", job, segment.first_item,
                     segment.digest);
}

}  // namespace carawayrelay
