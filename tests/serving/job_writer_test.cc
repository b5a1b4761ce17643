#include "process/jobs/job_writer.h"

#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct JobWriterFixture : JobFixture {
  std::vector<JobWriter::Outcome> outcomes;

  JobWriterFixture() {
    Submit("j", Submission(4));
    RunUntilIdle();
  }

  // Sets the failure count of the item to `expected`. The edit recognizes its
  // effect by the count.
  JobWriter::Edit Count(size_t item, int expected) {
    return {.apply =
                [item, expected](BulkJob& job, RowsTransaction&) {
                  if (job.items[item].failures >= expected) {
                    return JobWriter::Outcome::kAlreadyApplied;
                  }
                  job.items[item].failures = expected;
                  return JobWriter::Outcome::kChanged;
                },
            .done =
                [this](JobWriter::Outcome outcome) {
                  outcomes.push_back(outcome);
                }};
  }
  // Changes the same job as another process would.
  void ChangeElsewhere() {
    BulkJob job = StoredState("j");
    job.items[3].failures = 9;
    const RowKey key = job_rows::State("j");
    rows.Put(key.table, key.part, key.key, EncodeBulkJob(job));
  }
};

// Guards against an edit that overwrites the change of another process.
TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, changed elsewhere, both changes are kept") {
  ChangeElsewhere();
  writer.Add("j", Count(0, 1));
  RunUntilIdle();
  CHECK(outcomes == std::vector{JobWriter::Outcome::kChanged});
  CHECK(StoredState("j").items[0].failures == 1);
  CHECK(StoredState("j").items[3].failures == 9);
}

TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, edits that wait together, use one write") {
  const std::uint64_t version = rows.version();
  writer.Add("j", Count(0, 1));
  writer.Add("j", Count(1, 1));
  writer.Add("j", Count(2, 1));
  RunUntilIdle();
  CHECK(rows.version() == version + 1);
  CHECK(outcomes.size() == 3);
}

// Guards against an edit that is applied twice after a lost response.
TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, response lost, edit is recognized as applied") {
  int writes = 0;
  store_fault = [&](const OutboundCall& call) {
    return call.method == "POST" && writes++ == 0 ? StoreFault::kLoseResponse
                                                  : StoreFault::kNone;
  };
  writer.Add("j", Count(0, 1));
  RunUntilIdle();
  Advance(milliseconds(100));
  RunUntilIdle();
  CHECK(outcomes == std::vector{JobWriter::Outcome::kAlreadyApplied});
  CHECK(StoredState("j").items[0].failures == 1);
}

TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, store unavailable, edit is written afterwards") {
  store_fault = [](const OutboundCall&) { return StoreFault::kLoseCall; };
  writer.Add("j", Count(0, 1));
  for (int i = 0; i < 10; ++i) {
    Advance(milliseconds(500));
    RunUntilIdle();
  }
  CHECK(outcomes.empty());
  store_fault = nullptr;
  Advance(milliseconds(500));
  RunUntilIdle();
  CHECK(StoredState("j").items[0].failures == 1);
}

TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, unknown job, edit is obsolete") {
  writer.Add("none", Count(0, 1));
  RunUntilIdle();
  CHECK(outcomes == std::vector{JobWriter::Outcome::kObsolete});
}

// Guards against an end of a job that is acknowledged although it is not in the
// store: a second request for the end saw the change of the first one, whose
// write was refused. Once an item ran 17 s after the acknowledgement.
TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, same edit twice and write refused, neither is "
                  "done") {
  bool is_refusing = true;
  store_fault = [&](const OutboundCall& call) {
    return is_refusing && call.method == "POST" ? StoreFault::kRefuse
                                                : StoreFault::kNone;
  };
  writer.Add("j", Count(0, 1));
  writer.Add("j", Count(0, 1));
  RunUntilIdle();
  CHECK(outcomes.empty());
  CHECK(StoredState("j").items[0].failures == 0);
  is_refusing = false;
  Advance(milliseconds(1000));
  RunUntilIdle();
  CHECK(StoredState("j").items[0].failures == 1);
  CHECK(outcomes == std::vector{JobWriter::Outcome::kChanged,
                                JobWriter::Outcome::kAlreadyApplied});
}

// Guards against a transaction over the store's limit of entries or bytes,
// which is refused each time it is sent again: no edit of the job is written
// any more. Once six jobs were never finished.
TEST_CASE_FIXTURE(
    JobWriterFixture,
    "JobWriter, edits over the limits of the store, all written") {
  for (const size_t value_bytes : {10, 30000}) {
    CAPTURE(value_bytes);
    outcomes.clear();
    constexpr size_t kEdits = 150;
    for (size_t i = 0; i < kEdits; ++i) {
      JobWriter::Edit edit = Count(0, static_cast<int>(value_bytes + i));
      edit.apply = [count = edit.apply, i, value_bytes](
                       BulkJob& job, RowsTransaction& transaction) {
        transaction.writes.push_back({.key = job_rows::Result("j", i),
                                      .value = std::string(value_bytes, 'x')});
        return count(job, transaction);
      };
      writer.Add("j", std::move(edit));
    }
    for (int i = 0; i < 10; ++i) {
      Advance(milliseconds(500));
      RunUntilIdle();
    }
    CHECK(outcomes == std::vector(kEdits, JobWriter::Outcome::kChanged));
    CHECK(rows.refused_transactions() == 0);
    const RowKey last = job_rows::Result("j", kEdits - 1);
    CHECK(rows.Get(last.table, last.part, last.key).size() == value_bytes);
  }
}

// Guards against one write that the store refuses for good and that holds up
// all other edits of the job.
TEST_CASE_FIXTURE(JobWriterFixture,
                  "JobWriter, one edit never fits, the others are written") {
  JobWriter::Edit too_large = Count(1, 1);
  too_large.apply = [](BulkJob& job, RowsTransaction& transaction) {
    job.items[1].failures = 1;
    transaction.writes.push_back(
        {.key = job_rows::Result("j", 0), .value = std::string(60000, 'x')});
    return JobWriter::Outcome::kChanged;
  };
  writer.Add("j", Count(0, 1));
  writer.Add("j", std::move(too_large));
  writer.Add("j", Count(2, 1));
  for (int i = 0; i < 10; ++i) {
    Advance(milliseconds(500));
    RunUntilIdle();
  }
  CHECK(outcomes.size() == 3);
  CHECK(StoredState("j").items[0].failures == 1);
  CHECK(StoredState("j").items[1].failures == 0);
  CHECK(StoredState("j").items[2].failures == 1);
}

}  // namespace
}  // namespace carawayrelay
