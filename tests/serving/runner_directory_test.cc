#include "process/forward/runner_directory.h"

#include <set>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct RunnerDirectoryFixture : ServingFixture {
  RunnerDirectory runners{1};

  void Put(const std::vector<StoredRow>& changed,
           std::optional<TimePoint> regained_at = std::nullopt) {
    runners.Apply(changed, /*is_full=*/false, regained_at, now());
  }
  static StoredRow Gone(const std::string& id) {
    return {.key = {.table = "servers", .key = id},
            .version = 2,
            .is_removed = true};
  }
  // Ids that are chosen in many draws.
  std::set<std::string> Chosen() {
    std::set<std::string> ids;
    for (int i = 0; i < 50; ++i) {
      if (const auto* runner =
              runners.Choose({.service = "llm", .zone = "zone-1"}, now())) {
        ids.insert(runner->entry.id);
      }
    }
    return ids;
  }
};

// Guards against new work for a backend server that is leaving.
TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, draining entry, is not chosen") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  CHECK(Chosen() == std::set<std::string>{"a", "b"});
  Put({BackendRow("a", "1.1.1.1:1", "draining")});
  CHECK(Chosen() == std::set<std::string>{"b"});
}

TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, zone out of service, is not chosen") {
  Put({BackendRow("a", "1.1.1.1:1")});
  runners.SetEvacuated({"zone-1"});
  CHECK(Chosen().empty());
}

// Guards against entries of an outage that count as gone: they come back.
TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, entry vanished in an outage, is kept") {
  Put({BackendRow("a", "1.1.1.1:1")});
  const TimePoint regained = now();
  Advance(milliseconds(100));
  Put({Gone("a")}, regained);
  CHECK(Chosen() == std::set<std::string>{"a"});
  Put({BackendRow("a", "1.1.1.1:1")}, regained);
  Advance(milliseconds(5000));
  runners.Tick(now());
  CHECK(Chosen() == std::set<std::string>{"a"});
}

TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, entry did not come back, is gone") {
  Put({BackendRow("a", "1.1.1.1:1")});
  const TimePoint regained = now();
  Put({Gone("a")}, regained);
  Advance(milliseconds(2400));
  runners.Tick(now());
  CHECK(runners.size() == 0);
}

// Guards against requests to entries of backend servers that crashed: after a
// loss of power every request met four of them and was refused (telar incident
// 013a, 36.0 s).
TEST_CASE_FIXTURE(
    RunnerDirectoryFixture,
    "RunnerDirectory, newer entry with the same address, replaces the older") {
  StoredRow older = BackendRow("a", "1.1.1.1:1");
  older.version = 5;
  StoredRow newer = BackendRow("b", "1.1.1.1:1");
  newer.version = 9;
  Put({older});
  Put({newer});
  CHECK(Chosen() == std::set<std::string>{"b"});
  REQUIRE(runners.FindByAddress("1.1.1.1:1") != nullptr);
  CHECK(runners.FindByAddress("1.1.1.1:1")->entry.id == "b");
  RunnerDirectory other{2};
  other.Apply({newer, older}, /*is_full=*/true, std::nullopt, now());
  CHECK(other.FindByAddress("1.1.1.1:1")->entry.id == "b");
}

// Guards against an entry that stays unused though its backend server lives.
TEST_CASE_FIXTURE(
    RunnerDirectoryFixture,
    "RunnerDirectory, replaced entry that changes, is used again") {
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  row.version = 5;
  Put({row});
  runners.NoteReplaced(*runners.Find("a"), "test");
  CHECK(Chosen().empty());
  runners.Apply({row}, /*is_full=*/true, std::nullopt, now());
  CHECK(Chosen().empty());
  row.version = 6;
  Put({row});
  CHECK(Chosen() == std::set<std::string>{"a"});
}

// Guards against more than a cold backend server bears when many frontends
// choose it in the same second (telar grown day 97ab: 51 of 47 tolerated).
TEST_CASE_FIXTURE(
    RunnerDirectoryFixture,
    "RunnerDirectory, cold entry and many frontends, gets its part only") {
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  row.value.replace(row.value.find("\"coldLeftMs\":0"), 14,
                    "\"coldLeftMs\":9000");
  Put({row});
  runners.SetColdLimits({{"llm", 28}}, 14);  // two a second here
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    Advance(milliseconds(20));
    if (auto* runner =
            runners.Choose({.service = "llm", .zone = "zone-1"}, now())) {
      runners.NoteSent(*runner, now());
      ++sent;
    }
  }
  CHECK(sent >= 4);
  CHECK(sent <= 5);
  Advance(milliseconds(9000));
  CHECK(Chosen() == std::set<std::string>{"a"});
  runners.NoteSent(*runners.Find("a"), now());
  CHECK(Chosen() == std::set<std::string>{"a"});
}

// Guards against requests to a leaving backend server whose entry went 2.7 s
// after an outage and was kept 2.3 s longer (telar trouble-3, 28.2 s).
TEST_CASE_FIXTURE(
    RunnerDirectoryFixture,
    "RunnerDirectory, entry vanished long after, is gone at once") {
  Put({BackendRow("a", "1.1.1.1:1")});
  const TimePoint regained = now();
  Advance(milliseconds(2700));
  Put({Gone("a")}, regained);
  CHECK(runners.size() == 0);
}

TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, unreadable entry, others hold") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  Put({{.key = {.table = "servers", .key = "a"}, .value = "??", .version = 3}});
  CHECK(Chosen() == std::set<std::string>{"b"});
}

TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, failed server, only used without another") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  runners.NoteFailure(*runners.Find("a"), "reset", now());
  CHECK(Chosen() == std::set<std::string>{"b"});
  Put({Gone("b")});
  CHECK(Chosen() == std::set<std::string>{"a"});
}

// Guards against a second start under the same id that inherits suspicion.
TEST_CASE_FIXTURE(RunnerDirectoryFixture,
                  "RunnerDirectory, busy server, least loaded is chosen") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  runners.Find("a")->running = 3;
  CHECK(Chosen() == std::set<std::string>{"b"});
  runners.NoteLoad(*runners.Find("b"), {.running = 8, .waiting = 2, .slots = 8},
                   now());
  CHECK(Chosen() == std::set<std::string>{"a"});
  Advance(milliseconds(5000));
  CHECK(Chosen() == std::set<std::string>{"b"});
}

}  // namespace
}  // namespace carawayrelay
