#include "serving/worker_fleet_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Workers whose backend servers crash when they answer an item with the part
// "dead01". A crashed one is back after three seconds, as another start.
struct CrashingItemFixture : WorkerFleetFixture {
  CrashingItemFixture() {
    AddWorkers(5);
    on_run = [this](const OutboundCall& call) { return AnswerRun(call); };
  }

  static std::string SubmissionWithParts(
      const std::vector<std::string>& parts_of_items) {
    nlohmann::json list = nlohmann::json::array();
    for (size_t i = 0; i < parts_of_items.size(); ++i) {
      list.push_back(
          {{"id", "item-" + std::to_string(i)},
           {"path", "/b/1"},
           {"headers",
            {{"X-Carawayrelay-Prompt-Prefix", parts_of_items[i] + ",0a:1"}}},
           {"body", platform::ToBase64("body")},
           {"tokens", 100}});
    }
    return nlohmann::json{{"items", std::move(list)}}.dump();
  }
  bool AnswerRun(const OutboundCall& call) {
    const bool is_deadly =
        FindHeader(call.headers, "x-carawayrelay-prompt-prefix")
            .find("dead01") != std::string::npos;
    const bool is_unlucky = unlucky_runs > 0;
    if (!is_deadly && !is_unlucky && !resets_connections) {
      return false;
    }
    unlucky_runs -= is_unlucky ? 1 : 0;
    if (events_before_cut > 0) {
      const std::string last = FindHeader(call.headers, "last-event-id");
      const int first = last.empty() ? 1 : std::stoi(last) + 1;
      Head(call.id, 200, SignedFor(call));
      for (int i = first; i < first + events_before_cut; ++i) {
        Data(call.id, "id: " + std::to_string(i) + "\ndata: x\n\n");
      }
    }
    Fail(call.id, /*was_sent=*/true, "Connection reset by peer");
    if (is_deadly || is_unlucky) {
      Crash(call.address);
    }
    return true;
  }
  // How long after the last crash a sound item may wait for its result.
  static constexpr milliseconds kItemBound{18000};

  void Crash(const std::string& address) {
    crashes.push_back(now());
    down.insert(address);
    restarts[address] = now() + seconds(3);
  }
  // Runs for this long, with restarts of the servers that crashed.
  void RunWithRestarts(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      for (auto it = restarts.begin(); it != restarts.end();) {
        if (now() < it->second) {
          ++it;
          continue;
        }
        down.erase(it->first);
        Register(it->first);
        it = restarts.erase(it);
      }
      RunFor(milliseconds(100));
    }
  }
  void Register(const std::string& address) {
    for (const auto& worker : workers) {
      if (worker->address == address) {
        worker->backends.Apply(
            {BackendRow("start-" + std::to_string(++starts), address)}, true,
            std::nullopt, now());
      }
    }
  }
  // Number of crashes more than `time` after the fifth one.
  size_t CrashesAfterFifth(milliseconds time) const {
    return crashes.size() < 5 ? 0
                              : static_cast<size_t>(std::ranges::count_if(
                                    crashes, [&](TimePoint at) {
                                      return at > crashes[4] + time;
                                    }));
  }

  std::map<std::string, TimePoint> restarts;  // by address
  std::vector<TimePoint> crashes;
  int starts = 0;
  int events_before_cut = 0;
  int unlucky_runs = 0;  // whose servers crash, whatever the item holds
  bool resets_connections = false;  // without a crash
};

// Guards against items that go from one backend server to the next and crash
// each: 14 fell to two items within 45 s.
TEST_CASE_FIXTURE(CrashingItemFixture,
                  "ItemWorkers, part crashes servers, its items are held") {
  RunFor(milliseconds(500));
  Submit("j", SubmissionWithParts({"aa:1,dead01:1", "bb:1,dead01:1", "aa:1"}));
  RunWithRestarts(seconds(45));
  CHECK(crashes.size() >= 3);
  CHECK(CrashesAfterFifth(seconds(3)) <= 3);
  CHECK(CountListed("j") == 1);
}

