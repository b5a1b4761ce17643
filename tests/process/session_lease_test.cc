#include "process/batch/session_lease.h"

#include <doctest/doctest.h>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using Liveness = SessionObserver::Liveness;

struct SessionLeaseFixture {
  const TimePoint start{std::chrono::hours(1)};
  SessionLease lease{"node:1", {}};
  SessionObserver observer{milliseconds(5000)};

  Liveness Observe(std::uint64_t renewals, milliseconds at) {
    return observer.Observe("node:1", SessionRecord{"node:1", renewals},
                            start + at, start + at);
  }
};

// Guards against an owner that acts after other entries may have claimed its
// chunks.
TEST_CASE_FIXTURE(
    SessionLeaseFixture,
    "SessionLease, no renewal, ends before observers see expiry") {
  lease.OnRenewed(start);
  CHECK(lease.IsHeld(start + milliseconds(4700)));
  CHECK_FALSE(lease.IsHeld(start + milliseconds(4750)));
  CHECK(Observe(1, milliseconds(0)) == Liveness::kLive);
  CHECK(Observe(1, milliseconds(4999)) == Liveness::kLive);
  CHECK(Observe(1, milliseconds(5000)) == Liveness::kExpired);
}

// Guards against two renewals with the same value: a reader could not tell
// which of them was written.
TEST_CASE_FIXTURE(
    SessionLeaseFixture,
    "SessionLease, failed renewal, next one writes another value") {
  const std::string first = ToJson(lease.NextRecord());
  lease.OnRenewalFailed(start);
  CHECK(ToJson(lease.NextRecord()) != first);
}

// Guards against an observer that counts a session as expired although its
// owner renews it.
TEST_CASE_FIXTURE(SessionLeaseFixture,
                  "SessionObserver, renewed session, lease time restarts") {
  CHECK(Observe(1, milliseconds(0)) == Liveness::kLive);
  CHECK(Observe(2, milliseconds(4000)) == Liveness::kLive);
  CHECK(Observe(2, milliseconds(8000)) == Liveness::kLive);
  CHECK(Observe(2, milliseconds(9000)) == Liveness::kExpired);
}

// Guards against a slow read that makes a session look older than it is.
TEST_CASE_FIXTURE(
    SessionLeaseFixture,
    "SessionObserver, slow first read, lease time starts at its end") {
  const SessionRecord record{"node:1", 1};
  observer.Observe("node:1", record, start, start + milliseconds(3000));
  CHECK(Observe(1, milliseconds(7999)) == Liveness::kLive);
  CHECK(Observe(1, milliseconds(8000)) == Liveness::kExpired);
}

// Guards against chunks that stay with a session whose owner has restarted or
// stopped.
TEST_CASE_FIXTURE(
    SessionLeaseFixture,
    "SessionObserver, missing, replaced or marked row, is lapsed") {
  CHECK(observer.Observe("node:1", std::nullopt, start, start) ==
        Liveness::kLapsed);
  CHECK(observer.Observe("node:1", SessionRecord{"node:2"}, start, start) ==
        Liveness::kLapsed);
  CHECK(observer.Observe("node:1", SessionRecord{"node:1", 1, true}, start,
                         start) == Liveness::kLapsed);
}

}  // namespace
}  // namespace carawayrelay
