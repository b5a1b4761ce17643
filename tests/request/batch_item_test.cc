#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "carawayrelay/request.h"
#include "property.h"

namespace carawayrelay {
namespace {

struct BatchItemFixture {
  static std::string Line(const std::string& id) {
    return R"({"custom_id":")" + id +
           R"(","method":"POST","url":"/v1/chat/completions",)"
           R"("body":{"model":"m","messages":[]}})"
           "\n";
  }
};

// Guards against reporting only the first invalid line, which would force
// clients to upload again for each mistake.
TEST_CASE_FIXTURE(BatchItemFixture,
                  "ParseBatchLines, several invalid lines, reports them all") {
  const BatchLines lines = ParseBatchLines(
      Line("a") + "\nnot json\n" + Line("a") +
      R"({"custom_id":"b","method":"GET","url":"/x","body":{"stream":true}})");
  CHECK(lines.items.size() == 1);
  CHECK(ToText(lines.findings) ==
        "line 3: not a JSON object\n"
        "line 4: custom_id 'a' was used in line 1\n"
        "line 5: method must be \"POST\"\n"
        "line 5: url must be \"/v1/chat/completions\"\n"
        "line 5: body.model must be a non-empty string\n"
        "line 5: body.stream must be absent or false\n");
}

TEST_CASE_FIXTURE(BatchItemFixture,
                  "ParseBatchLines, valid line, returns the request") {
  const BatchLines lines = ParseBatchLines(Line("a"));
  REQUIRE(lines.items.size() == 1);
  CHECK(lines.items[0].custom_id == "a");
  CHECK(lines.items[0].model == "m");
  CHECK(lines.items[0].body == R"({"messages":[],"model":"m"})");
}

// Guards against items that are lost or duplicated at a segment boundary.
TEST_CASE_FIXTURE(BatchItemFixture,
                  "SplitLines, any lines, preserves the text and all items") {
  CheckProperty("segments join to the text", [] {
    std::string text;
    std::uint64_t items = 0;
    for (const auto& line : *rc::gen::arbitrary<std::vector<std::string>>()) {
      std::string clean = line;
      std::erase(clean, '\n');
      text += clean + "\n";
      items += clean.find_first_not_of(" \t\r") == std::string::npos ? 0 : 1;
    }
    const size_t limit = *rc::gen::inRange<size_t>(1, 40);
    std::string joined;
    for (const LineSegment& segment : SplitLines(text, limit)) {
      joined += segment.text;
      items -= segment.items;
      const bool is_one_line =
          std::count(segment.text.begin(), segment.text.end(), '\n') == 1;
      RC_ASSERT(segment.text.size() <= limit || is_one_line);
    }
    RC_ASSERT(joined == text);
    RC_ASSERT(items == 0U);
  });
}

TEST_CASE_FIXTURE(BatchItemFixture,
                  "FormatResultLine, each outcome, has the expected fields") {
  using nlohmann::json;
  const json response =
      json::parse(FormatResultLine("r1", "a", ItemResponse{200, R"({"x":1})"}));
  CHECK(response["custom_id"] == "a");
  CHECK(response["response"]["status_code"] == 200);
  CHECK(response["response"]["body"]["x"] == 1);
  CHECK(response["error"].is_null());
  const json error =
      json::parse(FormatResultLine("r2", "b", ItemError{"code", "text"}));
  CHECK(error["response"].is_null());
  CHECK(error["error"]["code"] == "code");
  CHECK_FALSE(IsSuccess(ItemResponse{400, ""}));
}

TEST_CASE_FIXTURE(BatchItemFixture,
                  "ResultLines, joined object, returns each kind") {
  const std::string object = JoinResultLines("o1\no2\n", "e1\n");
  CHECK(ResultLines(object, ResultKind::kOutput) == "o1\no2\n");
  CHECK(ResultLines(object, ResultKind::kError) == "e1\n");
  CHECK_FALSE(ResultLines("9\nshort", ResultKind::kOutput));
}

}  // namespace
}  // namespace carawayrelay
