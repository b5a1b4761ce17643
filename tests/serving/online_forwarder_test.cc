#include "process/forward/online_forwarder.h"

#include <set>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct OnlineForwarderFixture : ServingFixture {
  BackendDirectory backends{1};
  RateAdmission rates{"node-0", 1,
                      [](const std::string&, const RateMessage&) {}};
  PromptQuarantine quarantine;
  PromptTrials trials{"node", quarantine, store, clock};
  std::vector<ClientResponseEvent> responses;
  std::vector<AttemptOutcome> outcomes;
  OnlineForwarder forwarder{
      {.zone = "zone-1",
       .max_reservation_attempts = 0,
       .observe_attempt = [this](const AttemptOutcome& o,
                                 TimePoint) { outcomes.push_back(o); }},
      backends,
      rates,
      quarantine,
      trials,
      calls,
      clock,
      [this](ClientCallId, ClientResponseEvent response) {
        responses.push_back(std::move(response));
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
    backends.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")},
                   true, std::nullopt, now());
  }

  void SendRequest() {
    forwarder.HandleRequest({.client = ClientCallId{1},
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
        responses.begin(), responses.end(), [](const auto& response) {
          return std::holds_alternative<T>(response);
        }));
  }
  std::string Parts() const {
    std::string text;
    for (const ClientResponseEvent& response : responses) {
      if (const auto* part = std::get_if<ResponseBodyPart>(&response)) {
        text += part->bytes;
      }
    }
    return text;
  }
  const Refusal& LastRefusal() const {
    REQUIRE_FALSE(responses.empty());
    REQUIRE(std::holds_alternative<Refusal>(responses.back()));
    return std::get<Refusal>(responses.back());
  }
};

// Guards against forwarding an event before it is complete.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, stream, forwards request and events") {
  SendRequest();
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
  CHECK(Count<ResponseEnd>() == 1);
  CHECK(forwarder.active() == 0);
}

// Guards against judging a backend server by wrong times: each attempt has its
// own, and a pause is the time between two events.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, attempt ends, reports what it showed") {
  route.can_resume = true;
  SendRequest();
  Advance(milliseconds(30));
  Fail(BackendCall().id, /*was_sent=*/true, "reset");
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].result == AttemptResult::kFailed);
  CHECK_FALSE(outcomes[0].first_event);
  const OutboundCall second = BackendCall();
  Head(second.id, 200, Signed());
  Advance(milliseconds(40));
  Data(second.id, "id: 1\ndata: a\n\n");
  Advance(milliseconds(70));
  Data(second.id, "id: 2\ndata: b\n\n");
  End(second.id);
  REQUIRE(outcomes.size() == 2);
  CHECK(outcomes[1].result == AttemptResult::kAnswered);
  CHECK(outcomes[1].backend_id != outcomes[0].backend_id);
  CHECK(outcomes[1].first_event == milliseconds(40));
  CHECK(outcomes[1].longest_pause == milliseconds(70));
  CHECK(outcomes[1].total == milliseconds(110));
  CHECK(outcomes[1].events == 2);
  CHECK(outcomes[1].tokens == 700);
}

// Guards against a second run of a request that may run only once.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, once-only stream cut, is not sent again") {
  SendRequest();
  Fail(BackendCall().id, /*was_sent=*/true, "reset");
  CHECK(BackendCalls().empty());
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  CHECK(LastRefusal().code == RefusalCode::kBackendFailed);
}

// Guards against a refusal that says "unknown" for a request that was never
// sent.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, connection refused, is sent to another server") {
  SendRequest();
  const OutboundCall first = BackendCall();
  Fail(first.id, /*was_sent=*/false, "refused");
  CHECK(BackendCall().address != first.address);
  Fail(BackendCall().id, /*was_sent=*/false, "refused");
  CHECK(LastRefusal().run_state == RunState::kNotRun);
  CHECK(LastRefusal().retry_after);
}

