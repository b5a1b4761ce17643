#include "process/forward/backend_directory.h"

#include <memory>
#include <set>
#include <vector>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct BackendDirectoryFixture : ServingFixture {
  BackendDirectory backends{1};

  void Put(const std::vector<StoredRow>& changed,
           std::optional<TimePoint> reconnected_at = std::nullopt) {
    backends.Apply(changed, /*is_full=*/false, reconnected_at, now());
  }
  static StoredRow RemovedRow(const std::string& id) {
    return {.key = {.table = "servers", .key = id},
            .version = 2,
            .is_removed = true};
  }
  // Ids of the backend servers chosen in 50 calls. Ties are broken at random.
  std::set<std::string> Chosen() {
    std::set<std::string> ids;
    for (int i = 0; i < 50; ++i) {
      if (const auto* backend =
              backends.Choose({.service = "llm", .zone = "zone-1"}, now())) {
        ids.insert(backend->registration.id);
      }
    }
    return ids;
  }
};

// Guards against new requests to a draining backend server.
TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, draining backend server, is not chosen") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  CHECK(Chosen() == std::set<std::string>{"a", "b"});
  Put({BackendRow("a", "1.1.1.1:1", "draining")});
  CHECK(Chosen() == std::set<std::string>{"b"});
}

// Guards against new requests to a backend server that has announced its
// shutdown, when the store is away and the list still calls it ready.
TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, server announced its shutdown, no list "
                  "brings it back") {
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  Put({row, BackendRow("b", "1.1.1.2:1")});
  backends.NoteLeaving("a", now());
  CHECK(Chosen() == std::set<std::string>{"b"});
  backends.Apply({row}, /*is_full=*/true, std::nullopt, now());
  CHECK(Chosen().empty());
  row.version = 7;
  Put({row});
  CHECK(Chosen().empty());
  Put({RemovedRow("a")});
  row.version = 9;
  Put({row});
  CHECK(Chosen().empty());
  CHECK(backends.CountStates(now()).leaving == 1);
}

// Guards against a new process that stays unused because an earlier one had its
// id or its address and left.
TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, next process after one that left, is "
                  "chosen") {
  const auto with_start = [](StoredRow row, const std::string& started_at) {
    row.value.insert(1, "\"born\":" + started_at + ",");
    return row;
  };
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  Put({with_start(row, "1700000000000")});
  backends.NoteLeaving("a", now());
  CHECK(Chosen().empty());
  row.version = 5;
  Put({with_start(row, "1700000009000")});
  CHECK(Chosen() == std::set<std::string>{"a"});
  backends.NoteLeaving("a", now());
  CHECK(Chosen().empty());
  StoredRow next = BackendRow("b", "1.1.1.1:1");
  next.version = 8;
  Put({next});
  CHECK(Chosen() == std::set<std::string>{"b"});
}

TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, zone out of service, is not chosen") {
  Put({BackendRow("a", "1.1.1.1:1")});
  backends.SetEvacuated({"zone-1"});
  CHECK(Chosen().empty());
}

// Guards against removing backend servers whose registrations expired during a
// store outage: they write them again.
TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, registration removed after an outage, is kept") {
  Put({BackendRow("a", "1.1.1.1:1")});
  const TimePoint reconnected_at = now();
  Advance(milliseconds(100));
  Put({RemovedRow("a")}, reconnected_at);
  CHECK(Chosen() == std::set<std::string>{"a"});
  Put({BackendRow("a", "1.1.1.1:1")}, reconnected_at);
  Advance(milliseconds(5000));
  backends.Tick(now());
  CHECK(Chosen() == std::set<std::string>{"a"});
}

TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, registration not renewed, is removed") {
  Put({BackendRow("a", "1.1.1.1:1")});
  const TimePoint reconnected_at = now();
  Put({RemovedRow("a")}, reconnected_at);
  Advance(milliseconds(2400));
  backends.Tick(now());
  CHECK(backends.size() == 0);
}

// Guards against requests to registrations of crashed backend servers: after a
// power loss, each request tried four of them and was refused.
TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, newer registration of an address, replaces the older") {
  StoredRow older = BackendRow("a", "1.1.1.1:1");
  older.version = 5;
  StoredRow newer = BackendRow("b", "1.1.1.1:1");
  newer.version = 9;
  Put({older});
  Put({newer});
  CHECK(Chosen() == std::set<std::string>{"b"});
  REQUIRE(backends.FindByAddress("1.1.1.1:1") != nullptr);
  CHECK(backends.FindByAddress("1.1.1.1:1")->registration.id == "b");
  BackendDirectory other{2};
  other.Apply({newer, older}, /*is_full=*/true, std::nullopt, now());
  CHECK(other.FindByAddress("1.1.1.1:1")->registration.id == "b");
}

// Guards against a registration that stays unused although its backend server
// is running and has updated it.
TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, replaced registration with a new version, is used") {
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  row.version = 5;
  Put({row});
  backends.NoteReplaced(*backends.Find("a"), "test");
  CHECK(Chosen().empty());
  backends.Apply({row}, /*is_full=*/true, std::nullopt, now());
  CHECK(Chosen().empty());
  row.version = 6;
  Put({row});
  CHECK(Chosen() == std::set<std::string>{"a"});
}

