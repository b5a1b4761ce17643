#include "process/jobs/item_worker.h"

#include <set>

#include "process/pace/item_pace.h"
#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOwnAddress = "10.0.0.9:80";

struct ItemWorkerPaceFixture : JobFixture {
  BackendDirectory backends{1};
  PromptQuarantine quarantine;
  PromptTrials trials{"node", quarantine, store, clock};
  ItemWorker worker{{.node = "side-1",
                     .backend_address = kOwnAddress,
                     .seed = 3,
                     .silence_limit = seconds(60)},
                    jobs,
                    writer,
                    store,
                    transfers,
                    backends,
                    quarantine,
                    trials,
                    calls,
                    clock};
  // Fourth figure of the load header of reports; none if empty.
  std::string pace;
  // Whether the load header is in reports, or only in item streams.
  bool is_in_reports = true;

  ItemWorkerPaceFixture() {
    backends.Apply({BackendRow("own", kOwnAddress)}, true, std::nullopt, now());
    worker.SetConfig(std::make_shared<ServingConfig>(
        ServingConfig::Parts{.routes = {route}}));
  }

  HeaderList LoadHeader() const {
    const std::string counts = std::to_string(Runs().size()) + ",0,8";
    return {{"x-carawayrelay-server-load",
             pace.empty() ? counts : counts + "," + pace}};
  }
  void RunFor(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(20)) {
      Advance(milliseconds(20));
      jobs.SetUpToDateAt(now());
      worker.Tick(now());
      for (const OutboundCall& call : BackendCalls()) {
        if (call.target == "/report") {
          Respond(
              call.id, 200, is_in_reports ? LoadHeader() : HeaderList{},
              nlohmann::json{{"running", Runs().size()}, {"queued", 0}}.dump());
        }
      }
      RunUntilIdle();
    }
  }
  void AddJob(int items) {
    Submit("j", Submission(items));
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
  int Claimed() const {
    const BulkJob job = StoredState("j");
    return static_cast<int>(
        std::ranges::count_if(job.items, [](const JobItemState& item) {
          return item.state == ItemState::kClaimed;
        }));
  }
};

TEST_CASE_FIXTURE(ItemWorkerPaceFixture,
                  "ItemWorker, pace is not known, uses all slots") {
  AddJob(12);
  RunFor(seconds(4));
  CHECK(Runs().size() >= 7);
}

// Guards against a slow backend server that takes as many items as a fast one:
// online requests and the items themselves get late there.
TEST_CASE_FIXTURE(ItemWorkerPaceFixture,
                  "ItemWorker, slow pace in load reports, runs and claims "
                  "fewer items") {
  AddJob(12);
  pace = "170";
  RunFor(seconds(5));
  CHECK(Runs().size() == 4);
  CHECK(Claimed() == 4);
  pace = "100";
  RunFor(seconds(4));
  CHECK(Runs().size() >= 7);
}

// Guards against the pace in the heads of item streams that is not read.
TEST_CASE_FIXTURE(ItemWorkerPaceFixture,
                  "ItemWorker, slow pace in item streams, runs fewer items") {
  AddJob(12);
  is_in_reports = false;
  pace = "300";
  std::set<OutboundCallId> answered;
  for (int i = 0; i < 40; ++i) {
    RunFor(milliseconds(100));
    for (const OutboundCall& call : Runs()) {
      HeaderList headers = LoadHeader();
      headers.emplace_back(
          "x-carawayrelay-request-id",
          FindHeader(call.headers, "x-carawayrelay-request-id"));
      headers.emplace_back("x-carawayrelay-server-stamp", "s");
      if (answered.insert(call.id).second) {
        Head(call.id, 200, headers);
      }
    }
  }
  CHECK(Runs().size() < 7);
}

// Guards against items that a slow worker claims and finishes late although
// others could finish them in time, and against items that nobody runs.
TEST_CASE_FIXTURE(ItemWorkerPaceFixture,
                  "ItemWorker, item fits only a faster server, is left for a "
                  "short time") {
  AddJob(1);
  // 5 s are left: a run takes 4 s at the usual pace and 8 s here.
  Advance(seconds(13));
  pace = "200";
  RunFor(milliseconds(900));
  CHECK(Runs().empty());
  CHECK(Claimed() == 0);
  RunFor(milliseconds(1500));
  CHECK(Runs().size() == 1);
}

TEST_CASE_FIXTURE(ItemWorkerPaceFixture,
                  "ItemWorker, item fits at the usual pace, is claimed soon") {
  AddJob(1);
  Advance(seconds(13));
  pace = "100";
  RunFor(milliseconds(900));
  CHECK(Runs().size() == 1);
}

TEST_CASE_FIXTURE(ItemWorkerPaceFixture,
                  "SlotsAtPace, slow pace, leaves at least one slot") {
  CHECK(SlotsAtPace(8, 0.7) == 8);
  CHECK(SlotsAtPace(8, 1.7) == 4);
  CHECK(SlotsAtPace(8, 20) == 1);
  CHECK(FitsOnlyElsewhere(seconds(4), 1.7, seconds(5)));
  CHECK_FALSE(FitsOnlyElsewhere(seconds(4), 1.7, seconds(3)));
  CHECK_FALSE(FitsOnlyElsewhere(seconds(4), 1.7, seconds(7)));
}

}  // namespace
}  // namespace carawayrelay
