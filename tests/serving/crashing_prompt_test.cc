#include <memory>

#include "process/forward/online_forwarder.h"
#include "process/quarantine/crash_report_exchange.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Two frontends that reach each other through the store only, and eight backend
// servers that crash when they answer a prompt with the part "dead". A crashed
// one is back after three seconds, as another start.
struct CrashingPromptFixture : ServingFixture {
  struct Frontend {
    Frontend(CrashingPromptFixture& fixture, const std::string& node)
        : rates(node, 1, [](const std::string&, const RateMessage&) {}),
          reports(node, quarantine, fixture.store, fixture.clock),
          trials(node, quarantine, fixture.store, fixture.clock),
          forwarder({.zone = "zone-1", .max_reservation_attempts = 0},
                    backends,
                    rates,
                    quarantine,
                    trials,
                    fixture.calls,
                    fixture.clock,
                    [&fixture](ClientCallId, ClientResponseEvent response) {
                      fixture.responses.push_back(std::move(response));
                    }) {
      backends.Apply(fixture.Registrations(), true, std::nullopt,
                     fixture.now());
    }

    BackendDirectory backends{1};
    RateAdmission rates;
    PromptQuarantine quarantine;
    CrashReportExchange reports;
    PromptTrials trials;
    OnlineForwarder forwarder;
  };

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(50)) {
      Advance(milliseconds(50));
      RestartServers();
      first.reports.Tick(now());
      second.reports.Tick(now());
      RunStore();
    }
  }
  void Send(Frontend& frontend, const PromptParts& parts) {
    const std::string id = "q" + std::to_string(++requests);
    frontend.forwarder.HandleRequest({.client = ClientCallId{requests},
                                      .request_id = id,
                                      .host = "h",
                                      .method = "POST",
                                      .path = "/x/1",
                                      .target = "/x/1",
                                      .time_left = milliseconds(5000),
                                      .prompt_parts = parts,
                                      .arrived = now()},
                                     route, nullptr, now());
    if (BackendCalls().empty()) {
      RunStore();  // a trial waits for the store
    }
    // Backend servers crash on the part "dead" and answer all other prompts.
    for (const OutboundCall& call : BackendCalls()) {
      if (std::ranges::find(parts, "dead") != parts.end() && !is_dead_sound) {
        ++runs_of_dead;
        Crash(call, id);
        continue;
      }
      HeaderList headers = {{"x-carawayrelay-request-id", id},
                            {"x-carawayrelay-server-stamp", "s"}};
      if (is_dead_sound) {
        headers.emplace_back("transfer-encoding", "chunked");
      }
      Head(call.id, 200, std::move(headers));
      Data(call.id, "id: 1\ndata: a\n\n");
      End(call.id);
    }
    Run(milliseconds(300));
  }
  // A crash closes the connections of all answers; without a length or chunks
  // that looks like their end.
  void Crash(const OutboundCall& call, const std::string& id) {
    if (events_before_crash > 0 || is_undelimited) {
      HeaderList headers = {{"x-carawayrelay-request-id", id},
                            {"x-carawayrelay-server-stamp", "s"}};
      if (!is_undelimited) {
        headers.emplace_back("transfer-encoding", "chunked");
      }
      Head(call.id, 200, std::move(headers));
    }
    for (int i = 1; i <= events_before_crash; ++i) {
      Data(call.id, "id: " + std::to_string(i) + "\ndata: a\n\n");
    }
    if (is_undelimited) {
      End(call.id);
    } else {
      Fail(call.id, /*was_sent=*/true, "Transferred a partial file");
    }
    servers[NumberOf(call.address)].down_until = now() + milliseconds(3000);
    RegisterServers();
  }
  std::vector<StoredRow> Registrations() {
    std::vector<StoredRow> registrations;
    for (const auto& [number, server] : servers) {
      if (!server.down_until) {
        const std::string name = std::to_string(number);
        registrations.push_back(
            BackendRow("server-" + name + "-" + std::to_string(server.starts),
                       "1.1.1." + name + ":1"));
      }
    }
    return registrations;
  }
  void RegisterServers() {
    first.backends.Apply(Registrations(), true, std::nullopt, now());
    second.backends.Apply(Registrations(), true, std::nullopt, now());
  }
  void RestartServers() {
    for (auto& [number, server] : servers) {
      if (server.down_until && now() >= *server.down_until) {
        server.down_until.reset();
        ++server.starts;
        RegisterServers();
      }
    }
  }
  static int NumberOf(const std::string& address) {
    return std::stoi(address.substr(address.rfind('.') + 1));
  }
  bool IsServed() const {
    return !responses.empty() &&
           std::holds_alternative<ResponseEnd>(responses.back());
  }

  struct Server {
    std::optional<TimePoint> down_until;
    int starts = 1;
  };
  std::map<int, Server> servers{{0, {}}, {1, {}}, {2, {}}, {3, {}},
                                {4, {}}, {5, {}}, {6, {}}, {7, {}}};
  std::vector<ClientResponseEvent> responses;
  ServingRoute route{.name = "r",
                     .host = "h",
                     .prefix = "/x/",
                     .call_class = CallClass::kStream,
                     .is_open = true,
                     .time_limit = milliseconds(5000),
                     .max_attempts = 1,
                     .services = {{.service = "llm"}}};
  Frontend first{*this, "edge-1"};
  Frontend second{*this, "edge-2"};
  std::uint64_t requests = 0;
  int runs_of_dead = 0;
  bool is_dead_sound = false;   // servers answer prompts with the part "dead"
  bool is_undelimited = false;  // whether crashes come within such an answer
  int events_before_crash = 0;
};

