#include "process/store/store_transfer_queue.h"

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct StoreTransferQueueFixture : ServingFixture {
  StoreTransferQueue queue{{.seed = 1, .max_bytes = 1000},
                           store.sender(),
                           clock};
  std::vector<std::string> ended;  // names of objects, in the order of the ends
  std::vector<StoreStatus> statuses;

  void Read(const std::string& name,
            size_t bytes,
            milliseconds limit = seconds(10)) {
    queue.Add({.request = ObjectRead{.name = name},
               .bytes = bytes,
               .time_limit = limit},
              [this, name](const StoreResponse& response) {
                ended.push_back(name);
                statuses.push_back(response.status);
              });
  }
  // Returns the names of the objects that are being read.
  std::vector<std::string> Running() const {
    std::vector<std::string> names;
    for (const OutboundCall& call : started) {
      names.push_back(call.target.substr(call.target.rfind('/') + 1));
    }
    return names;
  }
  // Returns when the attempts of one read that always fails begin, from the
  // first one on.
  std::vector<milliseconds> AttemptTimes(StoreTransferQueue& of) {
    std::vector<milliseconds> times;
    const TimePoint begin = now();
    of.Add({.request = ObjectRead{.name = "a"},
            .bytes = 10,
            .time_limit = seconds(8)},
           [](const StoreResponse&) {});
    while (now() - begin < seconds(8)) {
      if (!started.empty()) {
        times.push_back(
            std::chrono::duration_cast<milliseconds>(now() - begin));
        const OutboundCallId id = started[0].id;
        started.clear();
        Respond(id, 503, {}, "");
      }
      Advance(milliseconds(1));
      of.Tick(now());
    }
    return times;
  }
};

// Guards against transfers that all time out because too many run at once.
TEST_CASE_FIXTURE(StoreTransferQueueFixture,
                  "StoreTransferQueue, more than the limit, waits in order") {
  Read("a", 600);
  Read("b", 600);
  Read("c", 300);
  CHECK(Running() == std::vector<std::string>{"a"});
  Respond(started[0].id, 200, {}, "x");
  CHECK(Running() == std::vector<std::string>{"b", "c"});
  CHECK(ended == std::vector<std::string>{"a"});
}

// Guards against a transfer over the limit that never runs.
TEST_CASE_FIXTURE(StoreTransferQueueFixture,
                  "StoreTransferQueue, larger than the limit, runs alone") {
  Read("a", 10);
  Read("large", 5000);
  Read("b", 10);
  CHECK(Running() == std::vector<std::string>{"a"});
  Respond(started[0].id, 200, {}, "x");
  CHECK(Running() == std::vector<std::string>{"large"});
  Respond(started[0].id, 200, {}, "x");
  CHECK(Running() == std::vector<std::string>{"b"});
}

// Guards against a timeout that a large transfer cannot keep.
TEST_CASE_FIXTURE(StoreTransferQueueFixture,
                  "StoreTransferQueue, large transfer, has more time") {
  Read("small", 10);
  const milliseconds small = started[0].total_timeout;
  Respond(started[0].id, 200, {}, "x");
  Read("large", size_t{4} << 20);
  CHECK(started[0].total_timeout > small + seconds(10));
}

// Guards against processes that fail together and try again together, for good
// and without a pause.
TEST_CASE_FIXTURE(StoreTransferQueueFixture,
                  "StoreTransferQueue, failures, pauses grow and differ") {
  const std::vector<milliseconds> first = AttemptTimes(queue);
  StoreTransferQueue other({.seed = 2, .max_bytes = 1000}, store.sender(),
                           clock);
  const std::vector<milliseconds> second = AttemptTimes(other);
  CHECK(first.size() <= 12);
  CHECK(first.size() >= 4);
  CHECK(first.back() > seconds(4));
  CHECK(first != second);
  CHECK(second.size() <= 12);
}

TEST_CASE_FIXTURE(StoreTransferQueueFixture,
                  "StoreTransferQueue, time over, ends with the last failure") {
  Read("a", 10, milliseconds(300));
  for (int i = 0; i < 40; ++i) {
    if (!started.empty()) {
      Respond(started[0].id, 503, {}, "");
      started.clear();
    }
    Advance(milliseconds(20));
    queue.Tick(now());
  }
  CHECK(statuses == std::vector<StoreStatus>{StoreStatus::kRefused});
  CHECK(queue.size() == 0);
}

TEST_CASE_FIXTURE(StoreTransferQueueFixture,
                  "StoreTransferQueue, object missing, ends at once") {
  Read("a", 10);
  Respond(started[0].id, 404, {}, "");
  CHECK(statuses == std::vector<StoreStatus>{StoreStatus::kNotFound});
}

}  // namespace
}  // namespace carawayrelay
