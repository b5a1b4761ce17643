#include <doctest/doctest.h>

#include <map>
#include <set>

#include "process/dispatcher_fixture.h"
#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Simulates agents that succeed, fail and disconnect, records what each request
// ran, and checks the actions of the dispatcher against this record.
struct SimulatedAgents : DispatcherFixture {
  struct Attempt {
    SendMessage submit;
    RequestId request{0};
    std::uint64_t parts = 0;
  };
  struct Request {
    bool repeatable = true;
    int submit_count = 0;
    // Attempts that count towards the limit of the retry policy.
    int counted_attempts = 0;
    // True when an attempt may have run.
    bool has_run = false;
    // Actions that ended the request.
    int end_count = 0;
    // Parts forwarded to the client.
    std::string output;
    // Response body of the attempt that ended successfully.
    std::optional<std::string> complete_response;
  };

  std::map<RequestId, Request> requests;
  std::map<AttemptId, Attempt> running;
  std::map<AttemptId, Attempt> finished;
  std::set<std::uint64_t> connections;
  std::uint64_t next_connection = 1;
  std::uint64_t version = 1;

  SimulatedAgents() {
    AdoptConfig(1);
    CheckActions();
  }

  void Arrive() {
    const bool repeatable = *rc::gen::arbitrary<bool>();
    ClientRequest call = MakeCall(repeatable ? "m" : "once");
    call.stream = repeatable && *rc::gen::arbitrary<bool>();
    // The agents echo the body, so that each request has a distinct response.
    call.body = std::to_string(ToInt(call.id));
    requests[call.id] = {.repeatable = repeatable};
    DispatcherFixture::Arrive(std::move(call));
    CheckActions();
  }

  void ConnectAgent() {
    connections.insert(next_connection);
    Connect(next_connection++, "z1", *rc::gen::inRange(1, 3), version);
    CheckActions();
  }

  void DisconnectAgent() {
    if (connections.empty()) {
      return;
    }
    const auto lost = *rc::gen::elementOf(connections);
    connections.erase(lost);
    std::erase_if(running, [&](const auto& entry) {
      const Attempt& attempt = entry.second;
      if (attempt.submit.connection != ConnectionId{lost}) {
        return false;
      }
      // A submitted request may have run although no part was received.
      requests[attempt.request].has_run |= *rc::gen::arbitrary<bool>();
      return true;
    });
    Handle(LinkDown{.connection = ConnectionId{lost}});
    CheckActions();
  }

