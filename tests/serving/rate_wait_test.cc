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
    return {
        .workspace = workspace,
        .limits = {.settling_until = now + wait, .exceeded_until = now + wait},
        .done = [](const RateVerdict&) {}};
  }
};

// Guards against clients that are held although they could come back and be
// served as if they were new.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "RateWaitLimits, new request, a quarter of the target") {
  const RateWaitLimits limits =
      RateWaitLimitsOf({.arrived = now,
                        .deadline = now + milliseconds(5000),
                        .latency_target = milliseconds(300)});
  CHECK(limits.settling_until == now + milliseconds(75));
  CHECK(limits.exceeded_until == now + milliseconds(75));
  CHECK(RateWaitLimitsOf({.arrived = now, .deadline = now + milliseconds(5000)})
            .settling_until == now);
}

// Guards against clients without a further try that are refused at once, or
// held until they have no time left.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "RateWaitLimits, client came back, waits for part of its "
                  "time") {
  const auto limits_for = [&](milliseconds left) {
    return RateWaitLimitsOf({.arrived = now,
                             .deadline = now + left,
                             .latency_target = milliseconds(300),
                             .is_returning = true});
  };
  CHECK(limits_for(milliseconds(4800)).settling_until ==
        now + milliseconds(1500));
  CHECK(limits_for(milliseconds(1000)).settling_until ==
        now + milliseconds(400));
  CHECK(limits_for(milliseconds(-5)).settling_until == now);
}

// Guards against late requests that take the rate of their workspace from those
// that could be in time: 300 of 3,100 were late instead.
TEST_CASE_FIXTURE(RateWaitFixture,
                  "RateWaitLimits, workspace over its whole rate, waits only "
                  "while in time") {
  const RateWaitLimits limits =
      RateWaitLimitsOf({.arrived = now,
                        .deadline = now + milliseconds(4800),
                        .latency_target = milliseconds(300),
                        .is_returning = true});
  CHECK(limits.exceeded_until == now + milliseconds(150));
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
    if (queue.HasPlace(waiter.workspace)) {
      queue.Add(std::move(waiter), now + milliseconds(100));
      ++added;
    }
  }
  CHECK(added == 32);
  CHECK(queue.HasPlace("other"));
  CHECK(queue.TakeDue(now + milliseconds(99)).empty());
  CHECK(queue.TakeDue(now + milliseconds(100)).size() == 32);
  CHECK(queue.HasPlace("w"));
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
