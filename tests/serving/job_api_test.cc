#include "process/jobs/job_api.h"

#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Guards against a job that is lost because it was accepted before it was
// stored.
TEST_CASE_FIXTURE(JobFixture, "JobApi, new job, is accepted once stored") {
  Submit("j", Submission(3));
  CHECK(responses.empty());
  RunUntilIdle();
  CHECK(LastStatus() == 202);
  CHECK(StoredState("j").items.size() == 3);
}

// Guards against a job that is stored twice when its client resends it to the
// same or another frontend.
TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, same job again, is accepted and stored once") {
  Submit("j", Submission(3));
  RunUntilIdle();
  const std::uint64_t version = rows.version();
  Submit("j", Submission(3));
  RunUntilIdle();
  CHECK(LastStatus() == 202);
  jobs.Apply({}, /*is_full=*/true);  // as at another frontend
  Submit("j", Submission(3));
  RunUntilIdle();
  CHECK(LastStatus() == 202);
  CHECK(rows.version() == version);
}

// Guards against a job that is refused although the store has it: the response
// to the write is lost.
TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, response of the store lost, is accepted") {
  int writes = 0;
  store_fault = [&](const OutboundCall& call) {
    return call.method == "POST" && writes++ == 0 ? StoreFault::kLoseResponse
                                                  : StoreFault::kNone;
  };
  Submit("j", Submission(2));
  RunUntilIdle();
  Advance(milliseconds(50));
  RunUntilIdle();
  CHECK(LastStatus() == 202);
  CHECK(StoredState("j").items.size() == 2);
}

// Guards against the run state "not run" for a job that the store may still
// write.
TEST_CASE_FIXTURE(JobFixture, "JobApi, store silent, run state is unknown") {
  store_fault = [](const OutboundCall&) { return StoreFault::kLoseCall; };
  Submit("j", Submission(2));
  for (int i = 0; i < 40; ++i) {
    Advance(milliseconds(100));
    RunUntilIdle();
  }
  REQUIRE(responses.size() == 1);
  CHECK(std::get<Refusal>(responses[0]).run_state == RunState::kUnknown);
}

// Guards against the run state "unknown" for a job that was never written.
TEST_CASE_FIXTURE(JobFixture, "JobApi, store refuses, is refused as not run") {
  store_fault = [](const OutboundCall&) { return StoreFault::kRefuse; };
  Submit("j", Submission(2));
  for (int i = 0; i < 40; ++i) {
    Advance(milliseconds(100));
    RunUntilIdle();
  }
  REQUIRE(responses.size() == 1);
  CHECK(std::get<Refusal>(responses[0]).run_state == RunState::kNotRun);
  CHECK(LastStatus() == 503);
}

TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, too many waiting tokens, is refused with 429") {
  route.bulk.max_pending_tokens = 500;
  Submit("j1", Submission(3));
  RunUntilIdle();
  Submit("j2", Submission(3));
  CHECK(LastStatus() == 429);
  CHECK(std::get<Refusal>(responses.back()).run_state == RunState::kNotRun);
  ListItem("j1", 0, "a");
  ListItem("j1", 1, "b");
  Submit("j2", Submission(3));
  RunUntilIdle();
  CHECK(LastStatus() == 202);
}

// Guards against jobs that together exceed the limit while they are being
// stored.
TEST_CASE_FIXTURE(JobFixture, "JobApi, jobs being stored, count as waiting") {
  route.bulk.max_pending_tokens = 500;
  Submit("j1", Submission(3));
  Submit("j2", Submission(3));
  CHECK(LastStatus() == 429);
}

TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, large submission, is stored in an object") {
  Submit("j", Submission(3, std::string(20000, 'x')));
  RunUntilIdle();
  CHECK(LastStatus() == 202);
  CHECK(rows.object_count() == 1);
  api.Handle(ClientCallId{2},
             platform::ReadItemBody{.job = "j", .item = "item-2"}, "w", true);
  RunUntilIdle();
  CHECK(std::get<CompleteResponse>(responses.back()).body ==
        std::string(20000, 'x'));
}

