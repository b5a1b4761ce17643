#include "process/jobs/submission_layout.h"

#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

struct SubmissionLayoutFixture : JobFixture {
  SubmissionLayout layout{
      .segments = {{.first_item = 0, .bytes = 10, .digest = "a"},
                   {.first_item = 3, .bytes = 20, .digest = "b"},
                   {.first_item = 4, .bytes = 30, .digest = "c"}},
      .item_ids = {"i0", "i1", "i2", "\"i3\"", "i4", "i5"}};

  static bool IsReadable(const std::string& value) {
    return DecodeStoredSubmission(value).has_value();
  }
};

TEST_CASE_FIXTURE(SubmissionLayoutFixture,
                  "SubmissionLayout, encoded and decoded, is the same") {
  const Result<StoredSubmission> decoded =
      DecodeStoredSubmission(EncodeLayout(layout));
  REQUIRE(decoded);
  const auto& read = std::get<SubmissionLayout>(decoded.value());
  CHECK(read.item_ids == layout.item_ids);
  REQUIRE(read.segments.size() == 3);
  CHECK(read.segments[1].first_item == 3);
  CHECK(read.segments[1].bytes == 20);
  CHECK(read.segments[1].digest == "b");
  CHECK(read.CountItems(0) == 3);
  CHECK(read.CountItems(1) == 1);
  CHECK(read.CountItems(2) == 2);
  CHECK(read.SegmentOf(2) == 0);
  CHECK(read.SegmentOf(3) == 1);
  CHECK(read.SegmentOf(5) == 2);
}

// Guards against a layout that does not fit into its row: ids are of any
// printable characters and up to 128 of them.
TEST_CASE_FIXTURE(SubmissionLayoutFixture,
                  "SubmissionLayout, most items with longest ids, fits") {
  SubmissionLayout largest;
  for (size_t i = 0; i < 200; ++i) {
    largest.segments.push_back(
        {.first_item = i, .bytes = 4'000'000, .digest = SegmentDigest("x")});
    largest.item_ids.push_back(std::string(128, '"'));
  }
  CHECK(EncodeLayout(largest).size() <= job_rows::kMaxValueBytes);
}

// Guards against a damaged row, or one of a later version, that is read as
// something else or ends the process.
TEST_CASE_FIXTURE(SubmissionLayoutFixture,
                  "SubmissionLayout, damaged or of a later version, is an "
                  "error") {
  CHECK_FALSE(IsReadable(""));
  CHECK_FALSE(IsReadable("z[]"));
  CHECK_FALSE(IsReadable("s"));
  CHECK_FALSE(IsReadable("s{}\ni0"));
  CHECK_FALSE(IsReadable("s[]\ni0"));
  CHECK_FALSE(IsReadable("s[[0,1]]\ni0"));
  CHECK_FALSE(IsReadable("s[[0,-1,\"a\"]]\ni0"));
  CHECK_FALSE(IsReadable("s[[1,1,\"a\"]]\ni0\ni1"));
  CHECK_FALSE(IsReadable("s[[0,1,\"a\"],[0,1,\"b\"]]\ni0\ni1"));
  CHECK_FALSE(IsReadable("s[[0,1,\"a\"],[5,1,\"b\"]]\ni0\ni1"));
  CHECK(IsReadable("s[[0,1,\"a\"]]\ni0"));
}

// Guards against items that change when a submission is split, and against
// segments over their size.
TEST_CASE_FIXTURE(SubmissionLayoutFixture,
                  "SplitSubmission, large and small items, all are kept") {
  nlohmann::json items = nlohmann::json::array();
  for (int i = 0; i < 40; ++i) {
    const size_t bytes = i == 7 ? 5000 : 10 + static_cast<size_t>(i) * 20;
    items.push_back({{"id", "item-" + std::to_string(i)},
                     {"path", "/b/\u00e4\"" + std::to_string(i)},
                     {"headers", {{"X-A", "1"}, {"x-a", "2"}}},
                     {"body", platform::ToBase64(std::string(bytes, 'x'))},
                     {"tokens", i}});
  }
  const std::string body = nlohmann::json{{"items", items}}.dump();
  const auto all = platform::DecodeSubmission(body);
  REQUIRE(all);
  size_t next = 0;
  for (const auto& range : platform::SplitSubmission(body, 3000)) {
    CHECK(range.first_item == next);
    const auto part = platform::DecodeSubmission(range.text);
    REQUIRE(part);
    CHECK((range.text.size() <= 3000 || part.value().size() == 1));
    for (const platform::SubmittedItem& item : part.value()) {
      const platform::SubmittedItem& expected = all.value()[next++];
      CHECK(item.id == expected.id);
      CHECK(item.path == expected.path);
      CHECK(item.headers == expected.headers);
      CHECK(item.body == expected.body);
      CHECK(item.tokens == expected.tokens);
    }
  }
  CHECK(next == 40);
}

// Guards against items of another job that are run because an object was
// replaced.
TEST_CASE_FIXTURE(SubmissionLayoutFixture,
                  "SubmissionReader, segment with other items, is an error") {
  Submit("j", Submission(10, std::string(10000, 'x')));
  RunUntilIdle();
  const RowKey key = job_rows::Submission("j");
  const auto stored =
      DecodeStoredSubmission(rows.Get(key.table, key.part, key.key));
  REQUIRE(stored);
  const auto& segments = std::get<SubmissionLayout>(stored.value()).segments;
  rows.PutObject(SegmentObject("j", segments[0]), Submission(3, "other"));
  SubmissionReader reader(transfers);
  std::optional<Result<SubmissionReader::Items>> result;
  reader.ReadItems("j", {0}, std::chrono::seconds(1),
                   [&](Result<SubmissionReader::Items> items) {
                     result.emplace(std::move(items));
                   });
  RunUntilIdle();
  REQUIRE(result);
  CHECK_FALSE(*result);
}

}  // namespace
}  // namespace carawayrelay
