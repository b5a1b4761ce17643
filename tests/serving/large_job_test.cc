#include "serving/worker_fleet_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Most items that a job may have, with bodies that fill a submission of 4 MB.
constexpr int kItems = 200;
constexpr size_t kBodyBytes = 15000;
constexpr size_t kSubmissionBytes = 4'000'000;

// Guards against an accepted job whose items never run: all workers read the
// whole submission for each item, and the reads timed out together for good.
TEST_CASE_FIXTURE(WorkerFleetFixture,
                  "ItemWorkers, large job over a shared link, all items are "
                  "listed") {
  AddWorkers(14);
  RunFor(milliseconds(500));
  Submit("j", Submission(kItems, std::string(kBodyBytes, 'x')));
  RunFor(seconds(18));
  CHECK(LastStatus() == 202);
  CHECK(CountListed("j") == kItems);
}

// Guards against reads that grow with the job and not with what is claimed: the
// items of one backend server are a small part of the job.
TEST_CASE_FIXTURE(
    WorkerFleetFixture,
    "ItemWorker, few items of a large job claimed, reads little") {
  Submit("j", Submission(kItems, std::string(kBodyBytes, 'x')));
  RunFor(milliseconds(500));
  REQUIRE(LastStatus() == 202);
  bytes_of_whole_transfers = 0;
  AddWorkers(1);
  size_t runs = 0;
  on_run = [&](const OutboundCall&) { return ++runs > 0; };
  RunFor(milliseconds(900));
  REQUIRE(runs > 0);
  CHECK(bytes_of_whole_transfers < kSubmissionBytes);
}

// Guards against a client that is told "accepted" or "refused" late because the
// whole submission is sent again after one lost write.
TEST_CASE_FIXTURE(WorkerFleetFixture,
                  "JobIntake, one write of a large job lost, only it is "
                  "repeated") {
  size_t written = 0;
  int lost = 0;
  store_fault = [&](const OutboundCall& call) {
    if (!call.target.starts_with("/blob-put/")) {
      return StoreFault::kNone;
    }
    written += call.body.size();
    return lost++ == 0 ? StoreFault::kLoseCall : StoreFault::kNone;
  };
  Submit("j", Submission(kItems, std::string(kBodyBytes, 'x')));
  RunFor(milliseconds(2000));
  CHECK(LastStatus() == 202);
  CHECK(written < kSubmissionBytes * 5 / 4);
}

// Guards against giving up a large job by reading all its bodies again and
// again, in each worker.
TEST_CASE_FIXTURE(WorkerFleetFixture,
                  "ItemWorkers, large job past its retention, bodies are not "
                  "read") {
  AddWorkers(3);
  on_run = [](const OutboundCall&) { return true; };  // no backend answers
  RunFor(milliseconds(500));
  Submit("j", Submission(kItems, std::string(kBodyBytes, 'x')));
  RunFor(seconds(2));  // all slots have an item
  REQUIRE(LastStatus() == 202);
  begun_transfers = 0;
  Advance(seconds(60));
  RunFor(seconds(29));
  CHECK(CountListed("j") == kItems);
  CHECK(begun_transfers == 0);
}

// Guards against progress that is thrown away because one read of it failed.
TEST_CASE_FIXTURE(WorkerFleetFixture,
                  "ItemWorker, partial result not readable for a moment, run "
                  "resumes after its last event") {
  Submit("j", Submission(1));
  RunFor(milliseconds(200));
  BulkJob job = StoredState("j");
  job.items[0].has_partial = true;
  const RowKey state = job_rows::State("j");
  const RowKey partial = job_rows::Partial("j", 0);
  rows.Put(state.table, state.part, state.key, EncodeBulkJob(job));
  rows.Put(partial.table, partial.part, partial.key,
           EncodePartialRun({.last_event = 7, .text = "seven events"}));
  int refusals = 0;
  store_fault = [&](const OutboundCall& call) {
    const bool is_partial =
        call.target.find(job_rows::kPartials) != std::string::npos;
    return is_partial && refusals++ < 3 ? StoreFault::kRefuse
                                        : StoreFault::kNone;
  };
  std::string resumed_after;
  on_run = [&](const OutboundCall& call) {
    resumed_after = FindHeader(call.headers, "last-event-id");
    return true;
  };
  AddWorkers(1);
  RunFor(seconds(5));
  CHECK(refusals > 3);
  CHECK(resumed_after == "7");
}

// Guards against items that run again and again because their long texts cannot
// be written for a moment.
TEST_CASE_FIXTURE(WorkerFleetFixture,
                  "ItemWorker, long text not writable for a moment, item runs "
                  "once") {
  AddWorkers(1);
  int refusals = 0;
  store_fault = [&](const OutboundCall& call) {
    return call.target.starts_with("/blob-put/") && refusals++ < 5
               ? StoreFault::kRefuse
               : StoreFault::kNone;
  };
  int runs = 0;
  on_run = [&](const OutboundCall& call) {
    ++runs;
    const std::string event = "data: " + std::string(60000, 'x') + "\n\n";
    Respond(call.id, 200, SignedFor(call),
            FindHeader(call.headers, "last-event-id").empty()
                ? "id: 1\n" + event
                : "");
    return true;
  };
  RunFor(milliseconds(500));
  Submit("j", Submission(1));
  RunFor(seconds(10));
  CHECK(refusals > 5);
  CHECK(runs == 1);
  CHECK(CountListed("j") == 1);
}

// Guards against jobs that a former version accepted and that no worker of this
// version can run.
TEST_CASE_FIXTURE(WorkerFleetFixture,
                  "ItemWorkers, job stored in one object, all items are "
                  "listed") {
  const std::string body = Submission(30, std::string(5000, 'x'));
  Submit("j", body);
  RunFor(milliseconds(500));
  REQUIRE(LastStatus() == 202);
  const RowKey key = job_rows::Submission("j");
  rows.Put(key.table, key.part, key.key, "o");
  rows.PutObject(job_rows::SubmissionObject("j"), body);
  AddWorkers(2);
  RunFor(seconds(10));
  CHECK(CountListed("j") == 30);
  api.Handle(ClientCallId{2},
             platform::ReadItemBody{.job = "j", .item = "item-29"}, "w", true);
  RunFor(seconds(1));
  CHECK(std::get<CompleteResponse>(responses.back()).body ==
        std::string(5000, 'x'));
}

}  // namespace
}  // namespace carawayrelay