// Guards against requests with one crashing part that take down the backend
// servers one after the other: once 59 fell to one part within 22 s, because
// each frontend saw only single broken connections.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "Frontends, part crashes servers, later requests with it are "
                  "not sent") {
  Run(milliseconds(500));
  for (int i = 0; i < 20; ++i) {
    const std::string caller = "caller-" + std::to_string(i);
    Send(i % 2 == 0 ? first : second, {"common", caller, "dead"});
  }
  CHECK(runs_of_dead <= 5);
  const auto* refusal = std::get_if<Refusal>(&responses.back());
  REQUIRE(refusal);
  CHECK(refusal->code == RefusalCode::kQuarantined);
  CHECK(refusal->run_state == RunState::kNotRun);
  CHECK(refusal->retry_after);
}

// Guards against refusing sound requests that share their caller or their first
// part with the crashing ones.
TEST_CASE_FIXTURE(
    CrashingPromptFixture,
    "Frontends, part crashes servers, sound requests are served") {
  Run(milliseconds(500));
  for (int i = 0; i < 20; ++i) {
    Send(i % 2 == 0 ? first : second, {"common", "caller", "dead"});
    Send(i % 3 == 0 ? first : second, {"common", "caller"});
    CHECK(IsServed());
  }
  CHECK(runs_of_dead <= 5);
}

// Guards against crashes that are taken for empty answers.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "Frontends, crash ends an undelimited answer, later requests "
                  "are not sent") {
  is_undelimited = true;
  Run(milliseconds(500));
  for (int i = 0; i < 10; ++i) {
    Send(i % 2 == 0 ? first : second, {"common", "caller", "dead"});
  }
  CHECK(runs_of_dead <= 5);
}

// Guards against crashes after the first events of an answer, which were no
// evidence, and against an answer that clears a part before it is whole.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "Frontends, part crashes servers after events, later "
                  "requests with it are not sent") {
  events_before_crash = 3;
  Run(milliseconds(500));
  for (int i = 0; i < 20; ++i) {
    const std::string caller = "caller-" + std::to_string(i);
    Send(i % 2 == 0 ? first : second, {"common", caller, "dead"});
    Send(i % 3 == 0 ? first : second, {"common", caller});
    CHECK(IsServed());
  }
  CHECK(runs_of_dead <= 5);
}

// Guards against a retry that crashes one more server each: a request that may
// be repeated counts as often as it is sent.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "Frontends, repeatable request crashes servers, is not "
                  "repeated in quarantine") {
  route.can_resume = true;
  route.max_attempts = 3;
  Run(milliseconds(500));
  for (int i = 0; i < 10; ++i) {
    Send(i % 2 == 0 ? first : second, {"common", "caller", "dead"});
    for (int attempt = 1; attempt < 3; ++attempt) {
      for (const OutboundCall& call : BackendCalls()) {
        ++runs_of_dead;
        Fail(call.id, /*was_sent=*/true, "Transferred a partial file");
        Run(milliseconds(300));
      }
    }
  }
  CHECK(runs_of_dead <= 5);
  CHECK(BackendCalls().empty());
}

// Guards against a frontend that starts later and sends the part once more.
TEST_CASE_FIXTURE(
    CrashingPromptFixture,
    "Frontend, starts after the crashes, does not send the part") {
  Run(milliseconds(500));
  for (int i = 0; i < 4; ++i) {
    Send(first, {"caller", "dead"});
  }
  const int before = runs_of_dead;
  Frontend third(*this, "edge-3");
  Frontend restarted(*this, "edge-1");
  third.reports.Tick(now());
  restarted.reports.Tick(now());
  RunStore();
  Send(third, {"caller", "dead"});
  Send(restarted, {"caller", "dead"});
  CHECK(runs_of_dead == before);
}

// Guards against a sound prompt that is refused for minutes after crashes by
// chance: the frontend that saw the newest one may get no more requests with
// it.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "Frontends, servers crashed by chance, another frontend "
                  "tries the part and all serve it") {
  Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) {
    Send(first, {"caller", "dead"});
  }
  is_dead_sound = true;
  Send(second, {"caller", "dead"});
  REQUIRE_FALSE(IsServed());
  const auto* refusal = std::get_if<Refusal>(&responses.back());
  REQUIRE(refusal);
  REQUIRE(refusal->retry_after);
  CHECK(*refusal->retry_after <= milliseconds(10000));
  Run(milliseconds(10000));
  Send(second, {"caller", "dead"});
  CHECK(IsServed());
  Send(first, {"caller", "dead"});
  CHECK(IsServed());
}

// Guards against a request that waits for a store that does not answer, and
// against a right that is lost because its request has ended meanwhile.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "Frontend, store is slow to decide on a trial, request is "
                  "refused and the right is given back") {
  Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) {
    Send(first, {"caller", "dead"});
  }
  is_dead_sound = true;
  Run(milliseconds(10000));
  is_held = [](const OutboundCall& call) {
    return call.target.starts_with("/rows-tx");
  };
  const size_t before = responses.size();
  Send(second, {"caller", "dead"});
  CHECK(responses.size() == before);
  second.forwarder.Tick(now());
  REQUIRE(responses.size() == before + 1);
  const auto* refusal = std::get_if<Refusal>(&responses.back());
  REQUIRE(refusal);
  CHECK(refusal->code == RefusalCode::kQuarantined);
  CHECK(refusal->run_state == RunState::kNotRun);
  is_held = nullptr;
  RunStore();
  CHECK(BackendCalls().empty());
  Send(first, {"caller", "dead"});
  CHECK(IsServed());
}

}  // namespace
}  // namespace carawayrelay
