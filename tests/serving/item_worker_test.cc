#include "process/jobs/item_worker.h"

#include <set>

#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kLocalAddress = "10.0.0.9:80";

struct ItemWorkerFixture : JobFixture {
  BackendDirectory backends{1};
  PromptQuarantine quarantine;
  PromptTrials trials{"node", quarantine, store, clock};
  ItemWorker worker{
      {.node = "side-1", .backend_address = kLocalAddress, .seed = 3},
      jobs,
      writer,
      store,
      transfers,
      backends,
      quarantine,
      trials,
      calls,
      clock};
  int running = 0;
  int waiting = 0;
  bool is_leaving = false;  // what the load reports announce
  // Whether the worker receives the changes of jobs.
  bool is_watching = true;

  ItemWorkerFixture() {
    backends.Apply({BackendRow("own", kLocalAddress)}, true, std::nullopt,
                   now());
    worker.SetConfig(std::make_shared<ServingConfig>(
        ServingConfig::Parts{.routes = {route}}));
  }

  // Advances the clock by `time` in steps and responds to store calls and load
  // reports, but not to runs of items.
  void RunFor(milliseconds time = milliseconds(600)) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(20)) {
      Advance(milliseconds(20));
      if (is_watching) {
        jobs.SetUpToDateAt(now());
      }
      worker.Tick(now());
      RespondToLoadReports();
      RunUntilIdle();
    }
  }
  void RespondToLoadReports() {
    for (const OutboundCall& call : BackendCalls()) {
      if (call.target == "/report") {
        Respond(
            call.id, 200,
            is_leaving ? HeaderList{{"server-leaving", "1"}} : HeaderList{},
            nlohmann::json{{"running", running}, {"queued", waiting}}.dump());
      }
    }
  }
  void AddJob(const std::string& id, int items) {
    Submit(id, Submission(items));
    RunUntilIdle();
  }
  std::vector<OutboundCall> Runs() const {
    std::vector<OutboundCall> runs;
    for (const OutboundCall& call : BackendCalls()) {
      if (call.target != "/report") {
        runs.push_back(call);
      }
    }
    return runs;
  }
  static HeaderList SignedFor(const OutboundCall& call) {
    return {{"x-carawayrelay-request-id",
             FindHeader(call.headers, "x-carawayrelay-request-id")},
            {"x-carawayrelay-server-stamp", "s"}};
  }
  void Complete(const OutboundCall& call) {
    Respond(call.id, 200, SignedFor(call),
            "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
  }
};

// Guards against a backend server that fails fast and uses up the attempts of
// items that others could run. Once 55 items were given up.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, run failed, item is left to other workers") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  Respond(Runs()[0].id, 500, SignedFor(Runs()[0]), "");
  RunUntilIdle();
  CHECK(jobs.Find("j")->job.items[0].state == ItemState::kWaiting);
  CHECK(jobs.Find("j")->job.items[0].failures == 1);
  RunFor(milliseconds(2000));
  CHECK(Runs().empty());
  RunFor(milliseconds(3000));
  CHECK(Runs().size() == 1);
}

// Guards against runs that are cut when the backend servers of an old version
// stop at the end of a rollout, and against items on a version that may not be
// used.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, version refused, run goes to other workers") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  Head(Runs()[0].id, 200, SignedFor(Runs()[0]));
  Data(Runs()[0].id, "id: 1\ndata: one\n\n");
  backends.SetVersionRule(
      [](const BackendRegistration&) { return VersionUse::kRefused; },
      [](const BackendRegistration&) {});
  RunFor(milliseconds(100));
  CHECK(Runs().empty());
  CHECK(jobs.Find("j")->job.items[0].state == ItemState::kWaiting);
  RunFor(milliseconds(3000));
  CHECK(Runs().empty());
  backends.SetVersionRule({}, {});
  RunFor(milliseconds(3000));
  REQUIRE(Runs().size() == 1);
  CHECK(FindHeader(Runs()[0].headers, "last-event-id") == "1");
}

TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, job with items, all results are listed") {
  AddJob("j", 3);
  for (int i = 0; i < 5; ++i) {
    RunFor();
    for (const OutboundCall& call : Runs()) {
      CHECK(FindHeader(call.headers, "x-carawayrelay-tenant") == "w");
      CHECK(FindHeader(call.headers, "x-carawayrelay-model") == "m");
      CHECK(call.body == "body");
      Complete(call);
    }
  }
  RunFor();
  CHECK(StoredState("j").listed == 3);
  Read("j", 0);
  CHECK(LastBody()["results"].size() == 3);
  CHECK(LastBody()["results"][0]["text"] == "one\ntwo");
}

// Guards against batch runs that occupy slots that online requests need.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, no free slot, run stops and resumes later") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall first = Runs()[0];
  Head(first.id, 200, SignedFor(first));
  Data(first.id, "id: 1\ndata: one\n\nid: 2\nda");
  running = 8;
  waiting = 1;
  RunFor();
  CHECK(Runs().empty());
  running = 2;
  waiting = 0;
  RunFor();
  REQUIRE(Runs().size() == 1);
  CHECK(FindHeader(Runs()[0].headers, "last-event-id") == "1");
  Respond(Runs()[0].id, 200, SignedFor(Runs()[0]), "id: 2\ndata: two\n\n");
  RunFor();
  Read("j", 0);
  CHECK(LastBody()["results"][0]["text"] == "one\ntwo");
}

// Guards against a worker that starts an item of a job that ended: it lost
// sight of the job rows while the run was stopped. Once an item ran 5.4 s after
// the end of its job was acknowledged.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, job rows not read for long, starts no run") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  running = 8;
  waiting = 1;
  is_watching = false;
  RunFor(milliseconds(2600));
  CHECK(Runs().empty());
  running = 0;
  waiting = 0;
  RunFor(milliseconds(200));
  CHECK(Runs().empty());
  is_watching = true;
  RunFor();
  CHECK(Runs().size() == 1);
}

// Guards against a stalled server that sends a byte now and then and holds an
// item for ever.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, bytes but no event for long, run is stopped") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall first = Runs()[0];
  Head(first.id, 200, SignedFor(first));
  Data(first.id, "id: 1\ndata: one\n\n");
  for (int i = 0; i < 8; ++i) {
    RunFor(milliseconds(400));
    if (IsPending(first.id)) {
      Data(first.id, ":");
    }
  }
  REQUIRE(Runs().size() == 1);
  CHECK(Runs()[0].id != first.id);
  CHECK(FindHeader(Runs()[0].headers, "last-event-id") == "1");
}

// Guards against a slow but sound stream that is cut.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, events far apart, run goes on") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall first = Runs()[0];
  Head(first.id, 200, SignedFor(first));
  for (int i = 1; i <= 4; ++i) {
    Data(first.id, "id: " + std::to_string(i) + "\ndata: x\n\n");
    RunFor(milliseconds(2400));
  }
  REQUIRE(Runs().size() == 1);
  CHECK(Runs()[0].id == first.id);
}

// Guards against an answer without end that is read although it is not valid.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, event without end, call is cancelled") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall first = Runs()[0];
  Head(first.id, 200, SignedFor(first));
  const std::string piece(size_t{256} << 10, 'x');
  for (int i = 0; i < 5 && IsPending(first.id); ++i) {
    Data(first.id, piece);
  }
  CHECK_FALSE(IsPending(first.id));
  CHECK(cancelled == std::vector<OutboundCallId>{first.id});
}

// Guards against an item that is given up too early or retried forever.
TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, item that fails, is given up after all attempts") {
  AddJob("j", 1);
  for (int i = 0; i < 3; ++i) {
    // Longer than the time in which only other workers retry the item.
    RunFor(milliseconds(4500));
    REQUIRE(Runs().size() == 1);
    CHECK(StoredState("j").listed == 0);
    Respond(Runs()[0].id, 500, SignedFor(Runs()[0]), "");
  }
  RunFor();
  CHECK(Runs().empty());
  CHECK(StoredState("j").items[0].state == ItemState::kDeadLetter);
}

TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, item that cannot be processed, is given up at once") {
  AddJob("j", 1);
  RunFor();
  Respond(Runs()[0].id, 422, SignedFor(Runs()[0]), "");
  RunFor();
  CHECK(StoredState("j").items[0].state == ItemState::kDeadLetter);
}

// Guards against broken connections that count as failures of the item.
TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, cut runs, resume after the last complete event") {
  AddJob("j", 1);
  for (int i = 1; i <= 6; ++i) {
    RunFor();
    REQUIRE(Runs().size() == 1);
    const OutboundCall call = Runs()[0];
    CHECK(FindHeader(call.headers, "last-event-id") ==
          (i == 1 ? "" : std::to_string(i - 1)));
    Head(call.id, 200, SignedFor(call));
    Data(call.id, "id: " + std::to_string(i) +
                      "\ndata: e\n\nid: " + std::to_string(i + 1));
    Fail(call.id, true, "reset");
  }
  CHECK(StoredState("j").listed == 0);
}

// Guards against a result with a gap, and against bytes of another run.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, events out of order or foreign, are ignored") {
  AddJob("j", 1);
  RunFor();
  Respond(Runs()[0].id, 200, SignedFor(Runs()[0]),
          "id: 1\ndata: one\n\nid: 3\ndata: three\n\n");
  RunFor();
  REQUIRE(Runs().size() == 1);
  CHECK(FindHeader(Runs()[0].headers, "last-event-id") == "1");
  Respond(Runs()[0].id, 200,
          {{"x-carawayrelay-request-id", "other"},
           {"x-carawayrelay-server-stamp", "s"}},
          "id: 2\ndata: x\n\n");
  RunFor();
  CHECK(StoredState("j").listed == 0);
}

TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, job ended by its client, runs stop") {
  AddJob("j", 2);
  RunFor();
  CHECK_FALSE(Runs().empty());
  api.Handle(ClientCallId{2}, platform::EndJob{.job = "j"}, "w", true);
  RunUntilIdle();
  RunFor();
  CHECK(Runs().empty());
  CHECK(StoredState("j").listed == 0);
}

// Guards against an item that is lost with the worker that claimed it.
TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, claim of another worker expired, is taken over") {
  AddJob("j", 1);
  BulkJob job = StoredState("j");
  job.items[0].state = ItemState::kClaimed;
  job.items[0].owner = "side-2";
  job.items[0].lease_end = store.StoreTime(now()) + milliseconds(3000);
  const RowKey key = job_rows::State("j");
  rows.Put(key.table, key.part, key.key, EncodeBulkJob(job));
  jobs.Replace(
      {.key = key, .value = EncodeBulkJob(job), .version = rows.version()});
  RunFor(milliseconds(1000));
  CHECK(Runs().empty());
  RunFor(milliseconds(3500));
  CHECK(Runs().size() == 1);
}

TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, claims from before a restart, are claimed again") {
  AddJob("j", 1);
  BulkJob job = StoredState("j");
  job.items[0].state = ItemState::kClaimed;
  job.items[0].owner = "side-1";
  job.items[0].lease_end = store.StoreTime(now()) + milliseconds(60000);
  const RowKey key = job_rows::State("j");
  rows.Put(key.table, key.part, key.key, EncodeBulkJob(job));
  jobs.Replace(
      {.key = key, .value = EncodeBulkJob(job), .version = rows.version()});
  RunFor();
  CHECK(Runs().size() == 1);
}

// Guards against a lease that expires while its item is still running.
TEST_CASE_FIXTURE(ItemWorkerFixture, "ItemWorker, long run, claim is renewed") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall call = Runs()[0];
  Head(call.id, 200, SignedFor(call));
  for (int i = 1; i <= 100; ++i) {
    Data(call.id, "id: " + std::to_string(i) + "\ndata: e\n\n");
    RunFor(milliseconds(200));
  }
  CHECK(Runs().size() == 1);
  CHECK(StoredState("j").items[0].lease_end > store.StoreTime(now()));
}

