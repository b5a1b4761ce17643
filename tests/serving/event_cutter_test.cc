#include "request/event_cutter.h"

#include <string>
#include <vector>

#include "property.h"

namespace carawayrelay {
namespace {

struct EventCutterFixture {
  EventCutter cutter;

  std::vector<CutEvent> FeedAll(const std::string& text, size_t piece) {
    std::vector<CutEvent> events;
    for (size_t at = 0; at < text.size(); at += piece) {
      for (CutEvent& event : cutter.Feed(text.substr(at, piece))) {
        events.push_back(std::move(event));
      }
    }
    return events;
  }
};

// Guards against events that are lost, doubled or changed where a read ends.
TEST_CASE_FIXTURE(EventCutterFixture,
                  "EventCutter, pieces of any size, same events and bytes") {
  const std::string text =
      "x-weights: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
      ": ping\n\nid: 3\ndata:d\n\n";
  for (size_t piece = 1; piece <= text.size(); ++piece) {
    cutter = EventCutter();
    const std::vector<CutEvent> events = FeedAll(text, piece);
    REQUIRE(events.size() == 4);
    CHECK(events[0].id == 1);
    CHECK(events[1].data == "b\nc");
    CHECK_FALSE(events[2].has_data);
    CHECK(events[3].data == "d");
    std::string joined;
    for (const CutEvent& event : events) {
      joined += event.bytes;
    }
    CHECK(joined == text);
    CHECK_FALSE(cutter.HasPartialEvent());
  }
}

// Guards against a stream that broke off inside an event and passes as whole.
TEST_CASE_FIXTURE(EventCutterFixture,
                  "EventCutter, stream ends inside an event, has partial") {
  CHECK(FeedAll("id: 1\ndata: a\n\nid: 2\ndata", 3).size() == 1);
  CHECK(cutter.HasPartialEvent());
}

}  // namespace
}  // namespace carawayrelay
