#include "carawayrelay/process.h"

#include <doctest/doctest.h>

#include "process/gate_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

TEST_CASE_FIXTURE(GateFixture, "Gate, stream of parts, numbers and counts") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(7));
  REQUIRE(started.size() == 1);
  Feed(EngineStarted{started[0]});
  Feed(EnginePart{started[0], "a"});
  Feed(EnginePart{started[0], "b"});
  CHECK(Sent<Part>()->sequence == 1);
  CHECK(Sent<Part>(kOnline)->attempt == AttemptId{7});
  Feed(EngineEnd{.call = started[0], .http_status = 200, .tokens = 9});
  CHECK(Sent<End>()->parts == 2);
  CHECK(Sent<End>()->tokens == 9);
}

// Guards against online callers that wait behind batch work.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, online work finds batch in the window, cancels the "
                  "youngest batch call and starts") {
  SetUp();
  FeedMessage(kBatch, MakeBatch(1));
  FeedMessage(kBatch, MakeBatch(2));
  FeedMessage(kOnline, MakeOnline(3));
  REQUIRE(cancelled == std::vector{started[1]});
  CHECK(started.size() == 2);
  // Batch work must not take the room that becomes free for online work.
  FeedMessage(kBatch, MakeBatch(4));
  CHECK(IsRefused(RefusalCode::kWindowFull, RunState::kNotRun));
  Feed(EngineCancelled{started[1]});
  CHECK(started.size() == 3);
  CHECK(Sent<Refused>(kBatch)->attempt == AttemptId{2});
  CHECK(IsRefused(RefusalCode::kCancelled, RunState::kRan));
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, window full of online work, refuses more") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kOnline, MakeOnline(2));
  FeedMessage(kOnline, MakeOnline(3));
  CHECK(IsRefused(RefusalCode::kWindowFull, RunState::kNotRun));
  // An attempt id that is in use must not get `not_run`, because its first
  // call runs.
  FeedMessage(kOnline, MakeOnline(2));
  CHECK(IsRefused(RefusalCode::kInvalidRequest, RunState::kUnknown));
}

// Guards against work under rules that operators have replaced.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, sender with an older configuration, is refused and "
                  "updated") {
  SetUp();
  FeedMessage(kOnline, MakeUpdate(ConfigVersion{2}));
  FeedMessage(kBatch, MakeBatch(1));
  CHECK(IsRefused(RefusalCode::kStaleConfig, RunState::kNotRun));
  CHECK(Sent<ConfigUpdate>(kBatch)->version == ConfigVersion{2});
  // A lower version never replaces a higher one.
  FeedMessage(kOnline, MakeUpdate(ConfigVersion{1}));
  CHECK(gate.config_version() == ConfigVersion{2});
  CHECK(Sent<ConfigUpdate>(kOnline)->version == ConfigVersion{2});
  Connect(ConnectionId{9}, LinkClass::kOnline, ConfigVersion{1});
  CHECK(Sent<ConfigUpdate>(ConnectionId{9}));
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, no usable configuration, refuses as not ready") {
  Connect(kOnline, LinkClass::kOnline);
  ConfigUpdate update = MakeUpdate(ConfigVersion{1});
  update.document += " ";
  FeedMessage(kOnline, update);
  CHECK(gate.config_version() == kNoConfig);
  FeedMessage(kOnline, MakeOnline(1));
  CHECK(IsRefused(RefusalCode::kNotReady, RunState::kNotRun));
}

// Guards against work that reaches a route or workspace it must not.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, wrong route, workspace or header, refuses") {
  SetUp();
  Submit submit = MakeOnline(1);
  submit.route = "other";
  FeedMessage(kOnline, submit);
  CHECK(IsRefused(RefusalCode::kNotFound, RunState::kNotRun));
  submit.route = "unconfigured";
  FeedMessage(kOnline, submit);
  CHECK(IsRefused(RefusalCode::kNotFound, RunState::kNotRun));
  submit = MakeOnline(1);
  submit.workspace = "v";
  FeedMessage(kOnline, submit);
  CHECK(IsRefused(RefusalCode::kForbidden, RunState::kNotRun));
  submit = MakeOnline(1);
  submit.traceparent = "x\r\nX-Fencing-Number: 9";
  FeedMessage(kOnline, submit);
  CHECK(IsRefused(RefusalCode::kInvalidRequest, RunState::kNotRun));
  CHECK(started.empty());
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, former owner of a chunk, is refused as fenced") {
  SetUp();
  FeedMessage(kBatch, MakeBatch(1, Fence{5}));
  FeedMessage(kBatch, MakeBatch(2, Fence{4}));
  CHECK(IsRefused(RefusalCode::kFenced, RunState::kNotRun));
}