// Guards against items that run again from their start after a worker failed:
// the text so far must not be in its memory alone.
TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, worker fails during a long run, run is resumed") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall call = Runs()[0];
  Head(call.id, 200, SignedFor(call));
  for (int i = 1; i <= 20; ++i) {
    Data(call.id, "id: " + std::to_string(i) + "\ndata: e\n\n");
    RunFor(milliseconds(200));
  }
  calls.Cancel(call.id);
  ItemWorker restarted{
      {.node = "side-1", .backend_address = kLocalAddress, .seed = 4},
      jobs,
      writer,
      store,
      transfers,
      backends,
      quarantine,
      trials,
      calls,
      clock};
  restarted.SetConfig(
      std::make_shared<ServingConfig>(ServingConfig::Parts{.routes = {route}}));
  for (int i = 0; i < 50; ++i) {
    Advance(milliseconds(20));
    jobs.SetUpToDateAt(now());
    restarted.Tick(now());
    RespondToLoadReports();
    RunUntilIdle();
  }
  REQUIRE(Runs().size() == 1);
  const std::string resumed_after =
      FindHeader(Runs()[0].headers, "last-event-id");
  REQUIRE_FALSE(resumed_after.empty());
  CHECK(std::stoi(resumed_after) >= 10);
}

// Guards against runs on a draining backend server, and against losing the
// partial results of its runs.
TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, local server drains, items keep partial results") {
  AddJob("j", 1);
  RunFor();
  const OutboundCall call = Runs()[0];
  Head(call.id, 200, SignedFor(call));
  Data(call.id, "id: 1\ndata: one\n\n");
  backends.Apply({BackendRow("own", kLocalAddress, "draining")}, false,
                 std::nullopt, now());
  RunFor();
  CHECK(Runs().empty());
  CHECK(StoredState("j").items[0].state == ItemState::kWaiting);
  CHECK(StoredState("j").items[0].has_partial);
  // The next run resumes after the event.
  backends.Apply({BackendRow("own", kLocalAddress)}, false, std::nullopt,
                 now());
  RunFor();
  REQUIRE(Runs().size() == 1);
  CHECK(FindHeader(Runs()[0].headers, "last-event-id") == "1");
}

// Guards against a job that stays open forever when its items cannot run.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, retention time over, items are given up") {
  backends.Apply({}, true, std::nullopt, now());
  AddJob("j", 2);
  RunFor(milliseconds(59000));
  CHECK(StoredState("j").listed == 0);
  RunFor(milliseconds(2000));
  CHECK(StoredState("j").listed == 2);
  CHECK(StoredState("j").items[1].state == ItemState::kDeadLetter);
  Read("j", 0);
  CHECK(LastBody()["results"][1]["id"] == "item-1");
}

TEST_CASE_FIXTURE(ItemWorkerFixture, "ItemWorker, stop, claims are released") {
  AddJob("j", 2);
  RunFor();
  worker.Stop(now());
  RunUntilIdle();
  CHECK(worker.IsIdle());
  for (const JobItemState& item : StoredState("j").items) {
    CHECK(item.state == ItemState::kWaiting);
  }
}

// Guards against results that are lost while the store is unavailable.
TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, store unavailable at the end, result is listed later") {
  AddJob("j", 1);
  RunFor();
  const OutboundCall call = Runs()[0];
  store_fault = [](const OutboundCall&) { return StoreFault::kLoseCall; };
  Complete(call);
  RunFor(milliseconds(1000));
  store_fault = nullptr;
  RunFor(milliseconds(1000));
  CHECK(StoredState("j").listed == 1);
  CHECK(Runs().empty());
}

// Guards against a worker that runs an item again and again although its prompt
// crashes the backend server: once one part took down servers 47 times.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, prompt crashes the server, item is left") {
  AddJob("j", 1);
  int crashes = 0;
  for (int i = 0; i < 20; ++i) {
    RunFor();
    for (const OutboundCall& call : Runs()) {
      ++crashes;
      Head(call.id, 200, SignedFor(call));
      Fail(call.id, /*was_sent=*/true, "Transferred a partial file");
    }
  }
  CHECK(crashes == 3);
  CHECK(Runs().empty());
  CHECK(jobs.Find("j")->job.items[0].state == ItemState::kWaiting);
}