// Guards against overloading a cold backend server that many frontends choose
// in the same second. Once it received 51 requests where 47 are tolerated.
TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, cold server and many frontends, limit is divided") {
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  row.value.replace(row.value.find("\"coldLeftMs\":0"), 14,
                    "\"coldLeftMs\":9000");
  Put({row});
  // 35 per second, of which 28 are for online requests: 2 for this frontend.
  backends.SetColdLimits({{"llm", 35}}, 14);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    Advance(milliseconds(20));
    if (auto* backend =
            backends.Choose({.service = "llm", .zone = "zone-1"}, now())) {
      backends.NoteSent(*backend, now());
      ++sent;
    }
  }
  CHECK(sent >= 4);
  CHECK(sent <= 5);
  Advance(milliseconds(9000));
  CHECK(Chosen() == std::set<std::string>{"a"});
  backends.NoteSent(*backends.Find("a"), now());
  CHECK(Chosen() == std::set<std::string>{"a"});
}

// Guards against one request of each of many frontends to a backend server that
// has just become cold: together they are many times what it bears.
TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, server turns cold at 133 frontends, no burst") {
  constexpr int kFrontends = 133;
  constexpr double kColdRate = 19;
  StoredRow row = BackendRow("a", "1.1.1.1:1");
  row.value.replace(row.value.find("\"coldLeftMs\":0"), 14,
                    "\"coldLeftMs\":9000");
  std::vector<std::unique_ptr<BackendDirectory>> frontends;
  for (int i = 0; i < kFrontends; ++i) {
    frontends.push_back(
        std::make_unique<BackendDirectory>(static_cast<std::uint64_t>(i)));
    frontends.back()->Apply({row}, true, std::nullopt, now());
    frontends.back()->SetColdLimits({{"llm", kColdRate}}, kFrontends);
  }
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    Advance(milliseconds(100));
    for (const auto& frontend : frontends) {
      if (auto* backend =
              frontend->Choose({.service = "llm", .zone = "zone-1"}, now())) {
        frontend->NoteSent(*backend, now());
        ++sent;
      }
    }
  }
  CHECK(sent > 0);
  CHECK(sent <= kColdRate * 1.5 + 5);
}

// Guards against requests to a stopping backend server: its registration was
// removed 2.7 s after an outage but kept for another 2.3 s.
TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, grace period over, removed registration is not kept") {
  Put({BackendRow("a", "1.1.1.1:1")});
  const TimePoint reconnected_at = now();
  Advance(milliseconds(2700));
  Put({RemovedRow("a")}, reconnected_at);
  CHECK(backends.size() == 0);
}

// Guards against entries of other writers that end the process or stop it from
// following the list: deep nesting, numbers without a limit, impossible ports.
TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, odd registrations, others stay in use") {
  const auto with = [](const std::string& id, const std::string& old,
                       const std::string& text) {
    StoredRow row = BackendRow(id, "1.1.1.9:1");
    row.value.replace(row.value.find(old), old.size(), text);
    return row;
  };
  StoredRow nested = BackendRow("nested", "1.1.1.8:1");
  nested.value = std::string(200000, '[');
  StoredRow closed = BackendRow("closed", "1.1.1.7:1");
  closed.value = R"({"service":)" + std::string(100000, '[') +
                 std::string(100000, ']') + "}";
  Put({BackendRow("a", "1.1.1.1:1"), nested, closed,
       with("big", "\"coldLeftMs\":0", "\"coldLeftMs\":9007199254740992"),
       with("huge", "\"coldLeftMs\":0", "\"coldLeftMs\":1e999"),
       with("slots", "\"capacity\":8", "\"capacity\":1e300"),
       with("port", "1.1.1.9:1", "1.1.1.9:99999"),
       with("text", "1.1.1.9:1", "not an address")});
  CHECK(Chosen() == std::set<std::string>{"a"});
}

TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, unreadable registration, others stay in use") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  Put({{.key = {.table = "servers", .key = "a"}, .value = "??", .version = 3}});
  CHECK(Chosen() == std::set<std::string>{"b"});
}

TEST_CASE_FIXTURE(
    BackendDirectoryFixture,
    "BackendDirectory, failed server, is chosen only without another") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  backends.NoteFailure(*backends.Find("a"), "reset", now());
  CHECK(Chosen() == std::set<std::string>{"b"});
  Put({RemovedRow("b")});
  CHECK(Chosen() == std::set<std::string>{"a"});
}

// Guards against ignoring the load of this process, of other processes, or the
// age of the load report.
TEST_CASE_FIXTURE(BackendDirectoryFixture,
                  "BackendDirectory, loaded server, least loaded is chosen") {
  Put({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")});
  backends.Find("a")->own_calls = 3;
  CHECK(Chosen() == std::set<std::string>{"b"});
  backends.NoteLoad(*backends.Find("b"),
                    {.running = 8, .waiting = 2, .slots = 8}, now());
  CHECK(Chosen() == std::set<std::string>{"a"});
  Advance(milliseconds(5000));
  CHECK(Chosen() == std::set<std::string>{"b"});
}

}  // namespace
}  // namespace carawayrelay
