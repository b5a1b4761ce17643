#include "process/jobs/job_writer.h"

#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct JobWriterFixture : JobFixture {
  std::vector<JobWriter::Outcome> outcomes;

  JobWriterFixture() {
    Submit("j", Submission(4));
    Settle();
  }

  // Adds one failure to the item; the edit knows its effect by the count.
  JobWriter::Edit Count(size_t item, int expected) {
    return {.apply =
                [item, expected](BulkJob& job, RowsTransaction&) {
                  if (job.items[item].failures >= expected) {
                    return JobWriter::Outcome::kAlready;
                  }
                  job.items[item].failures = expected;
                  return JobWriter::Outcome::kChanged;
                },
            .done = [this](JobWriter::Outcome o) { outcomes.push_back(o); }};
  }
  // Another process changes the same job.
  void ChangeElsewhere() {
    BulkJob job = StoredState("j");
    job.items[3].failures = 9;
    const RowKey key = job_rows::State("j");
    rows.Put(key.table, key.part, key.key, EncodeBulkJob(job));
  }
};

// Guards against a change that overwrites the change of another process.
TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, changed elsewhere, both changes hold") {
  ChangeElsewhere();
  writer.Add("j", Count(0, 1));
  Settle();
  CHECK(outcomes == std::vector{JobWriter::Outcome::kChanged});
  CHECK(StoredState("j").items[0].failures == 1);
  CHECK(StoredState("j").items[3].failures == 9);
}

TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, edits that wait together, one write") {
  const std::uint64_t version = rows.version();
  writer.Add("j", Count(0, 1));
  writer.Add("j", Count(1, 1));
  writer.Add("j", Count(2, 1));
  Settle();
  CHECK(rows.version() == version + 1);
  CHECK(outcomes.size() == 3);
}

// Guards against a change that is made twice after a lost answer.
TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, answer lost, finds its change done") {
  int writes = 0;
  store_fault = [&](const OutboundCall& call) {
    return call.method == "POST" && writes++ == 0 ? StoreFault::kLoseResponse
                                                  : StoreFault::kNone;
  };
  writer.Add("j", Count(0, 1));
  Settle();
  Advance(milliseconds(100));
  Settle();
  CHECK(outcomes == std::vector{JobWriter::Outcome::kAlready});
  CHECK(StoredState("j").items[0].failures == 1);
}

TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, store away, change is made when it is back") {
  store_fault = [](const OutboundCall&) { return StoreFault::kLoseCall; };
  writer.Add("j", Count(0, 1));
  for (int i = 0; i < 10; ++i) {
    Advance(milliseconds(500));
    Settle();
  }
  CHECK(outcomes.empty());
  store_fault = nullptr;
  Advance(milliseconds(500));
  Settle();
  CHECK(StoredState("j").items[0].failures == 1);
}

TEST_CASE_FIXTURE(JobWriterFixture, "JobWriter, unknown job, edit is moot") {
  writer.Add("none", Count(0, 1));
  Settle();
  CHECK(outcomes == std::vector{JobWriter::Outcome::kMoot});
}

}  // namespace
}  // namespace carawayrelay
