#include <doctest/doctest.h>

#include <memory>
#include <thread>

#include "carawayrelay/process.h"
#include "carawayrelay/request.h"

namespace carawayrelay {
namespace {

struct RingFixture {
  Ring<std::unique_ptr<int>> ring{2};
};

// Guards against losing the item of a failed push, which would drop a message
// of a connection.
TEST_CASE_FIXTURE(RingFixture,
                  "Ring, TryPush when full, leaves the item unchanged") {
  CHECK(ring.TryPush(std::make_unique<int>(1)));
  CHECK(ring.TryPush(std::make_unique<int>(2)));
  auto item = std::make_unique<int>(3);
  CHECK_FALSE(ring.TryPush(item));
  REQUIRE(item != nullptr);
  CHECK(*item == 3);
}

// Guards against a producer that stays paused after the ring was full because
// it is not notified of free capacity.
TEST_CASE_FIXTURE(RingFixture,
                  "Ring, pop after a failed push, calls the space callback") {
  int calls = 0;
  ring.SetSpaceCallback([&] { ++calls; });
  ring.Push(std::make_unique<int>(1));
  ring.Push(std::make_unique<int>(2));
  ring.TryPop();
  CHECK(calls == 0);
  ring.Push(std::make_unique<int>(3));
  CHECK_FALSE(ring.TryPush(std::make_unique<int>(4)));
  ring.TryPop();
  CHECK(calls == 1);
}

// Guards against waiting threads that cannot be joined at shutdown.
TEST_CASE_FIXTURE(RingFixture, "Ring, closed, stops Pop and fails Push") {
  std::thread consumer([&] {
    while (ring.Pop()) {
    }
  });
  ring.Close();
  consumer.join();
  CHECK_FALSE(ring.Push(std::make_unique<int>(1)));
}

// Guards against a consumer that misses its deadline while no items arrive.
TEST_CASE_FIXTURE(RingFixture,
                  "Ring, PopUntil when empty, returns at the deadline") {
  const TimePoint start = BootClock::now();
  CHECK_FALSE(ring.PopUntil(start + std::chrono::milliseconds(20)));
  CHECK(BootClock::now() - start >= std::chrono::milliseconds(20));
}

}  // namespace
}  // namespace carawayrelay