// Guards against crashes that do not count because the answer had begun.
TEST_CASE_FIXTURE(CrashingItemFixture,
                  "ItemWorkers, part crashes servers after events, its items "
                  "are held") {
  events_before_cut = 2;
  RunFor(milliseconds(500));
  Submit("j", SubmissionWithParts({"aa:1,dead01:1", "bb:1,dead01:1", "aa:1"}));
  RunWithRestarts(seconds(45));
  CHECK(crashes.size() >= 3);
  CHECK(CrashesAfterFifth(seconds(3)) <= 3);
  CHECK(CountListed("j") == 1);
}

// Guards against held items that are neither run nor given up.
TEST_CASE_FIXTURE(CrashingItemFixture,
                  "ItemWorkers, item held at its retention time, is given "
                  "up") {
  RunFor(milliseconds(500));
  Submit("j", SubmissionWithParts({"aa:1,dead01:1", "bb:1,dead01:1"}));
  RunWithRestarts(seconds(70));
  CHECK(CountListed("j") == 2);
  CHECK(StoredState("j").items[0].state == ItemState::kDeadLetter);
}

// Guards against a sound item that is held until its job is given up: only the
// worker that saw the newest crash was allowed to try its prompt again, and
// another worker held the item and renewed its claim.
TEST_CASE_FIXTURE(CrashingItemFixture,
                  "ItemWorkers, three servers crash by chance, the worker that "
                  "holds the item tries it again") {
  events_before_cut = 2;
  unlucky_runs = 3;
  RunFor(milliseconds(500));
  Submit("j", SubmissionWithParts({"aa:1"}));
  RunWithRestarts(seconds(20));
  REQUIRE(crashes.size() == 3);
  RunWithRestarts(std::chrono::duration_cast<milliseconds>(crashes.back() +
                                                           kItemBound - now()));
  CHECK(CountListed("j") == 1);
}

// Guards against a sound item that is held because servers crash under its long
// answers, though a crashing prompt ends its answer at the start.
TEST_CASE_FIXTURE(CrashingItemFixture,
                  "ItemWorkers, servers crash late in its answers, the item is "
                  "not held") {
  std::map<OutboundCallId, TimePoint> begun;
  std::map<OutboundCallId, int> sent;
  on_run = [&](const OutboundCall& call) {
    const auto [it, is_new] = begun.try_emplace(call.id, now());
    if (is_new) {
      Head(call.id, 200, SignedFor(call));
      const std::string last = FindHeader(call.headers, "last-event-id");
      sent[call.id] = last.empty() ? 0 : std::stoi(last);
    }
    const std::string id = std::to_string(++sent[call.id]);
    Data(call.id, "id: " + id + "\ndata: x\n\n");
    if (crashes.size() < 6 && now() - it->second >= milliseconds(600)) {
      Fail(call.id, /*was_sent=*/true, "Connection reset by peer");
      Crash(call.address);
    } else if (now() - it->second >= seconds(1)) {
      End(call.id);
    }
    return true;
  };
  RunFor(milliseconds(500));
  Submit("j", SubmissionWithParts({"aa:1"}));
  RunWithRestarts(seconds(45));
  REQUIRE(crashes.size() == 6);
  std::uint64_t held = 0;
  for (const auto& worker : workers) {
    held += worker->worker.counters().held;
  }
  CHECK(held == 0);
  CHECK(CountListed("j") == 1);
}

// Guards against sound items that are held because servers drop connections
// without crashing: once a part of all items was held everywhere and never
// answered again.
TEST_CASE_FIXTURE(CrashingItemFixture,
                  "ItemWorkers, servers drop connections but live, no item is "
                  "held") {
  resets_connections = true;
  events_before_cut = 1;
  RunFor(milliseconds(500));
  Submit("j", SubmissionWithParts(std::vector<std::string>(24, "aa:1,bb:1")));
  RunFor(seconds(10));
  std::uint64_t held = 0;
  for (const auto& worker : workers) {
    held += worker->worker.counters().held;
  }
  CHECK(held == 0);
  resets_connections = false;
  RunFor(seconds(15));
  CHECK(CountListed("j") == 24);
}

}  // namespace
}  // namespace carawayrelay
