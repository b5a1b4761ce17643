#include "process/forward/online_forwarder.h"

#include <set>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct OnlineForwarderFixture : ServingFixture {
  RunnerDirectory runners{1};
  Allowances allowances{"node-0"};
  std::vector<ClientAnswer> answers;
  OnlineForwarder forwarder{{.zone = "zone-1", .max_holds = 0},
                            runners,
                            allowances,
                            calls,
                            clock,
                            [this](ClientId, ClientAnswer answer) {
                              answers.push_back(std::move(answer));
                            }};
  ServingRoute route{.name = "r",
                     .host = "h",
                     .prefix = "/x/",
                     .call_class = CallClass::kStream,
                     .is_open = true,
                     .time_limit = milliseconds(5000),
                     .max_attempts = 2,
                     .services = {{.service = "llm"}}};

  OnlineForwarderFixture() {
    runners.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")},
                  true, std::nullopt, now());
  }

  void Arrive() {
    forwarder.Arrive({.client = ClientId{1},
                      .request_id = "q1",
                      .host = "h",
                      .method = "POST",
                      .path = "/x/1",
                      .target = "/x/1?z",
                      .time_left = milliseconds(5000),
                      .tokens = 700,
                      .headers = {{"x-own", "1"}},
                      .body = "body",
                      .arrived = now()},
                     route, nullptr, now());
  }
  static HeaderList Signed() {
    return {{"x-carawayrelay-request-id", "q1"},
            {"x-carawayrelay-server-stamp", "s"}};
  }
  template <class T>
  int Count() const {
    return static_cast<int>(std::count_if(
        answers.begin(), answers.end(),
        [](const auto& answer) { return std::holds_alternative<T>(answer); }));
  }
  std::string Parts() const {
    std::string text;
    for (const ClientAnswer& answer : answers) {
      if (const auto* part = std::get_if<AnswerPart>(&answer)) {
        text += part->bytes;
      }
    }
    return text;
  }
  const Refusal& LastRefusal() const {
    REQUIRE_FALSE(answers.empty());
    REQUIRE(std::holds_alternative<Refusal>(answers.back()));
    return std::get<Refusal>(answers.back());
  }
};

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, stream, forwards request and events") {
  Arrive();
  const OutboundCall call = BackendCall();
  CHECK(call.target == "/x/1?z");
  CHECK(call.body == "body");
  CHECK_FALSE(call.keeps_connection);
  CHECK(FindHeader(call.headers, "x-own") == "1");
  CHECK(FindHeader(call.headers, "x-carawayrelay-request-id") == "q1");
  Head(call.id, 200, Signed());
  Data(call.id, "id: 1\ndata: a\n\nid: 2\nda");
  CHECK(Parts() == "id: 1\ndata: a\n\n");
  Data(call.id, "ta: b\n\n");
  End(call.id);
  CHECK(Parts() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(Count<AnswerDone>() == 1);
  CHECK(forwarder.active() == 0);
}

// Guards against a second run of a request that may run once only.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, once-only stream cut, is not sent again") {
  Arrive();
  Fail(BackendCall().id, /*was_sent=*/true, "reset");
  CHECK(BackendCalls().empty());
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  CHECK(LastRefusal().code == RefusalCode::kBackendFailed);
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, connection refused, goes to another") {
  Arrive();
  const OutboundCall first = BackendCall();
  Fail(first.id, /*was_sent=*/false, "refused");
  CHECK(BackendCall().address != first.address);
  Fail(BackendCall().id, /*was_sent=*/false, "refused");
  // A refusal that says "not run" is true: nothing was sent.
  CHECK(LastRefusal().run_state == RunState::kNotRun);
  CHECK(LastRefusal().retry_after);
}

