#include <doctest/doctest.h>

#include <map>

#include "carawayrelay/connection.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct BatchCapacitySharesFixture {
  static constexpr ConnectionId kA{1};
  static constexpr ConnectionId kB{2};
  BatchCapacityShares shares;
  TimePoint now{std::chrono::hours(1)};
  std::map<ConnectionId, int> offers;

  BatchCapacitySharesFixture() {
    shares.Add(kA, now);
    shares.Add(kB, now);
  }
  size_t Rebalance(int capacity) {
    const auto changed = shares.Rebalance(capacity, now);
    for (const auto& [connection, items] : changed) {
      offers[connection] = items;
    }
    return changed.size();
  }
  void Use(ConnectionId connection) {
    shares.OnSubmit(connection, now);
    --offers[connection];
  }
};

// Guards against offering the same capacity to two entries.
TEST_CASE_FIXTURE(
    BatchCapacitySharesFixture,
    "BatchCapacityShares, two active entries, split the capacity") {
  Rebalance(5);
  CHECK(offers[kA] + offers[kB] == 5);
  CHECK(offers[kB] >= 2);
  Use(kA);
  CHECK(Rebalance(4) == 0);
  CHECK(shares.offered() == 4);
}

// Guards against capacity that stays unused because it is offered to an entry
// without batch work.
TEST_CASE_FIXTURE(
    BatchCapacitySharesFixture,
    "BatchCapacityShares, idle entry, capacity goes to the active one") {
  Rebalance(8);
  for (int i = 0; i < 4; ++i) {
    now += BatchCapacityShares::kIdleTimeout / 2;
    Use(kA);
    Rebalance(8);
  }
  CHECK(offers[kA] == 8);
  CHECK(offers[kB] == 1);
  // The idle entry submits its one offered item and gets its share back.
  Use(kB);
  now += BatchCapacityShares::kRebalanceInterval;
  Rebalance(8);
  CHECK(offers[kA] == 4);
  CHECK(offers[kB] == 4);
}

// Guards against sending a message whenever an online request starts or ends.
TEST_CASE_FIXTURE(
    BatchCapacitySharesFixture,
    "BatchCapacityShares, capacity shrinks, waits for the interval") {
  Rebalance(8);
  now += milliseconds(1);
  CHECK(Rebalance(2) == 0);
  now += BatchCapacityShares::kRebalanceInterval;
  CHECK(Rebalance(2) == 2);
  CHECK(shares.offered() == 2);
  CHECK(Rebalance(2) == 0);
}

}  // namespace
}  // namespace carawayrelay
