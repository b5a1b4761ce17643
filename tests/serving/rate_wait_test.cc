#include <doctest/doctest.h>

#include "process/forward/returning_clients.h"
#include "process/limits/rate_wait_limit.h"
#include "process/limits/rate_wait_queue.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct RateWaitFixture {
  TimePoint now{std::chrono::hours(1)};
  RateWaitQueue queue;

  RateWaiter Waiter(const std::string& workspace, milliseconds wait) const {
    return {.workspace = workspace,
            .wait_until = now + wait,
            .done = [](const RateVerdict&) {}};
  }
};

// Guards against clients that are held although they could come back and be
// served as if they were new.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "RateWaitLimit, new request, a quarter of the target") {
  CHECK(RateWaitLimit({.arrived = now,
                       .deadline = now + milliseconds(5000),
                       .latency_target = milliseconds(300)}) ==
        now + milliseconds(75));
  CHECK(RateWaitLimit({.arrived = now, .deadline = now + milliseconds(5000)}) ==
        now);
}

// Guards against clients without a further try that are refused at once, or
// held until they have no time left.
TEST_CASE_FIXTURE(
    RateWaitFixture,
    "RateWaitLimit, client came back, waits for part of its time") {
  const auto limit_for = [&](milliseconds left) {
    return RateWaitLimit({.arrived = now,
                          .deadline = now + left,
                          .latency_target = milliseconds(300),
                          .is_returning = true}) -
           now;
  };
  CHECK(limit_for(milliseconds(4800)) == milliseconds(1500));
  CHECK(limit_for(milliseconds(1000)) == milliseconds(400));
  CHECK(limit_for(milliseconds(-5)) == milliseconds(0));
}

// Guards against taking each request for one that came back, or none.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "ReturningClients, less time left than others, came back") {
  ReturningClients clients;
  CHECK_FALSE(clients.NoteRequest("r", milliseconds(5000)));
  CHECK_FALSE(clients.NoteRequest("r", milliseconds(4990)));
  CHECK(clients.NoteRequest("r", milliseconds(4100)));
  CHECK_FALSE(clients.NoteRequest("other", milliseconds(4100)));
}

// Guards against one workspace that leaves the others no place to wait.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "RateWaitQueue, one workspace waits often, others have a "
                  "place") {
  int added = 0;
  for (int n = 0; n < 200; ++n) {
    RateWaiter waiter = Waiter("w", milliseconds(1000));
    if (queue.HasPlace(waiter, now + milliseconds(100))) {
      queue.Add(std::move(waiter), now + milliseconds(100));
      ++added;
    }
  }
  CHECK(added == 32);
  CHECK(queue.HasPlace(Waiter("other", milliseconds(1000)), now));
  CHECK_FALSE(queue.HasPlace(Waiter("other", milliseconds(50)),
                             now + milliseconds(51)));
  CHECK(queue.TakeDue(now + milliseconds(99)).empty());
  CHECK(queue.TakeDue(now + milliseconds(100)).size() == 32);
  CHECK(queue.HasPlace(Waiter("w", milliseconds(1000)), now));
}

// Guards against waiters that are asked for in another order than that in which
// they are due.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "RateWaitQueue, several due, earliest comes first") {
  queue.Add(Waiter("late", milliseconds(1000)), now + milliseconds(20));
  queue.Add(Waiter("early", milliseconds(1000)), now + milliseconds(10));
  CHECK(queue.NextDue() == now + milliseconds(10));
  const auto due = queue.TakeDue(now + milliseconds(30));
  REQUIRE(due.size() == 2);
  CHECK(due[0].workspace == "early");
}

}  // namespace
}  // namespace carawayrelay