// Guards against a failing backend server that counts as sound, because its
// answer was passed on whole.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, signed 500, counts against its sender") {
  Arrive();
  const OutboundCall call = BackendCall();
  const std::string id =
      FindHeader(call.headers, "x-carawayrelay-target-instance");
  Respond(call.id, 500, Signed(), "failed");
  CHECK(Count<WholeAnswer>() == 1);
  CHECK(runners.Find(id)->failures == 1);
  CHECK(runners.Find(id)->avoid_until > now());
}

// Guards against a refusal because of entries whose backend servers crashed:
// five of them answered as other starts before the sixth could be asked.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, many entries of other starts, reaches the living one") {
  std::vector<StoredRow> entries;
  for (int i = 0; i < 6; ++i) {
    entries.push_back(BackendRow("old-" + std::to_string(i),
                                 "1.1.1.1" + std::to_string(i) + ":1"));
  }
  runners.Apply(entries, /*is_full=*/true, std::nullopt, now());
  Arrive();
  for (int i = 0; i < 5; ++i) {
    const OutboundId id = BackendCall().id;
    Head(id, 421);
    RemovePendingCall(id);
  }
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  Data(call.id, "id: 1\ndata: a\n\n");
  End(call.id);
  CHECK(Count<AnswerDone>() == 1);
}

// Guards against a refusal that says "not run" after a run may have begun.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, cut then declined, run stays unknown") {
  route.can_resume = true;
  route.max_attempts = 3;
  Arrive();
  Fail(BackendCall().id, /*was_sent=*/true, "reset");
  Respond(BackendCall().id, 503, {{"x-carawayrelay-not-executed", "1"}}, "");
  CHECK(LastRefusal().run_state == RunState::kUnknown);
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, backend server full, goes to another") {
  Arrive();
  const OutboundCall first = BackendCall();
  Head(first.id, 503, {{"x-carawayrelay-not-executed", "1"}});
  CHECK(BackendCall().address != first.address);
  Head(BackendCall().id, 421);
  CHECK(LastRefusal().run_state == RunState::kNotRun);
  CHECK(LastRefusal().code == RefusalCode::kNoBackend);
}

// Guards against events that are missing or come twice after a resumption.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, resumable stream cut, goes on after event") {
  route.can_resume = true;
  Arrive();
  const OutboundCall first = BackendCall();
  Head(first.id, 200, Signed());
  Data(first.id, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  Fail(first.id, /*was_sent=*/true, "cut");
  const OutboundCall second = BackendCall();
  CHECK(FindHeader(second.headers, "last-event-id") == "2");
  Head(second.id, 200, Signed());
  Data(second.id, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  End(second.id);
  CHECK(Parts() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(Count<AnswerHead>() == 1);
  CHECK(Count<AnswerDone>() == 1);
}

// Guards against a broken stream that passes for whole.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, stream ends inside an event, is broken") {
  Arrive();
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  Data(call.id, "id: 1\ndata: a\n\nid: 2\nda");
  End(call.id);
  CHECK(Count<AnswerBroken>() == 1);
  CHECK(Count<AnswerDone>() == 0);
}

// Guards against answers that belong to another request or to nobody.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, foreign or unsigned answer, not forwarded") {
  Arrive();
  Head(BackendCall().id, 200,
       {{"x-carawayrelay-request-id", "q0"},
        {"x-carawayrelay-server-stamp", "s"}});
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  answers.clear();
  Arrive();
  Head(BackendCall().id, 200, {{"x-carawayrelay-request-id", "q1"}});
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  CHECK(Count<AnswerHead>() == 0);
}

TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, failure of the backend, is passed as it is") {
  route.call_class = CallClass::kAtMostOnce;
  Arrive();
  Respond(BackendCall().id, 500, Signed(), "why");
  REQUIRE(Count<WholeAnswer>() == 1);
  CHECK(std::get<WholeAnswer>(answers.back()).status == 500);
  CHECK(std::get<WholeAnswer>(answers.back()).body == "why");
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, idempotent failure, is tried elsewhere") {
  route.call_class = CallClass::kIdempotent;
  Arrive();
  Respond(BackendCall().id, 500, Signed(), "why");
  Respond(BackendCall().id, 200, Signed(), "fine");
  CHECK(std::get<WholeAnswer>(answers.back()).body == "fine");
}

