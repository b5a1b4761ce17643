#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "property.h"

namespace carawayrelay {
namespace {

struct SseParserFixture {
  SseParser parser{64};

  std::vector<std::string> Data(std::string_view text) {
    std::vector<std::string> data;
    const std::vector<SseEvent> events = parser.Feed(text).value();
    for (const SseEvent& event : events) {
      data.push_back(event.data);
    }
    return data;
  }
};

TEST_CASE_FIXTURE(SseParserFixture,
                  "SseParser, all kinds of fields, reads type, id and data") {
  const auto events =
      parser.Feed(": hello\nevent: t\nid: 7\ndata: a\ndata:b\n\nid: 8\n\n")
          .value();
  REQUIRE(events.size() == 1);
  CHECK(events[0].type == "t");
  CHECK(events[0].id == "7");
  CHECK(events[0].data == "a\nb");
}

// Guards against events that are lost or duplicated at the boundary of a read.
TEST_CASE_FIXTURE(SseParserFixture,
                  "SseParser, any line ending split anywhere, same events") {
  const std::vector<std::string> expected = {"a", "b\nc", ""};
  for (const std::string end : {"\n", "\r\n", "\r"}) {
    const std::string text = "data: a" + end + end + "data: b" + end +
                             "data: c" + end + end + "data" + end + end;
    for (size_t cut = 0; cut <= text.size(); ++cut) {
      parser = SseParser(64);
      std::vector<std::string> data = Data(text.substr(0, cut));
      for (std::string& rest : Data(text.substr(cut))) {
        data.push_back(std::move(rest));
      }
      CHECK(data == expected);
      CHECK_FALSE(parser.HasPartialEvent());
    }
  }
}

// Guards against accepting a stream that was cut off inside an event as
// complete.
TEST_CASE_FIXTURE(SseParserFixture,
                  "SseParser, stream ends inside an event, has partial event") {
  CHECK(Data("data: a\n").empty());
  CHECK(parser.HasPartialEvent());
}

// Guards against unbounded memory use when a backend server sends an event that
// does not end.
TEST_CASE_FIXTURE(SseParserFixture,
                  "SseParser, event larger than the limit, fails") {
  CHECK(parser.Feed("data: " + std::string(50, 'x') + "\n"));
  CHECK_FALSE(parser.Feed("data: " + std::string(50, 'x')));
}

TEST_CASE_FIXTURE(SseParserFixture,
                  "SseParser, serialized data, parses to the same data") {
  CheckProperty("data survives", [](std::vector<std::string> lines) {
    std::string data;
    for (std::string& line : lines) {
      std::erase_if(line, [](char c) { return c == '\n' || c == '\r'; });
      data += (data.empty() ? "" : "\n") + line;
    }
    SseParser fresh;
    const auto events = fresh.Feed(ToSseText(data)).value();
    RC_ASSERT(events.size() == 1U);
    RC_ASSERT(events[0].data == data);
  });
}

}  // namespace
}  // namespace carawayrelay
