#include "process/telemetry/log_timeline.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace carawayrelay {
namespace {

struct LogTimelineFixture {
  std::vector<std::string> log = {
      R"(12.1 n1 {"t_ms":2000,"event":1934,"name":"request_ended","node":"n1","id":"q","outcome":"backend_failed","status":0,"runner":"r1","route":"a","workspace":"w","attempts":1,"last_event":"","ms":40,"reason":"reset"})",
      R"({"t_ms":1990,"event":1933,"name":"attempt_failed","node":"n1","id":"q","runner":"r1","was_sent":true,"attempt":1,"resends":false,"after_event":"","reason":"reset"})",
      R"({"t_ms":1500,"event":1924,"name":"runner_avoided","node":"n1","runner":"r1","avoid_ms":500,"reason":"silent"})",
      R"({"t_ms":1500,"event":1924,"name":"runner_avoided","node":"n2","runner":"r1","avoid_ms":500,"reason":"silent"})",
      R"({"t_ms":1600,"event":1924,"name":"runner_avoided","node":"n1","runner":"r9","avoid_ms":500,"reason":"silent"})",
      R"({"t_ms":1700,"event":1914,"name":"store_lost","node":"n1","status":"unknown","reason":"x"})",
      R"({"t_ms":1995,"event":1934,"name":"request_ended","node":"n1","id":"other"})",
      "not a log line"};
};

// Guards against a timeline that omits the logged state changes that explain a
// failure.
TEST_CASE_FIXTURE(LogTimelineFixture,
                  "LogTimeline, failed request, includes related changes") {
  const std::vector<std::string> timeline = BuildTimeline("q", log);
  REQUIRE(timeline.size() == 4);
  CHECK(timeline[0].find("avoids backend server r1 for 500 ms: silent") !=
        std::string::npos);
  CHECK(timeline[1].find("store became unavailable") != std::string::npos);
  CHECK(timeline[2].find("attempt 1 at backend server r1 failed: reset") !=
        std::string::npos);
  CHECK(timeline[3].find("ended after 40 ms: backend_failed") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(LogTimelineFixture, "LogTimeline, unknown id, is empty") {
  CHECK(BuildTimeline("none", log).empty());
}

}  // namespace
}  // namespace carawayrelay
