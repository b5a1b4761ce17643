#include "process/pace/slow_start.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SlowStartFixture : ServingFixture {
  SlowStart start;
  std::mt19937_64 random{7};

  // Number of 100 ms periods of 1000 in which a first request is allowed.
  int CountAllowed() {
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
      Advance(milliseconds(100));
      allowed += start.HasCapacity(0, now(), random) ? 1 : 0;
    }
    return allowed;
  }
};

TEST_CASE_FIXTURE(SlowStartFixture, "SlowStart, not begun, has no limit") {
  CHECK(start.HasCapacity(1000, now(), random));
  CHECK_FALSE(start.NoteGoodResponse());
}

// Guards against one request of each of many frontends at once, and against a
// server that no frontend ever tries.
TEST_CASE_FIXTURE(SlowStartFixture,
                  "SlowStart, many frontends, each sends by chance at first") {
  start.Begin(8, 28);
  const int allowed = CountAllowed();
  CHECK(allowed > 40);
  CHECK(allowed < 110);
  CHECK_FALSE(start.HasCapacity(1, now(), random));
}

// Guards against several requests on one permit.
TEST_CASE_FIXTURE(SlowStartFixture,
                  "SlowStart, permit was used, next one is drawn later") {
  start.Begin(8, 28);
  while (!start.HasCapacity(0, now(), random)) {
    Advance(milliseconds(100));
  }
  CHECK(start.HasCapacity(0, now(), random));
  start.NoteSent();
  CHECK_FALSE(start.HasCapacity(0, now(), random));
}

// Guards against a limit that never ends, and against one that a failing server
// outgrows.
TEST_CASE_FIXTURE(SlowStartFixture,
                  "SlowStart, good and bad responses, limit grows and falls") {
  start.Begin(8, 1);
  CHECK(start.limit() == 2);
  CHECK_FALSE(start.NoteGoodResponse());
  CHECK(start.limit() == 4);
  CHECK(start.HasCapacity(3, now(), random));
  CHECK_FALSE(start.HasCapacity(4, now(), random));
  for (int i = 0; i < 10; ++i) {
    start.NoteBadResponse();
  }
  CHECK(start.limit() == 2);
  CHECK_FALSE(start.NoteGoodResponse());
  CHECK(start.NoteGoodResponse());
  CHECK_FALSE(start.IsActive());
}

// 28 frontends whose backend servers are all used by three quarters, and which
// know it, as after probes.
struct SlowStartFleetFixture : ServingFixture {
  static constexpr size_t kFrontends = 28;
  static constexpr int kServers = 40;
  static constexpr const char* kNew = "new";

  enum class Behavior { kAnswers, kFails };

  struct Running {
    size_t frontend;
    std::string id;
    TimePoint sent_at;
  };

  std::vector<std::unique_ptr<BackendDirectory>> frontends;
  std::vector<StoredRow> list;
  std::vector<Running> running;
  std::mt19937_64 random{11};
  int sent_to_new = 0;
  int max_at_new = 0;
  std::vector<int> counts_at_new;  // of each step of 10 ms

  SlowStartFleetFixture() {
    for (int i = 0; i < kServers; ++i) {
      list.push_back(BackendRow("s" + std::to_string(i),
                                "1.1.1." + std::to_string(i + 1) + ":1"));
    }
    for (size_t i = 0; i < kFrontends; ++i) {
      frontends.push_back(std::make_unique<BackendDirectory>(i));
      frontends.back()->SetColdLimits({}, kFrontends);
    }
  }

  void ApplyAll(const std::vector<StoredRow>& changed, bool is_full) {
    for (const auto& frontend : frontends) {
      frontend->Apply(changed, is_full, std::nullopt, now());
    }
  }
  int CountAt(const std::string& id) const {
    return static_cast<int>(std::ranges::count_if(
        running, [&](const Running& r) { return r.id == id; }));
  }
  // 170 requests a second, each of which runs for 1 s, or fails after 20 ms at
  // the new server.
  void RunFor(milliseconds time, Behavior behavior = Behavior::kAnswers) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      Advance(milliseconds(10));
      std::erase_if(running,
                    [&](const Running& r) { return End(r, behavior); });
      const int arrivals = std::poisson_distribution<int>(1.7)(random);
      for (int i = 0; i < arrivals; ++i) {
        SendOne();
      }
      max_at_new = std::max(max_at_new, CountAt(kNew));
      counts_at_new.push_back(CountAt(kNew));
    }
  }
  void SendOne() {
    const size_t index = random() % kFrontends;
    BackendDirectory& frontend = *frontends[index];
    for (const StoredRow& row : list) {
      frontend.NoteLoad(*frontend.Find(row.key.key), {.running = 6, .slots = 8},
                        now());
    }
    if (auto* known = frontend.Find(kNew)) {
      // What a frontend knows of the new server lags by half a second.
      const size_t steps = counts_at_new.size();
      const int known_load = steps < 50 ? 0 : counts_at_new[steps - 50];
      frontend.NoteLoad(*known, {.running = known_load, .slots = 8}, now());
    }
    auto* chosen = frontend.Choose({.service = "llm", .zone = "zone-1"}, now());
    REQUIRE(chosen != nullptr);
    frontend.NoteSent(*chosen, now());
    sent_to_new += chosen->registration.id == kNew ? 1 : 0;
    running.push_back({index, chosen->registration.id, now()});
  }
  bool End(const Running& run, Behavior behavior) {
    const bool fails = behavior == Behavior::kFails && run.id == kNew;
    if (now() - run.sent_at < (fails ? milliseconds(20) : seconds(1))) {
      return false;
    }
    BackendDirectory& frontend = *frontends[run.frontend];
    BackendDirectory::Backend* backend = frontend.Find(run.id);
    --backend->own_calls;
    AttemptOutcome outcome{
        .backend_id = run.id,
        .service = "llm",
        .result = fails ? AttemptResult::kFailed : AttemptResult::kAnswered,
        .events = 20,
        .first_event = milliseconds(100),
        .total = seconds(1)};
    if (fails) {
      frontend.NoteFailure(*backend, "reset", now());
    }
    frontend.NoteAttempt(outcome, now());
    return true;
  }
};

