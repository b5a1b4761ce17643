#include "process/forward/pace_prober.h"

#include "process/forward/online_forwarder.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PaceProberFixture : ServingFixture {
  BackendDirectory backends{1};
  RateAdmission rates{"node-0", 1,
                      [](const std::string&, const RateMessage&) {}};
  PromptQuarantine quarantine;
  PromptTrials trials{"node", quarantine, store, clock};
  OnlineForwarder forwarder{{.zone = "zone-1", .max_reservation_attempts = 0},
                            backends,
                            rates,
                            quarantine,
                            trials,
                            calls,
                            clock,
                            [](ClientCallId, ClientResponseEvent) {}};
  ServingRoute route{.name = "r",
                     .host = "h",
                     .prefix = "/x/",
                     .call_class = CallClass::kStream,
                     .is_open = true,
                     .time_limit = milliseconds(5000),
                     .max_attempts = 2,
                     .services = {{.service = "llm"}}};

  PaceProberFixture() {
    backends.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")},
                   true, std::nullopt, now());
    forwarder.prober().SetHealthPaths({{"llm", "/healthz"}});
  }

  void TellPace() {
    backends.NoteLoad(*backends.Find("a"), {.slots = 8, .pace = 1}, now());
  }
  void SendRequest() {
    forwarder.HandleRequest({.client = ClientCallId{1},
                             .request_id = "q1",
                             .host = "h",
                             .method = "POST",
                             .path = "/x/1",
                             .target = "/x/1",
                             .arrived = now()},
                            route, nullptr, now());
  }
  std::vector<OutboundCall> Probes() const {
    std::vector<OutboundCall> probes = BackendCalls();
    std::erase_if(probes, [](const OutboundCall& call) {
      return call.target != "/healthz";
    });
    return probes;
  }
  void AnswerProbe(const std::string& address, const std::string& load) {
    for (const OutboundCall& probe : Probes()) {
      if (probe.address == address) {
        Respond(probe.id, 200, {{"x-carawayrelay-server-load", load}}, "ok");
      }
    }
  }
};

// Guards against a request that goes to a server that has just become slow.
TEST_CASE_FIXTURE(PaceProberFixture,
                  "PaceProber, servers send figures, request goes to the "
                  "fastest after their answers") {
  TellPace();
  SendRequest();
  REQUIRE(Probes().size() == 2);
  CHECK(Probes()[0].total_timeout <= milliseconds(20));
  AnswerProbe("1.1.1.1:1", "0,0,8,170");
  CHECK(Probes().size() == 1);
  AnswerProbe("1.1.1.2:1", "1,0,8,70");
  CHECK(BackendCall().address == "1.1.1.2:1");
  CHECK(BackendCall().target == "/x/1");
  CHECK(forwarder.prober().counters().answered == 2);
}

// Guards against a request that waits for a server that does not answer.
TEST_CASE_FIXTURE(PaceProberFixture,
                  "PaceProber, probe gets no answer, another server gets the "
                  "request") {
  TellPace();
  SendRequest();
  for (const OutboundCall& probe : Probes()) {
    if (probe.address == "1.1.1.1:1") {
      Fail(probe.id, true, "Timeout was reached");
    }
  }
  AnswerProbe("1.1.1.2:1", "6,0,8,170");
  CHECK(BackendCall().address == "1.1.1.2:1");
  CHECK(forwarder.prober().counters().unanswered == 1);
}

// Guards against new calls in deployments that send no figures or name no
// health path, and against probes that go on when figures have ceased.
TEST_CASE_FIXTURE(PaceProberFixture,
                  "PaceProber, no figures or no path, sends no probe") {
  SendRequest();
  CHECK(Probes().empty());
  CHECK(BackendCalls().size() == 1);
  TellPace();
  Advance(seconds(11));
  CHECK_FALSE(forwarder.prober().Start(
      {.service = "llm"}, [] {}, now()));
  TellPace();
  forwarder.prober().SetHealthPaths({});
  CHECK_FALSE(forwarder.prober().Start(
      {.service = "llm"}, [] {}, now()));
}

// Guards against a request that is answered twice or touched after its end.
TEST_CASE_FIXTURE(PaceProberFixture,
                  "PaceProber, client left meanwhile, nothing is sent") {
  TellPace();
  SendRequest();
  forwarder.OnClientDisconnected(ClientCallId{1});
  AnswerProbe("1.1.1.1:1", "0,0,8,100");
  AnswerProbe("1.1.1.2:1", "0,0,8,100");
  CHECK(BackendCalls().empty());
}

// Guards against a flood of calls to the health path in a burst of requests.
TEST_CASE_FIXTURE(PaceProberFixture,
                  "PaceProber, many requests at once, probes are limited") {
  TellPace();
  int rounds = 0;
  for (int i = 0; i < 200; ++i) {
    rounds += forwarder.prober().Start(
                  {.service = "llm"}, [] {}, now())
                  ? 1
                  : 0;
  }
  CHECK(rounds > 5);
  CHECK(Probes().size() <= 30);
}

}  // namespace
}  // namespace carawayrelay