// Guards against new work in a zone that operators have taken out.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, zone out, refuses, hands batch back and finishes "
                  "online") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kBatch, MakeBatch(2));
  FeedMessage(kOnline, MakeUpdate(ConfigVersion{2}, {"z1"}));
  CHECK(cancelled == std::vector{started[1]});
  CHECK(Sent<Status>()->zone_out);
  Submit submit = MakeOnline(3);
  submit.config_version = ConfigVersion{2};
  FeedMessage(kOnline, submit);
  CHECK(IsRefused(RefusalCode::kZoneOut, RunState::kNotRun));
  Feed(EngineEnd{.call = started[0], .http_status = 200});
  CHECK(Sent<End>(kOnline));
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, stop requested, drains and finishes online work") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kBatch, MakeBatch(2));
  Feed(StopRequested{});
  CHECK(Sent<Status>(kBatch)->leaving);
  FeedMessage(kOnline, MakeOnline(3));
  CHECK(IsRefused(RefusalCode::kLeaving, RunState::kNotRun));
  Feed(EngineCancelled{started[1]});
  CHECK_FALSE(is_drained);
  Feed(EngineEnd{.call = started[0], .http_status = 200});
  CHECK(is_drained);
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, drain limit passes, breaks off with true run state") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  Feed(EngineStarted{started[0]});
  Feed(StopRequested{});
  now += options.drain_limit;
  Feed(Tick{});
  CHECK(IsRefused(RefusalCode::kLeaving, RunState::kRan));
  CHECK(cancelled.size() == 1);
  CHECK(is_drained);
}

// Guards against answers for callers that are gone and calls that go on.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, cancelled or lost attempt, ends without an answer") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kOnline, MakeOnline(2));
  FeedMessage(kOnline, Cancel{AttemptId{1}});
  CHECK(cancelled.size() == 1);
  Feed(LinkDown{kOnline, ""});
  CHECK(cancelled.size() == 2);
  Feed(EnginePart{started[0], "late"});
  CHECK_FALSE(Sent<Part>());
  Feed(EngineCancelled{started[0]});
  CHECK_FALSE(Sent<Refused>());
  Feed(EngineEnd{.call = started[1], .http_status = 200});
  CHECK_FALSE(Sent<End>());
}

TEST_CASE_FIXTURE(GateFixture,
                  "Gate, engine fails or is slow, window falls to cold") {
  SetUp();
  for (std::uint64_t i = 0; i < 5; ++i) {
    FeedMessage(kOnline, MakeOnline(i));
    Feed(EnginePart{started.back(), "a"});
    Feed(EngineEnd{.call = started.back(), .http_status = 200});
  }
  CHECK(gate.window() == 4);
  FeedMessage(kOnline, MakeOnline(10));
  Feed(EngineFailed{.call = started.back(), .run_state = RunState::kNotRun});
  CHECK(IsRefused(RefusalCode::kBackendFailed, RunState::kNotRun));
  CHECK(gate.window() == 2);
  FeedMessage(kOnline, MakeOnline(11));
  FeedMessage(kOnline, MakeOnline(12));
  Feed(EnginePart{started[6], "a"});
  Feed(EngineEnd{.call = started[6], .http_status = 200});
  Feed(EnginePart{started[7], "a"});
  CHECK(gate.window() == 3);
  FeedMessage(kOnline, MakeOnline(13));
  now += milliseconds(101);
  Feed(EnginePart{started[8], "a"});
  CHECK(gate.window() == 2);
}

// Guards against a flood of hints and against entries that hear nothing.
TEST_CASE_FIXTURE(GateFixture,
                  "Gate, load changes, sends status within its intervals") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  CHECK_FALSE(Sent<Status>());
  now += Gate::kStatusMinInterval;
  Feed(Tick{});
  CHECK(Sent<Status>(kOnline)->running_online == 1);
  CHECK(Sent<Status>(kOnline)->cold);
  now += Gate::kStatusMinInterval;
  Feed(Tick{});
  CHECK_FALSE(Sent<Status>());
  now += Gate::kStatusMaxInterval;
  Feed(Tick{});
  CHECK(Sent<Status>(kBatch));
}

TEST_CASE_FIXTURE(GateFixture, "Gate, room in the window, offers it to batch") {
  SetUp();
  CHECK(Sent<BatchCapacity>(kBatch)->items == 2);
  CHECK_FALSE(Sent<BatchCapacity>(kOnline));
  FeedMessage(kBatch, MakeBatch(1));
  FeedMessage(kBatch, MakeBatch(2));
  CHECK_FALSE(Sent<BatchCapacity>());
  Feed(EngineEnd{.call = started[0], .http_status = 200});
  CHECK(Sent<BatchCapacity>()->items == 1);
  Feed(LinkDown{kBatch, ""});
  now += Gate::kStatusMaxInterval;
  Feed(Tick{});
  CHECK_FALSE(Sent<BatchCapacity>());
}

}  // namespace
}  // namespace carawayrelay
