#include <doctest/doctest.h>

#include <map>

#include "process/dispatcher_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ReadyDispatcherFixture : DispatcherFixture {
  ReadyDispatcherFixture() { AdoptConfig(1); }

  void CheckRefused(RefusalCode code, RunState run_state) {
    const auto refuse = Take<Refuse>();
    REQUIRE(refuse);
    CHECK(refuse->refusal.code == code);
    CHECK(refuse->refusal.run_state == run_state);
  }
};

// Guards against accepting requests before a configuration with the API keys is
// loaded.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "Dispatcher, no configuration, refuses as not ready") {
  Arrive(MakeCall("m"));
  CHECK(Take<Refuse>()->refusal.code == RefusalCode::kNotReady);
  CHECK_FALSE(Take<ReportReady>());
}

// Guards against accepting a request with an invalid key, an unknown route, a
// route of another workspace or an exceeded rate limit.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, denied access, refuses with the matching code") {
  Connect(1);
  ClientRequest wrong = MakeCall("m");
  wrong.bearer_token = "cr_w_other";
  Arrive(wrong);
  CheckRefused(RefusalCode::kUnauthorized, RunState::kNotRun);
  Arrive(MakeCall("missing"));
  CheckRefused(RefusalCode::kNotFound, RunState::kNotRun);
  Arrive(MakeCall("private"));
  CheckRefused(RefusalCode::kForbidden, RunState::kNotRun);
  Arrive(MakeCall("m", "slow"));
  CHECK_FALSE(Take<Refuse>());
  Arrive(MakeCall("m", "slow"));
  CheckRefused(RefusalCode::kRateLimited, RunState::kNotRun);
}

// Guards against attributing a request on an open route to the workspace of its
// key.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, open route, submits without a workspace") {
  Connect(1);
  Arrive(MakeCall("open"));
  Arrive(MakeCall("open", ""));
  for (int i = 0; i < 2; ++i) {
    const auto sent = TakeSent<Submit>();
    REQUIRE(sent);
    CHECK(std::get<Submit>(sent->message).workspace.empty());
  }
}

// Guards against lost or reordered parts and against a stream without an end.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, complete stream, is forwarded and finished") {
  Connect(1);
  ClientRequest call = MakeCall("m");
  call.stream = true;
  const RequestId id = Arrive(call);
  const auto submit = TakeSent<Submit>();
  REQUIRE(submit);
  const AttemptId attempt = AttemptOf(*submit);
  Receive(*submit, Part{.attempt = attempt, .sequence = 0, .data = "a"});
  Receive(*submit, Part{.attempt = attempt, .sequence = 1, .data = "b"});
  Receive(*submit, End{.attempt = attempt, .parts = 2, .http_status = 200});
  CHECK(Take<ForwardPart>()->data == "a");
  CHECK(Take<ForwardPart>()->data == "b");
  CHECK(Take<FinishStream>()->request == id);
}

// Guards against finishing a stream that has a missing part or no end.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, stream with a gap, is aborted and cancelled") {
  Connect(1);
  ClientRequest call = MakeCall("m");
  call.stream = true;
  Arrive(call);
  const auto submit = TakeSent<Submit>();
  const AttemptId attempt = AttemptOf(*submit);
  Receive(*submit, Part{.attempt = attempt, .sequence = 0, .data = "a"});
  SUBCASE("missing part") {
    Receive(*submit, Part{.attempt = attempt, .sequence = 2, .data = "c"});
    CHECK(TakeSent<Cancel>());
  }
  SUBCASE("end with another count") {
    Receive(*submit, End{.attempt = attempt, .parts = 2, .http_status = 200});
  }
  SUBCASE("lost connection") {
    Handle(LinkDown{.connection = ConnectionId{1}});
  }
  const auto broken = Take<AbortStream>();
  REQUIRE(broken);
  CHECK(broken->refusal.run_state == RunState::kRan);
  CHECK_FALSE(Take<FinishStream>());
}

