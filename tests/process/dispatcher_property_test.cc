#include <doctest/doctest.h>

#include <map>
#include <set>

#include "process/dispatcher_fixture.h"
#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Agents that record what they ran, against a dispatcher whose requests end in
// all the ways that they can.
struct ModelAgents : DispatcherFixture {
  struct Attempt {
    SendMessage submit;
    RequestId request{0};
    std::uint64_t parts = 0;
  };
  struct Request {
    bool repeatable = true;
    int submits = 0;
    int counted = 0;
    bool has_run = false;
    int ends = 0;
    std::string output;
    // Text of the attempt that ended whole.
    std::optional<std::string> whole;
  };

  std::map<RequestId, Request> requests;
  std::map<AttemptId, Attempt> running;
  std::map<AttemptId, Attempt> finished;
  std::set<std::uint64_t> connections;
  std::uint64_t next_connection = 1;
  std::uint64_t version = 1;

  ModelAgents() {
    Adopt(1);
    Collect();
  }

  void Arrive() {
    const bool repeatable = *rc::gen::arbitrary<bool>();
    ClientRequest call = Call(repeatable ? "m" : "once");
    call.stream = repeatable && *rc::gen::arbitrary<bool>();
    // Tells the answers of different requests apart.
    call.body = std::to_string(ToInt(call.id));
    requests[call.id] = {.repeatable = repeatable};
    DispatcherFixture::Arrive(std::move(call));
    Collect();
  }

  void ConnectAgent() {
    connections.insert(next_connection);
    Connect(next_connection++, "z1", *rc::gen::inRange(1, 3), version);
    Collect();
  }

  void LoseAgent() {
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
      // A handed-over request may have run without a sign of it.
      requests[attempt.request].has_run |= *rc::gen::arbitrary<bool>();
      return true;
    });
    Handle(LinkDown{.connection = ConnectionId{lost}});
    Collect();
  }

  // Lets one running attempt take a step.
  void Step() {
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
        request.whole.emplace();
        for (std::uint64_t i = 0; i < attempt.parts; ++i) {
          *request.whole += body + ";";
        }
        End(id, carawayrelay::End{
                    .attempt = id, .parts = attempt.parts, .http_status = 200});
        break;
      case 3: {
        const RefusalCode code = *rc::gen::element(
            RefusalCode::kLeaving, RefusalCode::kWindowFull,
            RefusalCode::kStaleConfig, RefusalCode::kNotReady);
        // The window was full, so the try does not count.
        request.counted -= code == RefusalCode::kWindowFull ? 1 : 0;
        if (attempt.parts == 0) {
          End(id, Refused{.attempt = id, .refusal = {.code = code}});
        } else {
          request.counted += code == RefusalCode::kWindowFull ? 1 : 0;
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
    Collect();
  }

  // A frame that arrives after its attempt ended.
  void SendLate() {
    if (!finished.empty()) {
      const auto& [id, attempt] = *finished.begin();
      Receive(attempt.submit, Part{.attempt = id, .data = "late"});
      Receive(attempt.submit,
              carawayrelay::End{.attempt = id, .http_status = 200});
      Collect();
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
    Adopt(++version);
    Collect();
  }

  void Collect() {
    for (DispatchAction& action : std::exchange(actions, {})) {
      if (auto* sent = std::get_if<SendMessage>(&action)) {
        OnSent(*sent);
      } else if (auto* answer = std::get_if<Answer>(&action)) {
        Request& request = requests.at(answer->request);
        ++request.ends;
        RC_ASSERT(request.whole == answer->body);
      } else if (auto* part = std::get_if<ForwardPart>(&action)) {
        requests.at(part->request).output += part->data;
      } else if (auto* finish = std::get_if<FinishStream>(&action)) {
        Request& request = requests.at(finish->request);
        ++request.ends;
        RC_ASSERT(request.whole == request.output);
      } else if (auto* broken = std::get_if<BreakStream>(&action)) {
        Request& request = requests.at(broken->request);
        ++request.ends;
        RC_ASSERT(broken->refusal.run_state == RunState::kRan);
        RC_ASSERT(!request.output.empty());
      } else if (auto* refuse = std::get_if<Refuse>(&action)) {
        Request& request = requests.at(refuse->request);
        ++request.ends;
        RC_ASSERT(request.output.empty());
        RC_ASSERT(refuse->refusal.run_state != RunState::kNotRun ||
                  !request.has_run);
      }
    }
  }

  void CheckAllEnded() {
    Wait(options.time_limit);
    Collect();
    for (const auto& [id, request] : requests) {
      RC_ASSERT(request.ends == 1);
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
      ++request.submits;
      ++request.counted;
      RC_ASSERT(request.ends == 0);
      RC_ASSERT(request.output.empty());
      RC_ASSERT(request.repeatable || request.submits == 1);
      RC_ASSERT(request.counted <= 3);
      RC_ASSERT(connections.contains(ToInt(sent.connection)));
      running[submit->attempt] = {.submit = sent, .request = id};
    } else if (const auto* cancel = std::get_if<Cancel>(&sent.message)) {
      auto node = running.extract(cancel->attempt);
      RC_ASSERT(!node.empty());
      // The cancel may come too late to stop it.
      requests.at(node.mapped().request).has_run = true;
      finished.insert(std::move(node));
    }
  }
};

// Guards against a false not_run, a repeat of a request that must run once, a
// mixed-up answer, and a caller that gets no end or two.
TEST_CASE("Dispatcher, agents that fail in all ways, tells the truth") {
  CheckProperty("run state, retries and answers", [] {
    ModelAgents model;
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
          model.LoseAgent();
          break;
        case 3:
          model.Step();
          break;
        case 4:
          model.SendLate();
          break;
        case 5:
          model.ChangeConfig();
          break;
        case 6:
          model.Wait(milliseconds(*rc::gen::inRange(1, 500)));
          model.Collect();
          break;
      }
    }
    model.CheckAllEnded();
  });
}

}  // namespace
}  // namespace carawayrelay
