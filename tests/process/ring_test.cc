#include <doctest/doctest.h>
#include <malloc.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "carawayrelay/process.h"
#include "carawayrelay/request.h"

namespace carawayrelay {
namespace {

struct RingFixture {
  Ring<std::unique_ptr<int>> ring{2};
};

// Guards against rings whose whole capacity becomes resident: 3 MB of each
// process, with a few items in them at a time.
TEST_CASE_FIXTURE(RingFixture,
                  "Ring, items pass through a large ring, memory stays small") {
  const auto allocated = [] {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  const size_t before = allocated();
  constexpr size_t kCapacity = 65536;
  Ring<std::array<char, 200>> large(kCapacity);
  for (size_t i = 0; i < 2 * kCapacity; ++i) {
    REQUIRE(large.TryPush({}));
    REQUIRE(large.TryPop());
  }
  CHECK(allocated() < before + 64 * 1024);
}

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

// Guards against a ring that is within its number of items and fills the memory
// with large ones: 4096 pieces of endless bodies are 64 MB.
TEST_CASE_FIXTURE(RingFixture,
                  "Ring, limit of bytes, large items wait or fail") {
  Ring<std::string> bounded{
      100, 1000, [](const std::string& item) { return item.size(); }};
  CHECK(bounded.TryPush(std::string(5000, 'x')));  // alone
  CHECK_FALSE(bounded.TryPush(std::string(1, 'x')));
  CHECK(bounded.TryPop());
  CHECK(bounded.TryPush(std::string(600, 'x')));
  CHECK_FALSE(bounded.TryPush(std::string(401, 'x')));
  CHECK(bounded.TryPush(std::string(400, 'x')));
  std::thread producer([&] { CHECK(bounded.Push(std::string(300, 'y'))); });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(bounded.size() == 2);
  CHECK(bounded.TryPop());
  producer.join();
  CHECK(bounded.size() == 2);
}

}  // namespace
}  // namespace carawayrelay