// Guards against a frame from the connection of one agent that ends a request
// running on another agent, so that a client gets the wrong response.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, frame of another connection, is dropped") {
  Connect(1);
  Connect(2);
  Arrive(MakeCall("m"));
  const auto submit = TakeSent<Submit>();
  const std::uint64_t other = 3 - ToInt(submit->connection);
  Receive(other, End{.attempt = AttemptOf(*submit), .http_status = 200});
  CHECK_FALSE(Take<SendResponse>());
  CHECK(dispatcher->counters().dropped_frames == 1);
}

// Guards against a queued request that is not submitted when a slot becomes
// free.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, window full, submits when a slot becomes free") {
  Connect(1, "z1", 1);
  Arrive(MakeCall("m"));
  Arrive(MakeCall("m"));
  const auto first = TakeSent<Submit>();
  CHECK_FALSE(TakeSent<Submit>());
  Receive(*first, End{.attempt = AttemptOf(*first), .http_status = 200});
  CHECK(TakeSent<Submit>());
}

// Guards against a request that outlives its deadline, and against a run state
// of not_run for one that was submitted.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, deadline passed, reports the run state") {
  SUBCASE("waiting") {
    Arrive(MakeCall("m"));
    AdvanceTime(options.time_limit);
    CheckRefused(RefusalCode::kNoBackend, RunState::kNotRun);
  }
  SUBCASE("running") {
    Connect(1);
    Arrive(MakeCall("m"));
    AdvanceTime(options.time_limit);
    CheckRefused(RefusalCode::kDeadline, RunState::kUnknown);
    CHECK(TakeSent<Cancel>());
  }
}

// Guards against a retry on the agent that refused the request.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, agent leaving, retries on another agent") {
  Connect(1);
  Connect(2);
  Arrive(MakeCall("m"));
  const auto first = TakeSent<Submit>();
  RefuseAttempt(*first, RefusalCode::kLeaving, RunState::kNotRun);
  const auto second = TakeSent<Submit>();
  REQUIRE(second);
  CHECK(second->connection != first->connection);
  CHECK(AttemptOf(*second) != AttemptOf(*first));
  CHECK_FALSE(Take<Refuse>());
}

// Guards against a run state of not_run although an earlier attempt ran, and
// against a response with parts of a failed attempt.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, connection lost, retries and keeps run state") {
  Connect(1);
  Arrive(MakeCall("m"));
  const auto first = TakeSent<Submit>();
  Receive(*first, Part{.attempt = AttemptOf(*first), .data = "lost"});
  Connect(2);
  Handle(LinkDown{.connection = ConnectionId{1}});
  const auto second = TakeSent<Submit>();
  REQUIRE(second);
  const AttemptId attempt = AttemptOf(*second);
  SUBCASE("second attempt responds") {
    Receive(*second, Part{.attempt = attempt, .data = "whole"});
    Receive(*second, End{.attempt = attempt, .parts = 1, .http_status = 200});
    CHECK(Take<SendResponse>()->body == "whole");
  }
  SUBCASE("second attempt is refused") {
    RefuseAttempt(*second, RefusalCode::kInvalidRequest, RunState::kNotRun);
    CheckRefused(RefusalCode::kInvalidRequest, RunState::kRan);
  }
}

// Guards against accepting not_run from an agent that already sent a part of
// the response.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, not_run after a part, reports ran") {
  Connect(1);
  Arrive(MakeCall("once"));
  const auto submit = TakeSent<Submit>();
  Receive(*submit, Part{.attempt = AttemptOf(*submit), .data = "a"});
  RefuseAttempt(*submit, RefusalCode::kLeaving, RunState::kNotRun);
  CheckRefused(RefusalCode::kLeaving, RunState::kRan);
}

// Guards against one route that starves another one on the same agent.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, two busy routes on one agent, share its slots") {
  Connect(1, "z1", 1);
  for (int i = 0; i < 8; ++i) {
    Arrive(MakeCall("m"));
    Arrive(MakeCall("open"));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 8; ++i) {
    const auto submit = TakeSent<Submit>();
    REQUIRE(submit);
    ++served[std::get<Submit>(submit->message).route];
    Receive(*submit, End{.attempt = AttemptOf(*submit), .http_status = 200});
  }
  CHECK(served["m"] >= 2);
  CHECK(served["open"] >= 2);
}