// Guards against a failing backend server that counts as healthy because its
// response was forwarded completely.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, signed 500, counts as a failure of the server") {
  SendRequest();
  const OutboundCall call = BackendCall();
  const std::string id =
      FindHeader(call.headers, "x-carawayrelay-target-instance");
  Respond(call.id, 500, Signed(), "failed");
  CHECK(Count<CompleteResponse>() == 1);
  CHECK(backends.Find(id)->consecutive_failures == 1);
  CHECK(backends.Find(id)->avoid_until > now());
}

// Guards against a refusal because of registrations whose backend servers
// crashed: five addresses belonged to other backend servers, and the request
// was refused before the sixth was tried.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, five replaced servers, reaches the running one") {
  std::vector<StoredRow> registrations;
  for (int i = 0; i < 6; ++i) {
    registrations.push_back(BackendRow("old-" + std::to_string(i),
                                       "1.1.1.1" + std::to_string(i) + ":1"));
  }
  backends.Apply(registrations, /*is_full=*/true, std::nullopt, now());
  SendRequest();
  for (int i = 0; i < 5; ++i) {
    const OutboundCallId id = BackendCall().id;
    Head(id, 421);
    RemovePendingCall(id);
  }
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  Data(call.id, "id: 1\ndata: a\n\n");
  End(call.id);
  CHECK(Count<ResponseEnd>() == 1);
}

// Guards against a refusal that says "not run" after a run may have started.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, cut and then declined, run is unknown") {
  route.can_resume = true;
  route.max_attempts = 3;
  SendRequest();
  Fail(BackendCall().id, /*was_sent=*/true, "reset");
  Respond(BackendCall().id, 503, {{"x-carawayrelay-not-executed", "1"}}, "");
  CHECK(LastRefusal().run_state == RunState::kUnknown);
}

// Guards against a refusal that says "unknown" although every backend server
// declined the request.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, backend server full, is sent to another server") {
  SendRequest();
  const OutboundCall first = BackendCall();
  Head(first.id, 503, {{"x-carawayrelay-not-executed", "1"}});
  CHECK(BackendCall().address != first.address);
  Head(BackendCall().id, 421);
  CHECK(LastRefusal().run_state == RunState::kNotRun);
  CHECK(LastRefusal().code == RefusalCode::kNoBackend);
}

// Guards against missing or repeated events after a stream is resumed.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, resumable stream cut, resumes after last event") {
  route.can_resume = true;
  SendRequest();
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
  CHECK(Count<ResponseHead>() == 1);
  CHECK(Count<ResponseEnd>() == 1);
}

// Guards against an incomplete stream that is reported as complete.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, stream ends inside an event, is broken") {
  SendRequest();
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  Data(call.id, "id: 1\ndata: a\n\nid: 2\nda");
  End(call.id);
  CHECK(Count<ResponseAborted>() == 1);
  CHECK(Count<ResponseEnd>() == 0);
}

// Guards against forwarding responses that belong to another request or that no
// backend server signed.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, foreign or unsigned response, is not forwarded") {
  SendRequest();
  Head(BackendCall().id, 200,
       {{"x-carawayrelay-request-id", "q0"},
        {"x-carawayrelay-server-stamp", "s"}});
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  responses.clear();
  SendRequest();
  Head(BackendCall().id, 200, {{"x-carawayrelay-request-id", "q1"}});
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  CHECK(Count<ResponseHead>() == 0);
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, server error, is forwarded unchanged") {
  route.call_class = CallClass::kAtMostOnce;
  SendRequest();
  Respond(BackendCall().id, 500, Signed(), "why");
  REQUIRE(Count<CompleteResponse>() == 1);
  CHECK(std::get<CompleteResponse>(responses.back()).status == 500);
  CHECK(std::get<CompleteResponse>(responses.back()).body == "why");
}

TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, idempotent request fails, is sent to another") {
  route.call_class = CallClass::kIdempotent;
  SendRequest();
  Respond(BackendCall().id, 500, Signed(), "why");
  Respond(BackendCall().id, 200, Signed(), "fine");
  CHECK(std::get<CompleteResponse>(responses.back()).body == "fine");
}