// Guards against sound items that are held because others with the same part of
// the prompt broke: on a fleet with failing servers items were left lying.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, one item breaks its runs, others with its part "
                  "run") {
  AddJob("j", 4);
  std::set<std::string> completed;
  for (int i = 0; i < 20; ++i) {
    RunFor();
    for (const OutboundCall& call : Runs()) {
      if (call.target == "/b/0") {
        Fail(call.id, /*was_sent=*/true, "Transferred a partial file");
      } else {
        completed.insert(call.target);
        Complete(call);
      }
    }
  }
  CHECK(completed == std::set<std::string>{"/b/1", "/b/2", "/b/3"});
}

// Guards against batch items that begin on a backend server that has announced
// its shutdown while the store's list still calls it ready.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, answer announces shutdown, nothing begins") {
  AddJob("j", 4);
  RunFor();
  REQUIRE_FALSE(Runs().empty());
  HeaderList headers = SignedFor(Runs()[0]);
  headers.emplace_back("server-leaving", "1");
  Head(Runs()[0].id, 200, headers);
  RunFor();
  CHECK(Runs().empty());
  backends.Apply({BackendRow("own", kLocalAddress)}, true, now(), now());
  RunFor(milliseconds(3000));
  CHECK(Runs().empty());
}

TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, load report announces shutdown, nothing begins") {
  is_leaving = true;
  AddJob("j", 1);
  RunFor(milliseconds(3000));
  CHECK(Runs().empty());
}

// Guards against a truncated text that is listed as complete: a resumed run
// crashed before its next event, on a body with neither a length nor chunks.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, resumed run ends without an event, is not "
                  "complete") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  Head(Runs()[0].id, 200, SignedFor(Runs()[0]));
  Data(Runs()[0].id, "id: 1\ndata: one\n\n");
  Fail(Runs()[0].id, /*was_sent=*/true, "reset");
  RunFor();
  REQUIRE(Runs().size() == 1);
  Respond(Runs()[0].id, 200, SignedFor(Runs()[0]), "");
  RunFor();
  REQUIRE(Runs().size() == 1);
  CHECK(StoredState("j").listed == 0);
  HeaderList headers = SignedFor(Runs()[0]);
  headers.emplace_back("transfer-encoding", "chunked");
  Respond(Runs()[0].id, 200, headers, "");
  RunFor();
  CHECK(StoredState("j").listed == 1);
}

// Guards against a large job that stops all batch work at the end of its
// retention time: its items were given up in one transaction, which the store
// refuses, and claims of other jobs waited for it.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, retention time of a large job over, all items "
                  "listed and other jobs run") {
  running = 8;
  AddJob("large", 200);
  RunFor(milliseconds(64000));
  running = 0;
  CHECK(StoredState("large").listed == 200);
  AddJob("late", 3);
  RunFor(milliseconds(2000));
  CHECK(Runs().size() == 3);
  CHECK(rows.refused_transactions() == 0);
  Read("large", 150);
  CHECK(LastBody()["results"].size() == 50);
  CHECK(LastBody()["results"][0]["state"] == "dead_letter");
}

// Guards against a result that does not fit into a row because its encoding is
// larger than its text.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, text that grows when encoded, is listed") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const std::string text(20000, '\x01');
  Respond(Runs()[0].id, 200, SignedFor(Runs()[0]),
          "id: 1\ndata: " + text + "\n\n");
  RunFor(milliseconds(2000));
  CHECK(StoredState("j").listed == 1);
  Read("j", 0);
  CHECK(LastBody()["results"][0]["text"] == text);
}