// Guards against a request that stays queued after the only agent refused it
// with a full window.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, only agent was full, retries at its deadline") {
  Connect(1);
  Arrive(MakeCall("m"));
  for (int i = 0; i < 5; ++i) {
    const auto submit = TakeSent<Submit>();
    REQUIRE(submit);
    RefuseAttempt(*submit, RefusalCode::kWindowFull, RunState::kNotRun);
    CHECK_FALSE(TakeSent<Submit>());
    const auto next = dispatcher->NextDeadline();
    REQUIRE(next);
    AdvanceTime(*next - now);
  }
  CHECK_FALSE(Take<Refuse>());
}

// Guards against running requests under a key that was withdrawn.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, key withdrawn, ends its requests only") {
  Connect(1, "z1", 1);
  Arrive(MakeCall("m"));
  Arrive(MakeCall("m"));
  Arrive(MakeCall("m", "slow"));
  REQUIRE(TakeSent<Submit>());
  SUBCASE("removed") {
    document.keys.erase(document.keys.begin());
  }
  SUBCASE("reissued with another secret") {
    document.keys[0].hash = Sha256Hex("sother");
  }
  AdoptConfig(2);
  CHECK(TakeSent<Cancel>());
  bool has_unknown = false;
  for (int i = 0; i < 2; ++i) {
    const auto refuse = Take<Refuse>();
    REQUIRE(refuse);
    CHECK(refuse->refusal.code == RefusalCode::kUnauthorized);
    has_unknown |= refuse->refusal.run_state == RunState::kUnknown;
  }
  CHECK(has_unknown);
  const auto submit = TakeSent<Submit>();
  REQUIRE(submit);
  CHECK(std::get<Submit>(submit->message).workspace == "slow");
  CHECK_FALSE(TakeSent<Submit>());
}

// Guards against new requests in a zone that was taken out of service.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, zone out of service, submits nothing there") {
  Connect(1, "z1");
  Connect(2, "z2");
  SUBCASE("zone of the agent") {
    document.zones_out = {"z2"};
    AdoptConfig(2);
    for (int i = 0; i < 5; ++i) {
      Arrive(MakeCall("m"));
    }
    while (const auto submit = TakeSent<Submit>()) {
      CHECK(submit->connection == ConnectionId{1});
    }
  }
  SUBCASE("local zone") {
    CHECK(Take<ReportReady>()->ready);
    document.zones_out = {"z1"};
    AdoptConfig(2);
    CHECK_FALSE(Take<ReportReady>()->ready);
    Arrive(MakeCall("m"));
    CHECK(TakeSent<Submit>()->connection == ConnectionId{2});
    AdvanceTime(options.zone_out_grace);
    Arrive(MakeCall("m"));
    CheckRefused(RefusalCode::kZoneOut, RunState::kNotRun);
    document.zones_out.clear();
    AdoptConfig(3);
    CHECK(Take<ReportReady>()->ready);
  }
}

// Guards against retries under the old configuration after an agent reported a
// newer one.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, stale configuration, updates and rechecks") {
  Connect(1, "z1", 4, 2);
  Arrive(MakeCall("m"));
  const auto submit = TakeSent<Submit>();
  REQUIRE(submit);
  Receive(1, ConfigUpdate{.version = ConfigVersion{2}});
  CHECK(Take<ProposeConfig>()->update.version == ConfigVersion{2});
  RefuseAttempt(*submit, RefusalCode::kStaleConfig, RunState::kNotRun);
  CHECK_FALSE(TakeSent<Submit>());
  SUBCASE("still allowed") {
    AdoptConfig(2);
    const auto again = TakeSent<Submit>();
    REQUIRE(again);
    CHECK(std::get<Submit>(again->message).config_version == ConfigVersion{2});
  }
  SUBCASE("no longer allowed") {
    document.routes[0].workspaces = {"slow"};
    AdoptConfig(2);
    CheckRefused(RefusalCode::kForbidden, RunState::kNotRun);
    CHECK_FALSE(TakeSent<Submit>());
  }
  SUBCASE("update does not arrive") {
    AdvanceTime(options.time_limit);
    CheckRefused(RefusalCode::kStaleConfig, RunState::kNotRun);
  }
}

