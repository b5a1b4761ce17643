#include "serving/crashing_item_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
