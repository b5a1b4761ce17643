#include "carawayrelay/process.h"

#include <doctest/doctest.h>

#include "process/admission_controller_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, streamed response, numbers and counts its parts") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(7));
  REQUIRE(started.size() == 1);
  Feed(BackendStarted{started[0]});
  Feed(BackendPart{started[0], "a"});
  Feed(BackendPart{started[0], "b"});
  CHECK(Sent<Part>()->sequence == 1);
  CHECK(Sent<Part>(kOnline)->attempt == AttemptId{7});
  Feed(BackendEnd{.call = started[0], .http_status = 200, .tokens = 9});
  CHECK(Sent<End>()->parts == 2);
  CHECK(Sent<End>()->tokens == 9);
}

// Guards against online requests that wait for batch calls to finish.
TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, online call while batch calls fill the "
                  "window, cancels the youngest batch call and starts") {
  SetUp();
  FeedMessage(kBatch, MakeBatch(1));
  FeedMessage(kBatch, MakeBatch(2));
  FeedMessage(kOnline, MakeOnline(3));
  REQUIRE(cancelled == std::vector{started[1]});
  CHECK(started.size() == 2);
  // A batch call must not take the slot that is freed for the online call.
  FeedMessage(kBatch, MakeBatch(4));
  CHECK(IsRefused(RefusalCode::kWindowFull, RunState::kNotRun));
  Feed(BackendCancelled{started[1]});
  CHECK(started.size() == 3);
  CHECK(Sent<Refused>(kBatch)->attempt == AttemptId{2});
  CHECK(IsRefused(RefusalCode::kCancelled, RunState::kRan));
}

TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, window full of online calls, refuses another") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kOnline, MakeOnline(2));
  FeedMessage(kOnline, MakeOnline(3));
  CHECK(IsRefused(RefusalCode::kWindowFull, RunState::kNotRun));
  // A second Submit with an id in use must not be refused as `not_run`, because
  // the call of the first one runs.
  FeedMessage(kOnline, MakeOnline(2));
  CHECK(IsRefused(RefusalCode::kInvalidRequest, RunState::kUnknown));
}

// Guards against requests that are admitted under a configuration that
// operators have replaced.
TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, entry with an older configuration, is refused and "
    "updated") {
  SetUp();
  FeedMessage(kOnline, MakeUpdate(ConfigVersion{2}));
  FeedMessage(kBatch, MakeBatch(1));
  CHECK(IsRefused(RefusalCode::kStaleConfig, RunState::kNotRun));
  CHECK(Sent<ConfigUpdate>(kBatch)->version == ConfigVersion{2});
  // A lower version never replaces a higher one.
  FeedMessage(kOnline, MakeUpdate(ConfigVersion{1}));
  CHECK(controller.config_version() == ConfigVersion{2});
  CHECK(Sent<ConfigUpdate>(kOnline)->version == ConfigVersion{2});
  Connect(ConnectionId{9}, LinkClass::kOnline, ConfigVersion{1});
  CHECK(Sent<ConfigUpdate>(ConnectionId{9}));
}

TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, no valid configuration, refuses as not ready") {
  Connect(kOnline, LinkClass::kOnline);
  ConfigUpdate update = MakeUpdate(ConfigVersion{1});
  update.document += " ";
  FeedMessage(kOnline, update);
  CHECK(controller.config_version() == kNoConfig);
  FeedMessage(kOnline, MakeOnline(1));
  CHECK(IsRefused(RefusalCode::kNotReady, RunState::kNotRun));
}

// Guards against requests that use a route that the agent does not serve or the
// workspace may not use, and against injected request headers.
TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, wrong route, workspace or header, "
                  "refuses the request") {
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

TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, older fencing number for a chunk, is "
                  "refused as fenced") {
  SetUp();
  FeedMessage(kBatch, MakeBatch(1, Fence{5}));
  FeedMessage(kBatch, MakeBatch(2, Fence{4}));
  CHECK(IsRefused(RefusalCode::kFenced, RunState::kNotRun));
}

// Guards against new requests in a zone that operators have taken out of
// service.
TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, zone out, refuses new calls, cancels "
                  "batch and finishes online") {
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
  Feed(BackendEnd{.call = started[0], .http_status = 200});
  CHECK(Sent<End>(kOnline));
}

TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, stop requested, cancels batch and "
                  "drains online calls") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kBatch, MakeBatch(2));
  Feed(StopRequested{});
  CHECK(Sent<Status>(kBatch)->leaving);
  FeedMessage(kOnline, MakeOnline(3));
  CHECK(IsRefused(RefusalCode::kLeaving, RunState::kNotRun));
  Feed(BackendCancelled{started[1]});
  CHECK_FALSE(is_drained);
  Feed(BackendEnd{.call = started[0], .http_status = 200});
  CHECK(is_drained);
}

TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, drain limit passed, reports running calls as run") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  Feed(BackendStarted{started[0]});
  Feed(StopRequested{});
  now += options.drain_limit;
  Feed(Tick{});
  CHECK(IsRefused(RefusalCode::kLeaving, RunState::kRan));
  CHECK(cancelled.size() == 1);
  CHECK(is_drained);
}

// Guards against responses sent for cancelled attempts or closed connections,
// and against their calls running on.
TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, cancelled attempt or closed "
                  "connection, sends no response") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  FeedMessage(kOnline, MakeOnline(2));
  FeedMessage(kOnline, Cancel{AttemptId{1}});
  CHECK(cancelled.size() == 1);
  Feed(LinkDown{kOnline, ""});
  CHECK(cancelled.size() == 2);
  Feed(BackendPart{started[0], "late"});
  CHECK_FALSE(Sent<Part>());
  Feed(BackendCancelled{started[0]});
  CHECK_FALSE(Sent<Refused>());
  Feed(BackendEnd{.call = started[1], .http_status = 200});
  CHECK_FALSE(Sent<End>());
}

TEST_CASE_FIXTURE(AdmissionControllerFixture,
                  "AdmissionController, backend server fails or is slow, "
                  "resets window to cold") {
  SetUp();
  for (std::uint64_t i = 0; i < 5; ++i) {
    FeedMessage(kOnline, MakeOnline(i));
    Feed(BackendPart{started.back(), "a"});
    Feed(BackendEnd{.call = started.back(), .http_status = 200});
  }
  CHECK(controller.window() == 4);
  FeedMessage(kOnline, MakeOnline(10));
  Feed(BackendFailed{.call = started.back(), .run_state = RunState::kNotRun});
  CHECK(IsRefused(RefusalCode::kBackendFailed, RunState::kNotRun));
  CHECK(controller.window() == 2);
  FeedMessage(kOnline, MakeOnline(11));
  FeedMessage(kOnline, MakeOnline(12));
  Feed(BackendPart{started[6], "a"});
  Feed(BackendEnd{.call = started[6], .http_status = 200});
  Feed(BackendPart{started[7], "a"});
  CHECK(controller.window() == 3);
  FeedMessage(kOnline, MakeOnline(13));
  now += milliseconds(101);
  Feed(BackendPart{started[8], "a"});
  CHECK(controller.window() == 2);
}

// Guards against too many Status messages and against entries that get none.
TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, load changes, limits the rate of status messages") {
  SetUp();
  FeedMessage(kOnline, MakeOnline(1));
  CHECK_FALSE(Sent<Status>());
  now += AdmissionController::kStatusMinInterval;
  Feed(Tick{});
  CHECK(Sent<Status>(kOnline)->running_online == 1);
  CHECK(Sent<Status>(kOnline)->cold);
  now += AdmissionController::kStatusMinInterval;
  Feed(Tick{});
  CHECK_FALSE(Sent<Status>());
  now += AdmissionController::kStatusMaxInterval;
  Feed(Tick{});
  CHECK(Sent<Status>(kBatch));
}

TEST_CASE_FIXTURE(
    AdmissionControllerFixture,
    "AdmissionController, free slots in the window, offers them to batch") {
  SetUp();
  CHECK(Sent<BatchCapacity>(kBatch)->items == 2);
  CHECK_FALSE(Sent<BatchCapacity>(kOnline));
  FeedMessage(kBatch, MakeBatch(1));
  FeedMessage(kBatch, MakeBatch(2));
  CHECK_FALSE(Sent<BatchCapacity>());
  Feed(BackendEnd{.call = started[0], .http_status = 200});
  CHECK(Sent<BatchCapacity>()->items == 1);
  Feed(LinkDown{kBatch, ""});
  now += AdmissionController::kStatusMaxInterval;
  Feed(Tick{});
  CHECK_FALSE(Sent<BatchCapacity>());
}

}  // namespace
}  // namespace carawayrelay