// Guards against work that goes on for a client that has left.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, client gone, call is cancelled") {
  Arrive();
  const OutboundId id = BackendCall().id;
  forwarder.ClientGone(ClientId{1});
  CHECK(cancelled == std::vector<OutboundId>{id});
  CHECK(runners.Find("a")->running + runners.Find("b")->running == 0);
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, time limit passes, final answer at once") {
  Arrive();
  Advance(milliseconds(5000));
  forwarder.Tick(now());
  CHECK(LastRefusal().code == RefusalCode::kDeadline);
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  CHECK(cancelled.size() == 1);
}

// Guards against a silent backend server that holds a stream which could be
// resumed elsewhere, and against resuming one that may run once only.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, silent stream, moves only if resumable") {
  Arrive();
  Advance(milliseconds(1500));
  forwarder.Tick(now());
  CHECK(cancelled.empty());
  forwarder.ClientGone(ClientId{1});
  cancelled.clear();
  route.can_resume = true;
  Arrive();
  const OutboundCall first = BackendCall();
  Advance(milliseconds(1500));
  forwarder.Tick(now());
  CHECK(cancelled == std::vector<OutboundId>{first.id});
  CHECK(BackendCall().address != first.address);
}

struct HoldFixture : OnlineForwarderFixture {
  OnlineForwarder holder{{.zone = "zone-1"},
                         runners,
                         allowances,
                         calls,
                         clock,
                         [this](ClientId, ClientAnswer answer) {
                           answers.push_back(std::move(answer));
                         }};

  void ArriveAtHolder() {
    holder.Arrive({.client = ClientId{1},
                   .request_id = "q1",
                   .host = "h",
                   .method = "POST",
                   .target = "/x/1",
                   .tokens = 700,
                   .arrived = now()},
                  route, nullptr, now());
  }
};

// Guards against a stream that queues while another backend server has room.
TEST_CASE_FIXTURE(HoldFixture,
                  "OnlineForwarder, no free slot, asks another for one") {
  ArriveAtHolder();
  const OutboundCall first = BackendCall();
  CHECK(first.target == "/hold-take");
  Respond(first.id, 503, {}, "");
  const OutboundCall second = BackendCall();
  CHECK(second.address != first.address);
  Respond(second.id, 200, {}, R"({"hold":"h7"})");
  const OutboundCall sent = BackendCall();
  CHECK(sent.address == second.address);
  CHECK(FindHeader(sent.headers, "x-carawayrelay-kv-hold") == "h7");
}

TEST_CASE_FIXTURE(HoldFixture,
                  "OnlineForwarder, no slot anywhere, sends without one") {
  ArriveAtHolder();
  Respond(BackendCall().id, 503, {}, "");
  Respond(BackendCall().id, 503, {}, "");
  CHECK(BackendCall().target == "/x/1");
  CHECK(FindHeader(BackendCall().headers, "x-carawayrelay-kv-hold").empty());
}

TEST_CASE_FIXTURE(HoldFixture,
                  "OnlineForwarder, slots not offered, stops asking") {
  ArriveAtHolder();
  Respond(BackendCall().id, 404, {}, "");
  CHECK(BackendCall().target == "/x/1");
  holder.ClientGone(ClientId{1});
  ArriveAtHolder();
  CHECK(BackendCall().target == "/x/1");
}

// Guards against a refusal that says "unknown" for a request never sent.
TEST_CASE_FIXTURE(
    HoldFixture,
    "OnlineForwarder, client leaves while a slot is asked, ends") {
  ArriveAtHolder();
  holder.ClientGone(ClientId{1});
  CHECK(cancelled.size() == 1);
  CHECK(holder.active() == 0);
  CHECK(BackendCalls().empty());
}

}  // namespace
}  // namespace carawayrelay
