#include <doctest/doctest.h>

#include <map>

#include "process/dispatcher_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ReadyDispatcherFixture : DispatcherFixture {
  ReadyDispatcherFixture() { Adopt(1); }

  void CheckRefused(RefusalCode code, RunState run_state) {
    const auto refuse = Take<Refuse>();
    REQUIRE(refuse);
    CHECK(refuse->refusal.code == code);
    CHECK(refuse->refusal.run_state == run_state);
  }
};

// Guards against serving before the keys are known.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "Dispatcher, no configuration, refuses as not ready") {
  Arrive(Call("m"));
  CHECK(Take<Refuse>()->refusal.code == RefusalCode::kNotReady);
  CHECK_FALSE(Take<ReportReady>());
}

TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, access checks, refuse with their codes") {
  Connect(1);
  ClientRequest wrong = Call("m");
  wrong.bearer_token = "cr_w_other";
  Arrive(wrong);
  CheckRefused(RefusalCode::kUnauthorized, RunState::kNotRun);
  Arrive(Call("missing"));
  CheckRefused(RefusalCode::kNotFound, RunState::kNotRun);
  Arrive(Call("private"));
  CheckRefused(RefusalCode::kForbidden, RunState::kNotRun);
  Arrive(Call("m", "slow"));
  CHECK_FALSE(Take<Refuse>());
  Arrive(Call("m", "slow"));
  CheckRefused(RefusalCode::kRateLimited, RunState::kNotRun);
}

// Guards against running an open route for the workspace of a key.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, open route, runs for no workspace") {
  Connect(1);
  Arrive(Call("open"));
  Arrive(Call("open", ""));
  for (int i = 0; i < 2; ++i) {
    const auto sent = TakeSent<Submit>();
    REQUIRE(sent);
    CHECK(std::get<Submit>(sent->message).workspace.empty());
  }
}

TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, whole stream, is forwarded and finished") {
  Connect(1);
  ClientRequest call = Call("m");
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

// Guards against passing on an answer with a gap or without its end.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, stream with a gap, is broken and cancelled") {
  Connect(1);
  ClientRequest call = Call("m");
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
  const auto broken = Take<BreakStream>();
  REQUIRE(broken);
  CHECK(broken->refusal.run_state == RunState::kRan);
  CHECK_FALSE(Take<FinishStream>());
}

// Guards against a late answer that reaches another caller.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, frame of another connection, is dropped") {
  Connect(1);
  Connect(2);
  Arrive(Call("m"));
  const auto submit = TakeSent<Submit>();
  const std::uint64_t other = 3 - ToInt(submit->connection);
  Receive(other, End{.attempt = AttemptOf(*submit), .http_status = 200});
  CHECK_FALSE(Take<Answer>());
  CHECK(dispatcher->counters().dropped_frames == 1);
}

// Guards against a request that no free agent gets to see.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, window full, waits and runs when it is free") {
  Connect(1, "z1", 1);
  Arrive(Call("m"));
  Arrive(Call("m"));
  const auto first = TakeSent<Submit>();
  CHECK_FALSE(TakeSent<Submit>());
  Receive(*first, End{.attempt = AttemptOf(*first), .http_status = 200});
  CHECK(TakeSent<Submit>());
}

TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, deadline, ends with the true run state") {
  SUBCASE("waiting") {
    Arrive(Call("m"));
    Wait(options.time_limit);
    CheckRefused(RefusalCode::kNoBackend, RunState::kNotRun);
  }
  SUBCASE("running") {
    Connect(1);
    Arrive(Call("m"));
    Wait(options.time_limit);
    CheckRefused(RefusalCode::kDeadline, RunState::kUnknown);
    CHECK(TakeSent<Cancel>());
  }
}

// Guards against an agent that refuses work and gets the same request again.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, agent leaves, request goes to another one") {
  Connect(1);
  Connect(2);
  Arrive(Call("m"));
  const auto first = TakeSent<Submit>();
  RefuseAttempt(*first, RefusalCode::kLeaving, RunState::kNotRun);
  const auto second = TakeSent<Submit>();
  REQUIRE(second);
  CHECK(second->connection != first->connection);
  CHECK(AttemptOf(*second) != AttemptOf(*first));
  CHECK_FALSE(Take<Refuse>());
}

