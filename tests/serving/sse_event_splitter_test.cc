#include "request/sse_event_splitter.h"

#include <string>
#include <vector>

#include "property.h"

namespace carawayrelay {
namespace {

struct SseEventSplitterFixture {
  SseEventSplitter splitter;

  std::vector<RawSseEvent> FeedAll(const std::string& text, size_t piece) {
    std::vector<RawSseEvent> events;
    for (size_t at = 0; at < text.size(); at += piece) {
      for (RawSseEvent& event : splitter.Feed(text.substr(at, piece))) {
        events.push_back(std::move(event));
      }
    }
    return events;
  }
};

// Guards against events that are lost, duplicated or changed at the boundary of
// a read.
TEST_CASE_FIXTURE(SseEventSplitterFixture,
                  "SseEventSplitter, any piece size, same events and bytes") {
  const std::string text =
      "x-weights: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
      ": ping\n\nid: 3\ndata:d\n\n";
  for (size_t piece = 1; piece <= text.size(); ++piece) {
    splitter = SseEventSplitter();
    const std::vector<RawSseEvent> events = FeedAll(text, piece);
    REQUIRE(events.size() == 4);
    CHECK(events[0].id == 1);
    CHECK(events[1].data == "b\nc");
    CHECK_FALSE(events[2].has_data);
    CHECK(events[3].data == "d");
    std::string joined;
    for (const RawSseEvent& event : events) {
      joined += event.bytes;
    }
    CHECK(joined == text);
    CHECK_FALSE(splitter.HasPartialEvent());
  }
}

// Guards against accepting a stream that was cut off inside an event as
// complete.
TEST_CASE_FIXTURE(
    SseEventSplitterFixture,
    "SseEventSplitter, stream ends inside an event, has partial") {
  CHECK(FeedAll("id: 1\ndata: a\n\nid: 2\ndata", 3).size() == 1);
  CHECK(splitter.HasPartialEvent());
}

// Guards against a stream without line ends that fills the memory.
TEST_CASE_FIXTURE(SseEventSplitterFixture,
                  "SseEventSplitter, event without end, is given up") {
  const std::string piece(size_t{64} << 10, 'x');
  for (size_t fed = 0; fed <= SseEventSplitter::kMaxEventBytes;
       fed += piece.size()) {
    CHECK_FALSE(splitter.IsEventTooLong());
    CHECK(splitter.Feed(piece).empty());
  }
  CHECK(splitter.IsEventTooLong());
  CHECK(splitter.Feed("\n\nid: 1\ndata: a\n\n").empty());
  splitter.Reset();
  CHECK(splitter.Feed("id: 1\ndata: a\n\n").size() == 1);
}

}  // namespace
}  // namespace carawayrelay