// Guards against work that continues after the client disconnected.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, client disconnected, call is cancelled") {
  SendRequest();
  const OutboundCallId id = BackendCall().id;
  forwarder.OnClientDisconnected(ClientCallId{1});
  CHECK(cancelled == std::vector<OutboundCallId>{id});
  CHECK(backends.Find("a")->own_calls + backends.Find("b")->own_calls == 0);
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, time limit passes, is refused at once") {
  SendRequest();
  Advance(milliseconds(5000));
  forwarder.Tick(now());
  CHECK(LastRefusal().code == RefusalCode::kDeadline);
  CHECK(LastRefusal().run_state == RunState::kUnknown);
  CHECK(cancelled.size() == 1);
}

// Guards against a stream that stays on a silent backend server although it
// could be resumed elsewhere, and against resuming a stream that may run only
// once.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, silent stream, is moved only if resumable") {
  SendRequest();
  Advance(milliseconds(1500));
  forwarder.Tick(now());
  CHECK(cancelled.empty());
  forwarder.OnClientDisconnected(ClientCallId{1});
  cancelled.clear();
  route.can_resume = true;
  SendRequest();
  const OutboundCall first = BackendCall();
  Advance(milliseconds(1500));
  forwarder.Tick(now());
  CHECK(cancelled == std::vector<OutboundCallId>{first.id});
  CHECK(BackendCall().address != first.address);
}

// Guards against a stalled server that sends a byte now and then and is never
// left.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, bytes but no event for long, is moved") {
  route.can_resume = true;
  SendRequest();
  const OutboundCall first = BackendCall();
  Head(first.id, 200, Signed());
  Data(first.id, "id: 1\ndata: a\n\n");
  for (int i = 0; i < 8 && IsPending(first.id); ++i) {
    Advance(milliseconds(100));
    Data(first.id, ": still here\n\n");
    forwarder.Tick(now());
  }
  CHECK_FALSE(IsPending(first.id));
  CHECK(BackendCall().address != first.address);
  CHECK(FindHeader(BackendCall().headers, "last-event-id") == "1");
}

// Guards against a slow but sound stream that is cut.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, events far apart, stream goes on") {
  route.can_resume = true;
  SendRequest();
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  for (int i = 1; i <= 6; ++i) {
    Advance(milliseconds(600));
    forwarder.Tick(now());
    REQUIRE(IsPending(call.id));
    Data(call.id, "id: " + std::to_string(i) + "\ndata: a\n\n");
  }
  End(call.id);
  CHECK(Count<ResponseEnd>() == 1);
}

// Guards against a stream without line ends that fills the memory.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, event without end, call is cancelled") {
  SendRequest();
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  const std::string piece(size_t{256} << 10, 'x');
  for (int i = 0; i < 5 && IsPending(call.id); ++i) {
    Data(call.id, piece);
  }
  CHECK(cancelled == std::vector<OutboundCallId>{call.id});
  CHECK(Count<ResponseAborted>() == 1);
  CHECK(Parts().empty());
}

// Guards against a crash before the first event that looks like a complete
// answer, because its body has neither a length nor chunks.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, undelimited stream without events, is "
                  "broken") {
  for (const std::string received : {"", "id: 1\nda"}) {
    responses.clear();
    SendRequest();
    const OutboundCall call = BackendCall();
    Head(call.id, 200, Signed());
    Data(call.id, received);
    End(call.id);
    CHECK(Count<ResponseAborted>() == 1);
    CHECK(Count<ResponseEnd>() == 0);
  }
}

TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, undelimited stream with events, is "
                  "complete") {
  SendRequest();
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Signed());
  Data(call.id, "id: 1\ndata: a\n\n");
  End(call.id);
  CHECK(Count<ResponseEnd>() == 1);
}

// Guards against an error of the next backend server that takes the place of
// the rest of a stream which has begun.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, resumed stream is answered with an error, "
                  "is broken") {
  route.can_resume = true;
  for (const int status : {400, 404, 422, 500}) {
    responses.clear();
    SendRequest();
    Head(BackendCall().id, 200, Signed());
    Data(BackendCall().id, "id: 1\ndata: a\n\n");
    Fail(BackendCall().id, /*was_sent=*/true, "cut");
    Respond(BackendCall().id, status, Signed(), "error text");
    CHECK(Count<CompleteResponse>() == 0);
    CHECK(Count<ResponseEnd>() == 0);
    CHECK(Count<ResponseAborted>() == 1);
    CHECK(Parts() == "id: 1\ndata: a\n\n");
  }
}

