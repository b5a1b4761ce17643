#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "platform/desired_state.h"
#include "process/rollout/canary_group.h"
#include "process/rollout/rollout_row.h"
#include "process/rollout/version_report.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct RolloutCodecFixture {
  VersionReport report{.service = "s",
                       .spec_version = 7,
                       .step = RolloutStep::kSwitch,
                       .old_running = 3};

  void AddEntries(int servers) {
    for (int server = 0; server < servers; ++server) {
      for (int route = 0; route < 4; ++route) {
        VersionStats& stats = report.StatsOf(
            {.version = "v2",
             .route = "route-with-a-long-name-" + std::to_string(route),
             .server = "10.100.100." + std::to_string(server) + ":10000"});
        stats.responses += 30;
        stats.failures += 2;
        for (int i = 0; i < 10; ++i) {
          stats.first_event.Add(milliseconds(100 + 20 * i));
          stats.event_interval.Add(milliseconds(20 + 5 * i));
        }
      }
    }
  }
};

// Guards against coordinators that judge something else than the frontends saw.
TEST_CASE_FIXTURE(RolloutCodecFixture,
                  "VersionReport, encoded and decoded, is the same") {
  AddEntries(3);
  const auto decoded = DecodeVersionReport(EncodeVersionReport(report));
  REQUIRE_MESSAGE(decoded, decoded.error().message);
  CHECK(decoded.value() == report);
}

// Guards against a report that the store refuses for its size.
TEST_CASE_FIXTURE(RolloutCodecFixture,
                  "VersionReport, many servers, fits into a row") {
  AddEntries(115);
  CHECK(EncodeVersionReport(report).size() < 48000);
  std::uint64_t responses = 0;
  for (const auto& [key, stats] : report.stats) {
    responses += stats.responses;
  }
  CHECK(responses == 115 * 4 * 30);
}

// Guards against rows of other programs in the table.
TEST_CASE_FIXTURE(RolloutCodecFixture,
                  "VersionReport, foreign rows, are rejected") {
  for (const char* text :
       {"", "[]", "{}", "\xff", R"({"service":"s","spec_version":1})",
        R"({"service":"s","spec_version":1,"step":9,"old_running":0})",
        R"({"service":"s","spec_version":1,"step":0,"old_running":0,"entries":
           [{"version":"v","responses":1,"failures":0,"total":[900,1]}]})"}) {
    CHECK_FALSE(DecodeVersionReport(text));
  }
}

// Guards against a coordinator that continues from another step.
TEST_CASE_FIXTURE(RolloutCodecFixture,
                  "RolloutRow, encoded and decoded, is the same") {
  const RolloutRow row{.current = "v1",
                       .to = "v2",
                       .spec_version = 12,
                       .step = RolloutStep::kSwitch,
                       .started = milliseconds(1000),
                       .duration = milliseconds(12000),
                       .step_began = milliseconds(9000),
                       .owner = "node-1",
                       .lease_end = milliseconds(11000),
                       .is_published = true,
                       .reason = "r"};
  const auto decoded = DecodeRolloutRow(EncodeRolloutRow(row));
  REQUIRE_MESSAGE(decoded, decoded.error().message);
  CHECK(decoded.value() == row);
  CHECK_FALSE(DecodeRolloutRow("{}"));
  CHECK_FALSE(DecodeRolloutRow(R"({"step":"odd"})"));
}

// Guards against specs that are carried out although they are invalid.
TEST_CASE_FIXTURE(RolloutCodecFixture,
                  "RolloutSpec, invalid rows, have a problem") {
  const auto decode = [](const char* text) {
    return platform::DecodeRolloutSpec("s", text);
  };
  const RolloutSpec valid =
      decode(R"({"service":"s","to":"v2","durationS":12.5})");
  CHECK(valid.problem.empty());
  CHECK(valid.to == "v2");
  CHECK(valid.duration == milliseconds(12500));
  for (const char* text : {"", "[]", "{}", R"({"service":"s","durationS":12})",
                           R"({"service":"s","to":"","durationS":12})",
                           R"({"service":"s","to":2,"durationS":12})",
                           R"({"service":"s","to":"v2"})",
                           R"({"service":"s","to":"v2","durationS":0})",
                           R"({"service":"s","to":"v2","durationS":-3})",
                           R"({"service":"other","to":"v2","durationS":12})"}) {
    CHECK_FALSE_MESSAGE(decode(text).problem.empty(), text);
  }
  CHECK(platform::EncodeRolloutStatus(platform::RolloutState::kRolledBack,
                                      "v2") ==
        R"({"state":"rolled_back","to":"v2"})");
}

// Guards against canary servers that have much less load than old ones, and
// against a group in which a fault of one server cannot be told.
TEST_CASE_FIXTURE(RolloutCodecFixture,
                  "CanaryGroup, sizes and turns, few warm servers first") {
  std::vector<CanaryCandidate> candidates;
  for (int i = 0; i < 40; ++i) {
    candidates.push_back(
        {.id = "server-" + std::to_string(i), .is_cold = i >= 10});
  }
  const auto first = SelectCanaryGroup(candidates, 40, 0.08, 0);
  const auto second = SelectCanaryGroup(candidates, 40, 0.08, 1);
  CHECK(first.size() == 3);
  CHECK(second.size() == 3);
  CHECK(first != second);
  for (const auto& group : {first, second}) {
    for (const std::string& id : group) {
      CHECK(std::stoi(id.substr(7)) < 10);
    }
  }
  CHECK(SelectCanaryGroup(candidates, 5, 0.08, 0).size() == 2);
  CHECK(SelectCanaryGroup({{.id = "a"}}, 40, 0.08, 3).size() == 1);
  CHECK(SelectCanaryGroup({}, 40, 0.08, 0).empty());
}

}  // namespace
}  // namespace carawayrelay