TEST_CASE_FIXTURE(JobFixture, "JobApi, results, are read from any position") {
  Submit("j", Submission(3));
  RunUntilIdle();
  Read("j", 0);
  CHECK(LastBody()["total"] == 3);
  CHECK(LastBody()["next"] == 0);
  ListItem("j", 2, "c\nd");
  ListItem("j", 0, "a");
  Read("j", 0);
  CHECK(LastBody()["next"] == 2);
  CHECK(LastBody()["results"][0]["id"] == "item-2");
  CHECK(LastBody()["results"][0]["text"] == "c\nd");
  Read("j", 1);
  CHECK(LastBody()["results"].size() == 1);
  CHECK(LastBody()["results"][0]["id"] == "item-0");
  Read("j", 2);
  CHECK(LastBody()["results"].empty());
  CHECK(LastBody()["next"] == 2);
}

// Guards against a 404 for a job that another frontend accepted and that is not
// in the job table yet.
TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, job not in the table, is read from store") {
  Submit("j", Submission(1));
  RunUntilIdle();
  jobs.Apply({}, /*is_full=*/true);
  Read("j", 0);
  CHECK(LastStatus() == 200);
  Read("none", 0);
  CHECK(LastStatus() == 404);
}

// Guards against a 404 from a frontend that cannot read the store.
TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, job not in the table and no store, 503") {
  store_fault = [](const OutboundCall&) { return StoreFault::kRefuse; };
  Read("j", 0);
  CHECK(LastStatus() == 503);
}

// Guards against a workspace that reads or ends the job of another one.
TEST_CASE_FIXTURE(JobFixture, "JobApi, job of another workspace, 404") {
  Submit("j", Submission(1));
  RunUntilIdle();
  api.Handle(ClientCallId{2}, platform::ReadResults{.job = "j"}, "other", true);
  CHECK(LastStatus() == 404);
  api.Handle(ClientCallId{2}, platform::EndJob{.job = "j"}, "other", true);
  RunUntilIdle();
  CHECK(LastStatus() == 404);
  CHECK_FALSE(StoredState("j").is_ended);
}

// Guards against an error for a client that ends its job again because it did
// not receive the response.
TEST_CASE_FIXTURE(JobFixture, "JobApi, job ended twice, both succeed") {
  Submit("j", Submission(1));
  RunUntilIdle();
  for (int i = 0; i < 2; ++i) {
    api.Handle(ClientCallId{2}, platform::EndJob{.job = "j"}, "w", true);
    RunUntilIdle();
    CHECK(LastStatus() == 200);
  }
  CHECK(StoredState("j").is_ended);
}

// Guards against an end that is acknowledged although nothing was stored,
// because the row of the job cannot be read any more.
TEST_CASE_FIXTURE(JobFixture, "JobApi, unreadable job is ended, 503") {
  Submit("j", Submission(1));
  RunUntilIdle();
  const RowKey key = job_rows::State("j");
  rows.Put(key.table, key.part, key.key, "damaged");
  api.Handle(ClientCallId{2}, platform::EndJob{.job = "j"}, "w", true);
  RunUntilIdle();
  CHECK(LastStatus() == 503);
}

TEST_CASE_FIXTURE(JobFixture, "JobApi, malformed submissions, 400") {
  for (const char* body :
       {"", "[]", R"({"items":[]})", R"({"items":[{"id":"a"}]})",
        R"({"items":[{"id":"a","path":"/b/1","body":"?"}]})",
        R"({"items":[{"id":"a b","path":"/b/1"}]})"}) {
    Submit("j", body);
    CHECK(LastStatus() == 400);
  }
}

// Guards against an item whose result never fits into a row, because its id is
// as large as the row.
TEST_CASE_FIXTURE(JobFixture, "JobApi, id of an item too long, 400") {
  nlohmann::json body = nlohmann::json::parse(Submission(1));
  body["items"][0]["id"] = std::string(129, 'i');
  Submit("j", body.dump());
  CHECK(LastStatus() == 400);
}

// Guards against a submission that is tried for seconds although the store will
// never take it.
TEST_CASE_FIXTURE(JobFixture,
                  "JobApi, store rejects the job for good, refused at once") {
  Submit(std::string(201, 'j'), Submission(1));
  RunUntilIdle();
  REQUIRE(responses.size() == 1);
  CHECK(LastStatus() == 400);
  CHECK(std::get<Refusal>(responses[0]).run_state == RunState::kNotRun);
}

}  // namespace
}  // namespace carawayrelay