struct ReservationFixture : OnlineForwarderFixture {
  OnlineForwarder reserving_forwarder{
      {.zone = "zone-1"},
      backends,
      rates,
      quarantine,
      trials,
      calls,
      clock,
      [this](ClientCallId, ClientResponseEvent response) {
        responses.push_back(std::move(response));
      }};

  void SendWithReservation() {
    reserving_forwarder.HandleRequest({.client = ClientCallId{1},
                                       .request_id = "q1",
                                       .host = "h",
                                       .method = "POST",
                                       .target = "/x/1",
                                       .tokens = 700,
                                       .arrived = now()},
                                      route, nullptr, now());
  }
};

// Guards against a stream that queues while another backend server has a free
// slot.
TEST_CASE_FIXTURE(
    ReservationFixture,
    "OnlineForwarder, no free slot, reserves one at another server") {
  SendWithReservation();
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

TEST_CASE_FIXTURE(ReservationFixture,
                  "OnlineForwarder, no slot anywhere, is sent without one") {
  SendWithReservation();
  Respond(BackendCall().id, 503, {}, "");
  Respond(BackendCall().id, 503, {}, "");
  CHECK(BackendCall().target == "/x/1");
  CHECK(FindHeader(BackendCall().headers, "x-carawayrelay-kv-hold").empty());
}

// Guards against calls to a canary version that its share does not count: a
// reservation is a call of its own.
TEST_CASE_FIXTURE(ReservationFixture,
                  "OnlineForwarder, canary server chosen, reserves no slot") {
  int sent = 0;
  backends.SetVersionRule(
      [](const BackendRegistration& registration) {
        return registration.id == "b" ? VersionUse::kPreferred
                                      : VersionUse::kNormal;
      },
      [&](const BackendRegistration& registration) {
        sent += registration.id == "b" ? 1 : 0;
      });
  SendWithReservation();
  CHECK(BackendCall().address == "1.1.1.2:1");
  CHECK(BackendCall().target == "/x/1");
  CHECK(sent == 1);
}

// Guards against a reservation call before each request although the backend
// servers do not support it.
TEST_CASE_FIXTURE(ReservationFixture,
                  "OnlineForwarder, reservations not supported, are paused") {
  SendWithReservation();
  Respond(BackendCall().id, 404, {}, "");
  CHECK(BackendCall().target == "/x/1");
  reserving_forwarder.OnClientDisconnected(ClientCallId{1});
  SendWithReservation();
  CHECK(BackendCall().target == "/x/1");
}

// Guards against a reservation call that continues, and against a request that
// is sent or kept, after the client disconnected.
TEST_CASE_FIXTURE(ReservationFixture,
                  "OnlineForwarder, client disconnects while reserving, ends") {
  SendWithReservation();
  reserving_forwarder.OnClientDisconnected(ClientCallId{1});
  CHECK(cancelled.size() == 1);
  CHECK(reserving_forwarder.active() == 0);
  CHECK(BackendCalls().empty());
}

// The backend server "a" answers the first request and announces its shutdown;
// the store's list goes on to call it ready.
struct LeavingServerFixture : ReservationFixture {
  LeavingServerFixture() {
    backends.Apply({BackendRow("a", "1.1.1.1:1")}, true, std::nullopt, now());
  }
  static HeaderList Leaving(HeaderList headers) {
    headers.emplace_back("server-leaving", "1");
    return headers;
  }
  // Reads the list again and sends one more request.
  void CheckNotSentAgain() {
    backends.Apply({BackendRow("a", "1.1.1.1:1")}, true, now(), now());
    Advance(milliseconds(2500));
    responses.clear();
    SendRequest();
    CHECK(BackendCalls().empty());
    CHECK(LastRefusal().code == RefusalCode::kNoBackend);
    CHECK(LastRefusal().run_state == RunState::kNotRun);
  }
};

// Guards against requests that reach a backend server long after it announced
// its shutdown, in any kind of answer.
TEST_CASE_FIXTURE(LeavingServerFixture,
                  "OnlineForwarder, stream announces shutdown, goes on and is "
                  "the last one") {
  SendRequest();
  const OutboundCall call = BackendCall();
  Head(call.id, 200, Leaving(Signed()));
  Data(call.id, "id: 1\ndata: a\n\n");
  End(call.id);
  CHECK(Count<ResponseEnd>() == 1);
  CheckNotSentAgain();
}

TEST_CASE_FIXTURE(LeavingServerFixture,
                  "OnlineForwarder, whole answer announces shutdown, is the "
                  "last one") {
  SendRequest();
  Respond(BackendCall().id, 404, Leaving(Signed()), "none");
  CheckNotSentAgain();
}

TEST_CASE_FIXTURE(LeavingServerFixture,
                  "OnlineForwarder, refusal announces shutdown, is the last "
                  "one") {
  SendRequest();
  Head(BackendCall().id, 503, Leaving({{"x-carawayrelay-not-executed", "1"}}));
  CHECK(BackendCalls().empty());
  CheckNotSentAgain();
}

TEST_CASE_FIXTURE(LeavingServerFixture,
                  "OnlineForwarder, reservation announces shutdown, request is "
                  "not sent") {
  SendWithReservation();
  Respond(BackendCall().id, 200, Leaving({}), R"({"hold":"h1"})");
  CHECK(BackendCalls().empty());
  CheckNotSentAgain();
}

// Guards against an answer of the process that has the address now that takes
// out the one that was meant.
TEST_CASE_FIXTURE(LeavingServerFixture,
                  "OnlineForwarder, other process at the address announces "
                  "shutdown, later registration is used") {
  SendRequest();
  Head(BackendCall().id, 421, Leaving({}));
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  row.version = 5;
  backends.Apply({row}, true, std::nullopt, now());
  SendRequest();
  CHECK(BackendCalls().size() == 1);
}

// Guards against faulty servers that send bodies without end to many requests
// at the same time: each stays within its own limit, and all together fill the
// memory of a small VM.
TEST_CASE_FIXTURE(
    OnlineForwarderFixture,
    "OnlineForwarder, many bodies without end, bounded together") {
  route.call_class = CallClass::kAtMostOnce;
  constexpr std::uint64_t kRequests = 20;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    forwarder.HandleRequest({.client = ClientCallId{i},
                             .request_id = "q" + std::to_string(i),
                             .host = "h",
                             .method = "POST",
                             .path = "/x/1",
                             .target = "/x/1",
                             .arrived = now()},
                            route, nullptr, now());
  }
  const std::vector<OutboundCall> sent = BackendCalls();
  REQUIRE(sent.size() == kRequests);
  const std::string piece(size_t{64} << 10, 'x');
  size_t most = 0;
  for (int round = 0; round < 200; ++round) {
    for (const OutboundCall& call : sent) {
      if (round == 0) {
        Head(call.id, 500,
             {{"x-carawayrelay-request-id",
               FindHeader(call.headers, "x-carawayrelay-request-id")}});
      }
      if (IsPending(call.id)) {
        Data(call.id, piece);
      }
      most = std::max(most, forwarder.buffered_bytes());
    }
  }
  CHECK(most <= size_t{16} << 20);
  CHECK(BackendCalls().empty());
  CHECK(forwarder.active() == 0);
  CHECK(forwarder.buffered_bytes() == 0);
  CHECK(responses.size() == kRequests);
}

// Guards against a stop that leaves requests without an answer.
TEST_CASE_FIXTURE(OnlineForwarderFixture,
                  "OnlineForwarder, process stops, each request is answered") {
  SendRequest();
  SUBCASE("may have run") {
    forwarder.Stop(now());
    CHECK(LastRefusal().run_state == RunState::kUnknown);
    CHECK(LastRefusal().code == RefusalCode::kDeadline);
  }
  SUBCASE("stream has begun") {
    Head(BackendCall().id, 200, Signed());
    forwarder.Stop(now());
    CHECK(Count<ResponseAborted>() == 1);
  }
  CHECK(BackendCalls().empty());
  CHECK(forwarder.active() == 0);
}

}  // namespace
}  // namespace carawayrelay
