#include "process/batch/held_chunk_table.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace carawayrelay {
namespace {

struct HeldChunkTableFixture {
  const TimePoint now{std::chrono::hours(1)};
  HeldChunkTable held_chunks{{.backend_failures = 3, .lost_connections = 5}};

  ChunkId AddChunk(const std::string& job,
                   const std::string& workspace,
                   size_t items,
                   const std::string& model = "m") {
    ClaimedChunk chunk;
    chunk.lease = {.id = {job, held_chunks.ChunkNumbersOfJob(job).size()},
                   .workspace = workspace};
    for (size_t i = 0; i < items; ++i) {
      chunk.items.push_back({std::to_string(i), model, "{}"});
    }
    held_chunks.Add(chunk, now);
    return chunk.lease.id;
  }

  std::optional<ItemRef> Take(const std::string& route = "m") {
    return held_chunks.TakeItem(
        {route}, [](const std::string& w) { return w == "heavy" ? 3 : 1; },
        now);
  }

  int CountTakes(const std::string& job, int takes) {
    int count = 0;
    for (int i = 0; i < takes; ++i) {
      count += Take()->chunk.job == job ? 1 : 0;
    }
    return count;
  }
};

// Guards against an item that always fails and so prevents the commit of its
// chunk. Attempts that end for other reasons must not count as failures.
TEST_CASE_FIXTURE(HeldChunkTableFixture,
                  "HeldChunkTable, third backend failure, fails the item") {
  const ChunkId id = AddChunk("j", "w", 1);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(held_chunks.IsComplete(id));
    held_chunks.RequeueItem(*Take(), ItemAttemptEnd::kNotRun, "busy", now);
    held_chunks.RequeueItem(*Take(), ItemAttemptEnd::kPreempted, "online", now);
    held_chunks.RequeueItem(*Take(), ItemAttemptEnd::kConnectionLost, "closed",
                            now);
    held_chunks.RequeueItem(*Take(), ItemAttemptEnd::kBackendFailed,
                            "status 500", now);
  }
  REQUIRE(held_chunks.IsComplete(id));
  const ChunkResult result = held_chunks.BuildResult(id);
  CHECK(result.counts.failed == 1);
  CHECK(result.error_lines.find("failed 3 times, last: status 500") !=
        std::string::npos);
}

// Guards against an item that crashes one backend server after another. The
// crashes show as lost connections.
TEST_CASE_FIXTURE(HeldChunkTableFixture,
                  "HeldChunkTable, fifth lost connection, fails the item") {
  const ChunkId id = AddChunk("j", "w", 1);
  for (int i = 0; i < 5; ++i) {
    held_chunks.RequeueItem(*Take(), ItemAttemptEnd::kConnectionLost, "closed",
                            now);
  }
  CHECK(held_chunks.IsComplete(id));
}

// Guards against a workspace that gets more than its share by having more jobs.
TEST_CASE_FIXTURE(
    HeldChunkTableFixture,
    "HeldChunkTable, several workspaces, share by weight, not by jobs") {
  AddChunk("a1", "w", 50);
  AddChunk("a2", "w", 50);
  AddChunk("b", "v", 50);
  AddChunk("c", "heavy", 50);
  CHECK(CountTakes("c", 50) == doctest::Approx(30).epsilon(0.1));
  CHECK(CountTakes("b", 25) == doctest::Approx(5).epsilon(0.3));
  CHECK(CountTakes("a1", 20) == doctest::Approx(2).epsilon(0.6));
}

// Guards against a workspace that was idle and then gets all capacity until it
// has caught up with the others.
TEST_CASE_FIXTURE(
    HeldChunkTableFixture,
    "HeldChunkTable, workspace after idle time, gets its usual share") {
  AddChunk("a", "w", 200);
  CHECK(CountTakes("a", 100) == 100);
  AddChunk("b", "v", 200);
  CHECK(CountTakes("b", 20) == doctest::Approx(10).epsilon(0.1));
}

// Guards against a chunk whose model has no backend server and that blocks
// chunks of other models.
TEST_CASE_FIXTURE(
    HeldChunkTableFixture,
    "HeldChunkTable, chunk without route, does not block others") {
  AddChunk("a", "w", 1, "cold");
  AddChunk("b", "w", 1, "m");
  CHECK(Take()->chunk.job == "b");
  CHECK_FALSE(Take());
  CHECK(held_chunks.FindIdleChunk(now + std::chrono::seconds(1))->job == "a");
}

}  // namespace
}  // namespace carawayrelay