// Guards against items of accepted jobs that are neither run nor listed because
// the configuration no longer has their route, or has it for other requests.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, route of a job removed, items are given up") {
  AddJob("j", 4);
  running = 8;
  SUBCASE("no such route") {
    worker.SetConfig(std::make_shared<ServingConfig>(ServingConfig::Parts{}));
  }
  SUBCASE("no longer a route of batch jobs") {
    route.call_class = CallClass::kIdempotent;
    worker.SetConfig(std::make_shared<ServingConfig>(
        ServingConfig::Parts{.routes = {route}}));
  }
  RunFor(milliseconds(3000));
  CHECK(StoredState("j").listed == 4);
  CHECK(Runs().empty());
  Read("j", 0);
  CHECK(LastBody()["results"][3]["state"] == "dead_letter");
}

// Guards against items that are given up by a worker that has not read the
// configuration with their route yet.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, configuration older than the job, items wait") {
  config_version = ConfigVersion{7};
  AddJob("j", 2);
  running = 8;
  worker.SetConfig(std::make_shared<ServingConfig>(
      ServingConfig::Parts{.version = ConfigVersion{6}}));
  RunFor(milliseconds(3000));
  CHECK(StoredState("j").listed == 0);
  worker.SetConfig(std::make_shared<ServingConfig>(
      ServingConfig::Parts{.version = ConfigVersion{7}, .routes = {route}}));
  running = 0;
  RunFor(milliseconds(1000));
  CHECK(Runs().size() == 2);
}

// Guards against a paused run that goes on after its route was removed or moved
// to another service, and against giving up an item that another worker runs.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, route changes while a run is paused, no new "
                  "start") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  Fail(Runs()[0].id, /*was_sent=*/true, "reset");
  SUBCASE("route removed") {
    worker.SetConfig(std::make_shared<ServingConfig>(ServingConfig::Parts{}));
    RunFor(milliseconds(2000));
    CHECK(StoredState("j").listed == 1);
  }
  SUBCASE("route moved to another service") {
    route.services = {{.service = "other"}};
    worker.SetConfig(std::make_shared<ServingConfig>(
        ServingConfig::Parts{.routes = {route}}));
    RunFor(milliseconds(2000));
    CHECK(StoredState("j").items[0].state == ItemState::kWaiting);
  }
  CHECK(Runs().empty());
}

TEST_CASE_FIXTURE(
    ItemWorkerFixture,
    "ItemWorker, route removed while another worker runs an item, "
    "the item is left to it") {
  AddJob("j", 2);
  BulkJob job = StoredState("j");
  job.items[0].state = ItemState::kClaimed;
  job.items[0].owner = "side-2";
  job.items[0].lease_end = store.StoreTime(now()) + milliseconds(8000);
  const RowKey key = job_rows::State("j");
  rows.Put(key.table, key.part, key.key, EncodeBulkJob(job));
  jobs.Replace(
      {.key = key, .value = EncodeBulkJob(job), .version = rows.version()});
  worker.SetConfig(std::make_shared<ServingConfig>(ServingConfig::Parts{}));
  RunFor(milliseconds(3000));
  CHECK(StoredState("j").listed == 1);
  CHECK(StoredState("j").items[0].state == ItemState::kClaimed);
  RunFor(milliseconds(6000));
  CHECK(StoredState("j").listed == 2);
}

// Guards against a server that sends valid events without end: a worker once
// grew to 1.6 GB. The item is left to other workers without the text.
TEST_CASE_FIXTURE(ItemWorkerFixture,
                  "ItemWorker, events without end, run is cancelled at the "
                  "limit") {
  AddJob("j", 1);
  RunFor();
  REQUIRE(Runs().size() == 1);
  const OutboundCall first = Runs()[0];
  Head(first.id, 200, SignedFor(first));
  const std::string data(size_t{64} << 10, 'x');
  int events = 0;
  while (IsPending(first.id) && events < 1000) {
    ++events;
    Data(first.id,
         "id: " + std::to_string(events) + "\ndata: " + data + "\n\n");
  }
  CHECK(events == 64);  // with the line ends between them, over 4 MiB
  RunFor(milliseconds(1000));
  CHECK(Runs().empty());
  CHECK(StoredState("j").items[0].state == ItemState::kWaiting);
  CHECK_FALSE(StoredState("j").items[0].has_partial);
}

}  // namespace
}  // namespace carawayrelay
