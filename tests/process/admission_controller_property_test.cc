#include <doctest/doctest.h>

#include <algorithm>

#include "process/admission_controller_fixture.h"
#include "property.h"

namespace carawayrelay {
namespace {

// Feeds random events of two entries, each with an online and a batch
// connection, and checks every action.
struct RandomAdmissionController : AdmissionControllerFixture {
  static constexpr std::uint64_t kConnections = 4;
  using Key = std::pair<ConnectionId, AttemptId>;

  std::map<CallId, Key> calls;     // sent to the backend server and not ended
  std::map<Key, bool> unanswered;  // not answered yet; true for batch
  std::set<Key> reached_backend;   // attempts sent to the backend server
  // Attempt ids that were submitted again.
  std::set<Key> duplicates;
  std::uint64_t next_attempt = 0;
  std::uint64_t version = 1;
  // The attempt that the last event submitted.
  std::optional<Key> submitted;

  static bool IsBatch(ConnectionId connection) {
    return ToInt(connection) % 2 == 0;
  }
  void ConnectWithClass(ConnectionId connection) {
    Connect(connection,
            IsBatch(connection) ? LinkClass::kBatch : LinkClass::kOnline,
            ConfigVersion{version});
  }

  void SubmitNew(ConnectionId connection, bool is_duplicate) {
    const std::uint64_t attempt =
        is_duplicate && next_attempt > 0 ? next_attempt : ++next_attempt;
    Submit submit =
        IsBatch(connection) ? MakeBatch(attempt) : MakeOnline(attempt);
    submit.config_version = ConfigVersion{version - (attempt % 7 == 0 ? 1 : 0)};
    // CheckStart() reads the attempt of a call from its path.
    submit.path =
        "/" + std::to_string(ToInt(connection)) + "/" + std::to_string(attempt);
    const Key key{connection, submit.attempt};
    submitted = key;
    if (unanswered.contains(key) || reached_backend.contains(key)) {
      duplicates.insert(key);
    } else {
      unanswered.emplace(key, IsBatch(connection));
    }
    FeedMessage(connection, submit);
  }

  void Step(unsigned kind, unsigned pick) {
    submitted.reset();
    now += std::chrono::milliseconds(pick % 50);
    const ConnectionId connection{1 + pick % kConnections};
    std::optional<CallId> call;
    if (!calls.empty()) {
      call = std::next(calls.begin(), pick % calls.size())->first;
    }
    switch (kind % 12) {
      case 0:
      case 1:
      case 2:
      case 3:
        SubmitNew(connection, pick % 11 == 0);
        break;
      case 4:
        if (!unanswered.empty()) {
          const Key key =
              std::next(unanswered.begin(), pick % unanswered.size())->first;
          unanswered.erase(key);
          FeedMessage(key.first, Cancel{key.second});
        }
        break;
      case 5:
        if (call) {
          Feed(BackendPart{*call, "x"});
        }
        break;
      case 6:
      case 7:
        if (call) {
          calls.erase(*call);
          Feed(BackendEnd{.call = *call, .http_status = 200});
        }
        break;
      case 8:
        if (call) {
          calls.erase(*call);
          Feed(BackendFailed{.call = *call, .run_state = RunState::kRan});
        }
        break;
      case 9:
        while (!cancelled.empty()) {
          const CallId id = cancelled.front();
          cancelled.erase(cancelled.begin());
          if (calls.erase(id) == 1) {
            Feed(BackendCancelled{id});
            CheckActions();
          }
        }
        return;
      case 10:
        std::erase_if(unanswered,
                      [&](auto& o) { return o.first.first == connection; });
        Feed(LinkDown{connection, ""});
        CheckActions();
        ConnectWithClass(connection);
        break;
      default:
        if (pick % 5 == 0) {
          ++version;
          FeedMessage(connection,
                      MakeUpdate(ConfigVersion{version},
                                 pick % 2 == 0 ? std::vector<std::string>{"z1"}
                                               : std::vector<std::string>{}));
        } else {
          Feed(Tick{});
        }
    }
    CheckActions();
  }

  void CheckActions() {
    for (const AdmissionAction& action : std::exchange(actions, {})) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        CheckStart(start->call);
      } else if (const auto* send = std::get_if<SendMessage>(&action)) {
        CheckMessage(*send);
      }
    }
    const auto unstarted_online =
        std::count_if(unanswered.begin(), unanswered.end(), [&](const auto& o) {
          return !o.second && !reached_backend.contains(o.first);
        });
    // Online calls wait only for calls that are being cancelled.
    RC_ASSERT(unstarted_online <= static_cast<long>(cancelled.size()));
  }

  void CheckStart(const BackendCall& call) {
    const size_t slash = call.path.find('/', 1);
    const Key key{ConnectionId{std::stoull(call.path.substr(1))},
                  AttemptId{std::stoull(call.path.substr(slash + 1))}};
    RC_ASSERT(unanswered.contains(key));
    RC_ASSERT(reached_backend.insert(key).second);
    calls.emplace(call.call, key);
    RC_ASSERT(static_cast<int>(calls.size()) <= controller.window());
    if (IsBatch(key.first)) {
      for (const auto& [other, is_batch] : unanswered) {
        RC_ASSERT(is_batch || reached_backend.contains(other));
      }
    }
  }

  void CheckMessage(const SendMessage& send) {
    if (const auto* end = std::get_if<End>(&send.message)) {
      const Key key{send.connection, end->attempt};
      RC_ASSERT(reached_backend.contains(key));
      RC_ASSERT(unanswered.erase(key) == 1U);
    } else if (const auto* refused = std::get_if<Refused>(&send.message)) {
      const Key key{send.connection, refused->attempt};
      const RunState state = refused->refusal.run_state;
      if (duplicates.erase(key) == 1) {
        RC_ASSERT(submitted == key);
        RC_ASSERT(state == RunState::kUnknown);
        return;
      }
      RC_ASSERT(unanswered.erase(key) == 1U);
      RC_ASSERT((state == RunState::kNotRun) == !reached_backend.contains(key));
    } else if (const auto* part = std::get_if<Part>(&send.message)) {
      RC_ASSERT(unanswered.contains({send.connection, part->attempt}));
    }
  }

  // Ends all calls, after which every Submit must have been answered.
  void Finish() {
    while (!calls.empty()) {
      Step(6, 0);
    }
    RC_ASSERT(unanswered.empty());
  }
};

// Guards against requests that get no final message or two, wrong run states,
// two entries that together exceed the window, and batch calls that start while
// an online call waits.
TEST_CASE(
    "AdmissionController, random events of two entries, respects the "
    "window and ends each attempt once") {
  CheckProperty("admission controller",
                [](const std::vector<std::pair<unsigned, unsigned>>& steps) {
                  RandomAdmissionController random;
                  for (std::uint64_t c = 1;
                       c <= RandomAdmissionController::kConnections; ++c) {
                    random.ConnectWithClass(ConnectionId{c});
                  }
                  random.FeedMessage(
                      AdmissionControllerFixture::kOnline,
                      AdmissionControllerFixture::MakeUpdate(ConfigVersion{1}));
                  for (const auto& [kind, pick] : steps) {
                    random.Step(kind, pick);
                  }
                  random.Finish();
                });
}

}  // namespace
}  // namespace carawayrelay
