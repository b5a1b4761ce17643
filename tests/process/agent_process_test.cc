#include <doctest/doctest.h>

#include "process/admission_controller_fixture.h"
#include "process/backend_fixture.h"

namespace carawayrelay {
namespace {

// An agent with a backend server, and an entry that has an online and a batch
// connection to the agent.
struct AgentProcessFixture : BackendFixture {
  static constexpr const char* kListen = "127.0.0.1:18434";

  Ring<LinkEvent> events{1024};
  std::unique_ptr<AgentProcess> agent;
  std::unique_ptr<LinkThread> entry;
  std::optional<ConnectionId> online;
  std::optional<ConnectionId> batch;

  AgentProcessFixture() : BackendFixture("127.0.0.1:18433") {
    agent = AgentProcess::Make({.node = "a",
                                .zone = "z1",
                                .listen_address = kListen,
                                .backend_url = url(),
                                .routes = {"m"},
                                .window = {.cold = 1, .max = 1}})
                .value();
    entry =
        LinkThread::Make({.hello = {.node = "e"}}, [this](LinkEvent& event) {
          return events.TryPush(event);
        }).value();
    entry->SetDialTargets(
        {{kListen, LinkClass::kOnline}, {kListen, LinkClass::kBatch}});
    while (!online || !batch) {
      const auto event = events.PopUntil(BootClock::now() + kWaitTimeout);
      REQUIRE(event);
      if (const auto* up = std::get_if<LinkUp>(&*event)) {
        (up->peer.link_class == LinkClass::kBatch ? batch : online) =
            up->connection;
      }
    }
    entry->Send(*online,
                AdmissionControllerFixture::MakeUpdate(ConfigVersion{1}));
  }
  ~AgentProcessFixture() { entry->Stop(); }

  void Submit(ConnectionId connection,
              carawayrelay::Submit submit,
              std::string body) {
    submit.body = std::move(body);
    entry->Send(connection, std::move(submit));
  }
  template <class T>
  std::optional<T> Next() {
    const TimePoint limit = BootClock::now() + kWaitTimeout;
    while (std::optional<LinkEvent> event = events.PopUntil(limit)) {
      auto* message = std::get_if<LinkMessage>(&*event);
      if (message != nullptr && std::holds_alternative<T>(message->message)) {
        return std::get<T>(std::move(message->message));
      }
    }
    return std::nullopt;
  }
};

// Guards against events that are not passed between the threads, and against an
// online request that waits for a batch stream to end.
TEST_CASE_FIXTURE(AgentProcessFixture,
                  "AgentProcess, batch stream fills the window, online request "
                  "completes") {
  CHECK(Next<BatchCapacity>()->items == 1);
  Submit(*batch, AdmissionControllerFixture::MakeBatch(1), "hold");
  CHECK(Next<Part>());
  Submit(*online, AdmissionControllerFixture::MakeOnline(2), "go");
  const auto refused = Next<Refused>();
  REQUIRE(refused);
  CHECK(refused->refusal.code == RefusalCode::kCancelled);
  const auto end = Next<End>();
  REQUIRE(end);
  CHECK(end->attempt == AttemptId{2});
  CHECK(end->parts == 2);
  CHECK(IsOpenExchangeClosed());
}

// Guards against a graceful shutdown that interrupts online requests.
TEST_CASE_FIXTURE(AgentProcessFixture,
                  "AgentProcess, drain, finishes online calls and ends") {
  Submit(*online, AdmissionControllerFixture::MakeOnline(1), "hold");
  CHECK(Next<Part>());
  agent->Drain();
  std::optional<Status> status;
  do {
    status = Next<Status>();
  } while (status && !status->leaving);
  REQUIRE(status);
  Submit(*online, AdmissionControllerFixture::MakeOnline(2), "go");
  CHECK(Next<Refused>()->refusal.code == RefusalCode::kLeaving);
  {
    std::lock_guard lock(mutex);
    open_exchanges.front()->SendPart("data: [DONE]\n\n");
    open_exchanges.front()->EndStream();
  }
  agent->Wait();
  CHECK(Next<End>()->parts == 2);
}

}  // namespace
}  // namespace carawayrelay