// Guards against a false not_run after an earlier attempt that may have run,
// and against an answer with text of a failed attempt.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, connection lost, repeats and remembers it") {
  Connect(1);
  Arrive(Call("m"));
  const auto first = TakeSent<Submit>();
  Receive(*first, Part{.attempt = AttemptOf(*first), .data = "lost"});
  Connect(2);
  Handle(LinkDown{.connection = ConnectionId{1}});
  const auto second = TakeSent<Submit>();
  REQUIRE(second);
  const AttemptId attempt = AttemptOf(*second);
  SUBCASE("second attempt answers") {
    Receive(*second, Part{.attempt = attempt, .data = "whole"});
    Receive(*second, End{.attempt = attempt, .parts = 1, .http_status = 200});
    CHECK(Take<Answer>()->body == "whole");
  }
  SUBCASE("second attempt is refused") {
    RefuseAttempt(*second, RefusalCode::kInvalidRequest, RunState::kNotRun);
    CheckRefused(RefusalCode::kInvalidRequest, RunState::kRan);
  }
}

// Guards against an agent that says not_run after parts of an answer.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, not_run after a part, counts as run") {
  Connect(1);
  Arrive(Call("once"));
  const auto submit = TakeSent<Submit>();
  Receive(*submit, Part{.attempt = AttemptOf(*submit), .data = "a"});
  RefuseAttempt(*submit, RefusalCode::kLeaving, RunState::kNotRun);
  CheckRefused(RefusalCode::kLeaving, RunState::kRan);
}

// Guards against a busy route that starves another one on the same agent.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, two busy routes on one agent, take turns") {
  Connect(1, "z1", 1);
  for (int i = 0; i < 8; ++i) {
    Arrive(Call("m"));
    Arrive(Call("open"));
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

// Guards against a lost wake-up when the only agent was full for a moment.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, agent was full, is tried again in time") {
  Connect(1);
  Arrive(Call("m"));
  for (int i = 0; i < 5; ++i) {
    const auto submit = TakeSent<Submit>();
    REQUIRE(submit);
    RefuseAttempt(*submit, RefusalCode::kWindowFull, RunState::kNotRun);
    CHECK_FALSE(TakeSent<Submit>());
    const auto next = dispatcher->NextDeadline();
    REQUIRE(next);
    Wait(*next - now);
  }
  CHECK_FALSE(Take<Refuse>());
}

// Guards against work under a key that operators have withdrawn.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, key withdrawn, ends its requests only") {
  Connect(1, "z1", 1);
  Arrive(Call("m"));
  Arrive(Call("m"));
  Arrive(Call("m", "slow"));
  REQUIRE(TakeSent<Submit>());
  SUBCASE("removed") {
    document.keys.erase(document.keys.begin());
  }
  SUBCASE("issued anew with another secret") {
    document.keys[0].hash = Sha256Hex("sother");
  }
  Adopt(2);
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

// Guards against new work in a zone that was taken out of service.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, zones out, get no new work") {
  Connect(1, "z1");
  Connect(2, "z2");
  SUBCASE("zone of the backend") {
    document.zones_out = {"z2"};
    Adopt(2);
    for (int i = 0; i < 5; ++i) {
      Arrive(Call("m"));
    }
    while (const auto submit = TakeSent<Submit>()) {
      CHECK(submit->connection == ConnectionId{1});
    }
  }
  SUBCASE("own zone") {
    CHECK(Take<ReportReady>()->ready);
    document.zones_out = {"z1"};
    Adopt(2);
    CHECK_FALSE(Take<ReportReady>()->ready);
    Arrive(Call("m"));
    CHECK(TakeSent<Submit>()->connection == ConnectionId{2});
    Wait(options.zone_out_grace);
    Arrive(Call("m"));
    CheckRefused(RefusalCode::kZoneOut, RunState::kNotRun);
    document.zones_out.clear();
    Adopt(3);
    CHECK(Take<ReportReady>()->ready);
  }
}

// Guards against an entry that keeps working under an old configuration.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, stale configuration, adopts and checks again") {
  Connect(1, "z1", 4, 2);
  Arrive(Call("m"));
  const auto submit = TakeSent<Submit>();
  REQUIRE(submit);
  Receive(1, ConfigUpdate{.version = ConfigVersion{2}});
  CHECK(Take<ProposeConfig>()->update.version == ConfigVersion{2});
  RefuseAttempt(*submit, RefusalCode::kStaleConfig, RunState::kNotRun);
  CHECK_FALSE(TakeSent<Submit>());
  SUBCASE("still allowed") {
    Adopt(2);
    const auto again = TakeSent<Submit>();
    REQUIRE(again);
    CHECK(std::get<Submit>(again->message).config_version == ConfigVersion{2});
  }
  SUBCASE("no longer allowed") {
    document.routes[0].workspaces = {"slow"};
    Adopt(2);
    CheckRefused(RefusalCode::kForbidden, RunState::kNotRun);
    CHECK_FALSE(TakeSent<Submit>());
  }
  SUBCASE("update does not come") {
    Wait(options.time_limit);
    CheckRefused(RefusalCode::kStaleConfig, RunState::kNotRun);
  }
}