  // Sends the next message of one running attempt.
  void AdvanceAttempt() {
    if (running.empty()) {
      return;
    }
    const AttemptId id = *rc::gen::elementOf(Keys());
    Attempt& attempt = running.at(id);
    Request& request = requests.at(attempt.request);
    const SendMessage submit = attempt.submit;
    const std::string& body = std::get<Submit>(submit.message).body;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        request.has_run = true;
        Receive(submit, Part{.attempt = id,
                             .sequence = attempt.parts++,
                             .data = body + ";"});
        break;
      case 2:
        request.has_run = true;
        request.complete_response.emplace();
        for (std::uint64_t i = 0; i < attempt.parts; ++i) {
          *request.complete_response += body + ";";
        }
        End(id, carawayrelay::End{
                    .attempt = id, .parts = attempt.parts, .http_status = 200});
        break;
      case 3: {
        const RefusalCode code = *rc::gen::element(
            RefusalCode::kLeaving, RefusalCode::kWindowFull,
            RefusalCode::kStaleConfig, RefusalCode::kNotReady);
        // An attempt refused with a full window does not count.
        request.counted_attempts -= code == RefusalCode::kWindowFull ? 1 : 0;
        if (attempt.parts == 0) {
          End(id, Refused{.attempt = id, .refusal = {.code = code}});
        } else {
          request.counted_attempts += code == RefusalCode::kWindowFull ? 1 : 0;
        }
        break;
      }
      case 4:
        request.has_run = true;
        End(id, Refused{.attempt = id,
                        .refusal = {.code = RefusalCode::kBackendFailed,
                                    .run_state = RunState::kRan}});
        break;
      case 5:
        request.has_run = true;
        Receive(
            submit,
            Part{.attempt = id, .sequence = attempt.parts + 1, .data = "gap"});
        break;
    }
    CheckActions();
  }

  // Sends frames of an attempt that has already ended.
  void SendLateFrames() {
    if (!finished.empty()) {
      const auto& [id, attempt] = *finished.begin();
      Receive(attempt.submit, Part{.attempt = id, .data = "late"});
      Receive(attempt.submit,
              carawayrelay::End{.attempt = id, .http_status = 200});
      CheckActions();
    }
  }

  void ChangeConfig() {
    const bool had_key = document.keys.size() == 2;
    if (had_key) {
      document.keys.erase(document.keys.begin());
    } else {
      document.keys.insert(document.keys.begin(),
                           {.id = "w",
                            .workspace = "w",
                            .salt = "s",
                            .hash = Sha256Hex("ssecret")});
    }
    AdoptConfig(++version);
    CheckActions();
  }

  void CheckActions() {
    for (DispatchAction& action : std::exchange(actions, {})) {
      if (auto* sent = std::get_if<SendMessage>(&action)) {
        OnSent(*sent);
      } else if (auto* response = std::get_if<SendResponse>(&action)) {
        Request& request = requests.at(response->request);
        ++request.end_count;
        RC_ASSERT(request.complete_response == response->body);
      } else if (auto* part = std::get_if<ForwardPart>(&action)) {
        requests.at(part->request).output += part->data;
      } else if (auto* finish = std::get_if<FinishStream>(&action)) {
        Request& request = requests.at(finish->request);
        ++request.end_count;
        RC_ASSERT(request.complete_response == request.output);
      } else if (auto* broken = std::get_if<AbortStream>(&action)) {
        Request& request = requests.at(broken->request);
        ++request.end_count;
        RC_ASSERT(broken->refusal.run_state == RunState::kRan);
        RC_ASSERT(!request.output.empty());
      } else if (auto* refuse = std::get_if<Refuse>(&action)) {
        Request& request = requests.at(refuse->request);
        ++request.end_count;
        RC_ASSERT(request.output.empty());
        RC_ASSERT(refuse->refusal.run_state != RunState::kNotRun ||
                  !request.has_run);
      }
    }
  }

  void CheckAllEnded() {
    AdvanceTime(options.time_limit);
    CheckActions();
    for (const auto& [id, request] : requests) {
      RC_ASSERT(request.end_count == 1);
    }
  }

 private:
  std::vector<AttemptId> Keys() const {
    std::vector<AttemptId> keys;
    for (const auto& [id, attempt] : running) {
      keys.push_back(id);
    }
    return keys;
  }

  void End(AttemptId id, Message message) {
    const SendMessage submit = running.at(id).submit;
    finished.insert(running.extract(id));
    Receive(submit, std::move(message));
  }

  void OnSent(const SendMessage& sent) {
    if (const auto* submit = std::get_if<Submit>(&sent.message)) {
      const RequestId id{std::stoull(submit->body)};
      Request& request = requests.at(id);
      ++request.submit_count;
      ++request.counted_attempts;
      RC_ASSERT(request.end_count == 0);
      RC_ASSERT(request.output.empty());
      RC_ASSERT(request.repeatable || request.submit_count == 1);
      RC_ASSERT(request.counted_attempts <= 3);
      RC_ASSERT(connections.contains(ToInt(sent.connection)));
      running[submit->attempt] = {.submit = sent, .request = id};
    } else if (const auto* cancel = std::get_if<Cancel>(&sent.message)) {
      auto node = running.extract(cancel->attempt);
      RC_ASSERT(!node.empty());
      // The Cancel message may arrive after the attempt ran.
      requests.at(node.mapped().request).has_run = true;
      finished.insert(std::move(node));
    }
  }
};

// Guards against a run state of not_run for a request that ran, a second
// attempt of a request that must run at most once, a response with parts of
// another request or attempt, and a request that ends twice or never.
TEST_CASE("Dispatcher, failing agents, ends each request once and correctly") {
  CheckProperty("run state, retries and responses", [] {
    SimulatedAgents model;
    const int steps = *rc::gen::inRange(1, 250);
    for (int i = 0; i < steps; ++i) {
      switch (*rc::gen::weightedElement<int>(
          {{4, 0}, {3, 1}, {1, 2}, {30, 3}, {1, 4}, {1, 5}, {3, 6}})) {
        case 0:
          model.Arrive();
          break;
        case 1:
          model.ConnectAgent();
          break;
        case 2:
          model.DisconnectAgent();
          break;
        case 3:
          model.AdvanceAttempt();
          break;
        case 4:
          model.SendLateFrames();
          break;
        case 5:
          model.ChangeConfig();
          break;
        case 6:
          model.AdvanceTime(milliseconds(*rc::gen::inRange(1, 500)));
          model.CheckActions();
          break;
      }
    }
    model.CheckAllEnded();
  });
}

}  // namespace
}  // namespace carawayrelay