// Guards against all frontends sending to a server that has just come: it is
// empty and looks best to each of them. Also against leaving it idle.
TEST_CASE_FIXTURE(SlowStartFleetFixture,
                  "SlowStart, one server back among many, is filled step by "
                  "step") {
  ApplyAll(list, true);
  RunFor(seconds(2));
  ApplyAll({BackendRow(kNew, "1.1.2.1:1")}, false);
  RunFor(milliseconds(500));
  MESSAGE("at the new server in 500 ms: at most " << max_at_new);
  CHECK(max_at_new <= 8);
  RunFor(seconds(1));
  MESSAGE("in 1.5 s: at most " << max_at_new);
  CHECK(max_at_new <= 12);
  RunFor(seconds(14));
  MESSAGE("at the end " << CountAt(kNew));
  CHECK(CountAt(kNew) >= 3);
}

// Guards against refusals, and against all requests at one server, when every
// server has just come.
TEST_CASE_FIXTURE(SlowStartFleetFixture,
                  "SlowStart, all servers back at once, requests are spread") {
  ApplyAll({}, true);
  ApplyAll(list, false);
  CHECK(frontends[0]->CountStates(now()).slow_start == kServers);
  RunFor(seconds(1));
  for (const StoredRow& row : list) {
    CHECK(CountAt(row.key.key) <= 16);
  }
}

// Guards against a server that says that it is ready and fails all requests.
TEST_CASE_FIXTURE(SlowStartFleetFixture,
                  "SlowStart, server lies about being ready, gets few "
                  "requests") {
  ApplyAll(list, true);
  ApplyAll({BackendRow(kNew, "1.1.2.1:1")}, false);
  RunFor(seconds(10), Behavior::kFails);
  MESSAGE("sent to the failing server in 10 s: " << sent_to_new);
  CHECK(sent_to_new <= 60);
  CHECK(sent_to_new > 0);
}

// Guards against a server that falls again and gets its full part at once after
// that.
TEST_CASE_FIXTURE(SlowStartFleetFixture,
                  "SlowStart, server falls again, begins low again") {
  ApplyAll(list, true);
  ApplyAll({BackendRow(kNew, "1.1.2.1:1")}, false);
  RunFor(seconds(15));
  RunFor(seconds(3), Behavior::kFails);
  max_at_new = 0;
  const int before = sent_to_new;
  RunFor(milliseconds(500));
  MESSAGE("at most " << max_at_new << ", sent " << sent_to_new - before);
  CHECK(max_at_new <= 8);
  RunFor(seconds(15));
  CHECK(CountAt(kNew) >= 3);
}

struct SlowStartDirectoryFixture : ServingFixture {
  BackendDirectory backends{1};
  int Limited() const { return backends.CountStates(now()).slow_start; }
};

TEST_CASE_FIXTURE(SlowStartDirectoryFixture,
                  "SlowStart, servers of the first list, are not limited") {
  backends.Apply({BackendRow("a", "1.1.1.1:1")}, true, std::nullopt, now());
  CHECK(Limited() == 0);
  backends.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")},
                 true, std::nullopt, now());
  CHECK(Limited() == 1);
}

TEST_CASE_FIXTURE(SlowStartDirectoryFixture,
                  "SlowStart, zone in service again, its servers are limited") {
  backends.Apply({BackendRow("a", "1.1.1.1:1")}, true, std::nullopt, now());
  backends.SetEvacuated({"zone-1"});
  CHECK(Limited() == 0);
  backends.SetEvacuated({});
  CHECK(Limited() == 1);
}

// Guards against a limited server that gets requests although others are free.
TEST_CASE_FIXTURE(SlowStartDirectoryFixture,
                  "SlowStart, server at its limit, others are chosen") {
  backends.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("c", "1.1.1.3:1")},
                 true, std::nullopt, now());
  backends.Apply({BackendRow("b", "1.1.1.2:1")}, false, std::nullopt, now());
  backends.Find("a")->own_calls = 4;
  backends.Find("c")->own_calls = 4;
  backends.Find("b")->own_calls = 2;
  for (int i = 0; i < 20; ++i) {
    Advance(milliseconds(100));
    CHECK(backends.Choose({.service = "llm", .zone = "zone-1"}, now())
              ->registration.id != "b");
  }
}

}  // namespace
}  // namespace carawayrelay