// Guards against configurations that reach agents late or go back.
TEST_CASE_FIXTURE(
    ReadyDispatcherFixture,
    "Dispatcher, agent with an older version, is sent the newer") {
  Connect(1, "z1", 4, 0);
  CHECK(TakeSent<ConfigUpdate>());
  Adopt(3);
  CHECK(TakeSent<ConfigUpdate>());
  Adopt(2);
  CHECK_FALSE(TakeSent<ConfigUpdate>());
  CHECK(dispatcher->config_version() == ConfigVersion{3});
}

// Guards against a planned stop that interrupts a request.
TEST_CASE_FIXTURE(ReadyDispatcherFixture,
                  "Dispatcher, stop, finishes requests and refuses new ones") {
  Connect(1);
  Arrive(Call("m"));
  const auto submit = TakeSent<Submit>();
  Handle(StopRequested{});
  Arrive(Call("m"));
  CheckRefused(RefusalCode::kLeaving, RunState::kNotRun);
  CHECK_FALSE(Take<Drained>());
  Receive(*submit, End{.attempt = AttemptOf(*submit), .http_status = 200});
  CHECK(Take<Answer>());
  CHECK(Take<Drained>());
}

struct IntentFixture : ReadyDispatcherFixture {
  RequestId id{0};

  IntentFixture() {
    Connect(1);
    ClientRequest call = Call("once");
    call.idempotency_key = "k";
    id = Arrive(call);
  }
};

// Guards against running a request before its record is durable.
TEST_CASE_FIXTURE(IntentFixture, "Dispatcher, intent, runs once recorded") {
  CHECK(Take<RecordIntent>()->key == "k");
  CHECK_FALSE(TakeSent<Submit>());
  Handle(IntentRecorded{.request = id, .workspace = "w", .key = "k"});
  const auto submit = TakeSent<Submit>();
  REQUIRE(submit);
  SUBCASE("answer is stored, also when the caller left") {
    Handle(CallerGone{id});
    CHECK_FALSE(TakeSent<Cancel>());
    Receive(*submit, Part{.attempt = AttemptOf(*submit), .data = "x"});
    Receive(*submit,
            End{.attempt = AttemptOf(*submit), .parts = 1, .http_status = 201});
    const auto complete = Take<CompleteIntent>();
    REQUIRE(complete);
    CHECK(complete->answer.body == "x");
    CHECK_FALSE(Take<Answer>());
  }
  SUBCASE("unknown outcome keeps the row") {
    Handle(LinkDown{.connection = ConnectionId{1}});
    CheckRefused(RefusalCode::kConnectionLost, RunState::kUnknown);
    CHECK_FALSE(Take<ReleaseIntent>());
  }
  SUBCASE("known not to have run frees the row") {
    RefuseAttempt(*submit, RefusalCode::kLeaving, RunState::kNotRun);
    CheckRefused(RefusalCode::kLeaving, RunState::kNotRun);
    CHECK(Take<ReleaseIntent>());
  }
}

TEST_CASE_FIXTURE(IntentFixture, "Dispatcher, intent exists, never runs") {
  SUBCASE("with an answer") {
    Handle(IntentExists{.request = id,
                        .answer = StoredAnswer{.http_status = 201}});
    CHECK(Take<Answer>()->http_status == 201);
  }
  SUBCASE("without one") {
    Handle(IntentExists{.request = id});
    CheckRefused(RefusalCode::kConflict, RunState::kUnknown);
  }
  SUBCASE("with other content") {
    Handle(IntentExists{.request = id, .same_content = false});
    CheckRefused(RefusalCode::kConflict, RunState::kNotRun);
  }
  SUBCASE("store down") {
    Handle(IntentFailed{.request = id});
    CheckRefused(RefusalCode::kStoreDown, RunState::kNotRun);
  }
  SUBCASE("recorded after the deadline") {
    Wait(options.time_limit);
    CheckRefused(RefusalCode::kStoreDown, RunState::kNotRun);
    Handle(IntentRecorded{.request = id, .workspace = "w", .key = "k"});
    CHECK(Take<ReleaseIntent>());
  }
  CHECK_FALSE(TakeSent<Submit>());
}

}  // namespace
}  // namespace carawayrelay