// Guards against agents that keep an old configuration, and against adopting a
// lower version.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, agent with an older version, gets the newer") {
  Connect(1, "z1", 4, 0);
  CHECK(TakeSent<ConfigUpdate>());
  AdoptConfig(3);
  CHECK(TakeSent<ConfigUpdate>());
  AdoptConfig(2);
  CHECK_FALSE(TakeSent<ConfigUpdate>());
  CHECK(dispatcher->config_version() == ConfigVersion{3});
}

// Guards against a graceful shutdown that interrupts a running request.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, stopping, finishes requests and refuses new") {
  Connect(1);
  Arrive(MakeCall("m"));
  const auto submit = TakeSent<Submit>();
  Handle(StopRequested{});
  Arrive(MakeCall("m"));
  CheckRefused(RefusalCode::kLeaving, RunState::kNotRun);
  CHECK_FALSE(Take<Drained>());
  Receive(*submit, End{.attempt = AttemptOf(*submit), .http_status = 200});
  CHECK(Take<SendResponse>());
  CHECK(Take<Drained>());
}

struct IntentFixture : ReadyDispatcherFixture {
  RequestId id{0};

  IntentFixture() {
    Connect(1);
    ClientRequest call = MakeCall("once");
    call.idempotency_key = "k";
    id = Arrive(call);
  }
};

// Guards against running a request before its intent row is durable.
TEST_CASE_FIXTURE(IntentFixture, "Dispatcher, intent, submits once recorded") {
  CHECK(Take<RecordIntent>()->key == "k");
  CHECK_FALSE(TakeSent<Submit>());
  Handle(IntentRecorded{.request = id, .workspace = "w", .key = "k"});
  const auto submit = TakeSent<Submit>();
  REQUIRE(submit);
  SUBCASE("response is stored after the client disconnected") {
    Handle(ClientDisconnected{id});
    CHECK_FALSE(TakeSent<Cancel>());
    Receive(*submit, Part{.attempt = AttemptOf(*submit), .data = "x"});
    Receive(*submit,
            End{.attempt = AttemptOf(*submit), .parts = 1, .http_status = 201});
    const auto complete = Take<CompleteIntent>();
    REQUIRE(complete);
    CHECK(complete->response.body == "x");
    CHECK_FALSE(Take<SendResponse>());
  }
  SUBCASE("unknown outcome keeps the intent row") {
    Handle(LinkDown{.connection = ConnectionId{1}});
    CheckRefused(RefusalCode::kConnectionLost, RunState::kUnknown);
    CHECK_FALSE(Take<ReleaseIntent>());
  }
  SUBCASE("not_run releases the intent row") {
    RefuseAttempt(*submit, RefusalCode::kLeaving, RunState::kNotRun);
    CheckRefused(RefusalCode::kLeaving, RunState::kNotRun);
    CHECK(Take<ReleaseIntent>());
  }
}

// Guards against running a request without an intent row of its own.
TEST_CASE_FIXTURE(IntentFixture,
                  "Dispatcher, intent not recorded, never submits") {
  SUBCASE("stored with a response") {
    Handle(IntentExists{.request = id,
                        .response = StoredResponse{.http_status = 201}});
    CHECK(Take<SendResponse>()->http_status == 201);
  }
  SUBCASE("stored without a response") {
    Handle(IntentExists{.request = id});
    CheckRefused(RefusalCode::kConflict, RunState::kUnknown);
  }
  SUBCASE("stored with other content") {
    Handle(IntentExists{.request = id, .same_content = false});
    CheckRefused(RefusalCode::kConflict, RunState::kNotRun);
  }
  SUBCASE("store unavailable") {
    Handle(IntentFailed{.request = id});
    CheckRefused(RefusalCode::kStoreDown, RunState::kNotRun);
  }
  SUBCASE("recorded after the deadline") {
    AdvanceTime(options.time_limit);
    CheckRefused(RefusalCode::kStoreDown, RunState::kNotRun);
    Handle(IntentRecorded{.request = id, .workspace = "w", .key = "k"});
    CHECK(Take<ReleaseIntent>());
  }
  CHECK_FALSE(TakeSent<Submit>());
}

}  // namespace
}  // namespace carawayrelay
