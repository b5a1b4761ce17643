#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "process/batch/batch_dispatcher.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry that holds one chunk of a job for the model "m", with one agent.
struct UnservedChunkFixture {
  UnservedChunkFixture() {
    dispatcher.Handle(
        BatchConfigChanged{
            ConfigSnapshot::Make(ConfigVersion{1}, R"({"routes":[]})").value()},
        now);
    Connect();
    RenewSession();
    dispatcher.Handle(
        LocalJobCreated{{.id = "j", .workspace = "w", .models = {"m"}}}, now);
    const ChunkId id{"j", 0};
    ClaimedChunk chunk{.lease = {.id = id, .workspace = "w"}};
    chunk.items.emplace_back();
    chunk.items.back().model = "m";
    dispatcher.Handle(
        ChunkClaimed{.id = id, .session = "s", .chunk = std::move(chunk)}, now);
    REQUIRE(dispatcher.held_chunk_count() == 1);
  }

  void Connect() {
    dispatcher.Handle(
        LinkUp{.connection = ConnectionId{1}, .peer = {.routes = {"m"}}}, now);
  }
  // Renews the session of the entry and returns what the entry does then.
  std::vector<BatchAction> RenewSession() {
    return dispatcher.Handle(
        SessionChanged{.session = "s", .held_until = now + seconds(5)}, now);
  }
  // Returns the number of chunks that the entry releases within this time.
  int CountReleases(milliseconds time) {
    int releases = 0;
    for (milliseconds passed{0}; passed < time; passed += milliseconds(500)) {
      now += milliseconds(500);
      for (const BatchAction& action : RenewSession()) {
        const auto* request = std::get_if<BatchStoreRequest>(&action);
        releases += request != nullptr &&
                            std::holds_alternative<ReleaseJobChunk>(*request)
                        ? 1
                        : 0;
      }
    }
    return releases;
  }

  TimePoint now{std::chrono::hours(1)};
  BatchDispatcher dispatcher{BatchDispatcher::Options{}};
};

// Guards against a chunk that an entry holds for ever without an agent for its
// model, though another entry has one: its session renews the claim.
TEST_CASE_FIXTURE(UnservedChunkFixture,
                  "BatchDispatcher, last agent of a model is lost, its chunks "
                  "are released") {
  dispatcher.Handle(LinkDown{ConnectionId{1}, "reset"}, now);
  CHECK(CountReleases(seconds(15)) == 1);
  CHECK(dispatcher.held_chunk_count() == 0);
}

// Guards against chunks that pass from entry to entry while agents are only
// busy with online requests, or away for a moment.
TEST_CASE_FIXTURE(UnservedChunkFixture,
                  "BatchDispatcher, agent is busy or back soon, its chunks "
                  "are kept") {
  CHECK(CountReleases(seconds(30)) == 0);
  dispatcher.Handle(LinkDown{ConnectionId{1}, "reset"}, now);
  Connect();
  CHECK(CountReleases(seconds(30)) == 0);
  CHECK(dispatcher.held_chunk_count() == 1);
}

}  // namespace
}  // namespace carawayrelay
