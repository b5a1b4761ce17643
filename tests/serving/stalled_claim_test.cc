#include "serving/worker_fleet_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Workers of which the first one cannot finish an item, though its backend
// server answers load reports.
struct StalledClaimFixture : WorkerFleetFixture {
  // Submits a job before the other workers start, so that the first one claims
  // all items.
  void SubmitToFirst(const std::string& body) {
    AddWorkers(1);
    RunFor(milliseconds(500));
    Submit("j", body);
    RunFor(seconds(2));
    REQUIRE(CountListed("j") == 0);
    REQUIRE(StoredState("j").items[0].owner == "side-1");
    AddWorkers(3);
  }
  bool IsFirst(const OutboundCall& call) const {
    return call.address == workers[0]->address;
  }
};

// Guards against an item that stays with a backend server which accepts it and
// sends nothing: its worker stopped the run and began it anew, and renewed the
// claim.
TEST_CASE_FIXTURE(StalledClaimFixture,
                  "ItemWorkers, server sends nothing, another worker runs the "
                  "item") {
  on_run = [this](const OutboundCall& call) { return IsFirst(call); };
  SubmitToFirst(Submission(2));
  RunFor(seconds(12));
  CHECK(CountListed("j") == 2);
}

// Guards against an item that stays with a backend server which declines it
// each time.
TEST_CASE_FIXTURE(StalledClaimFixture,
                  "ItemWorkers, server declines each run, another worker runs "
                  "the item") {
  on_run = [this](const OutboundCall& call) {
    if (!IsFirst(call)) {
      return false;
    }
    Respond(call.id, 503, {{"x-carawayrelay-not-executed", "1"}}, "");
    return true;
  };
  SubmitToFirst(Submission(2));
  RunFor(seconds(12));
  CHECK(CountListed("j") == 2);
}

// Guards against an item that stays with a worker whose writes of long texts
// fail.
TEST_CASE_FIXTURE(StalledClaimFixture,
                  "ItemWorkers, text cannot be stored, another worker runs the "
                  "item") {
  const std::string text(size_t{100} << 10, 'x');
  on_run = [&](const OutboundCall& call) {
    const std::string last = FindHeader(call.headers, "last-event-id");
    HeaderList headers = SignedFor(call);
    headers.emplace_back("transfer-encoding", "chunked");
    Respond(call.id, 200, std::move(headers),
            last.empty() ? "id: 1\ndata: " + text + "\n\n" : "");
    return true;
  };
  store_fault = [this](const OutboundCall& call) {
    const RowKey key = job_rows::State("j");
    const bool is_claimed_by_first =
        !rows.Get(key.table, key.part, key.key).empty() &&
        StoredState("j").items[0].owner == "side-1";
    return is_claimed_by_first && call.target.starts_with("/blob-put/")
               ? StoreFault::kRefuse
               : StoreFault::kNone;
  };
  SubmitToFirst(Submission(1));
  RunFor(seconds(45));
  CHECK(CountListed("j") == 1);
}

}  // namespace
}  // namespace carawayrelay
