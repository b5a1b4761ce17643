#include "process/health/health_penalty.h"

#include <doctest/doctest.h>

#include <chrono>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct HealthPenaltyFixture {
  TimePoint now{std::chrono::hours(1)};
  HealthQuery query;

  double Penalty(const ServerHealth& health, double draw = 0.5) const {
    return HealthPenalty(health, query, draw, now);
  }
};

// Guards against a selection that changes while nothing fails.
TEST_CASE_FIXTURE(HealthPenaltyFixture,
                  "HealthPenalty, no failures, adds nothing") {
  query.is_repeatable = false;
  CHECK(Penalty(ServerInUse{}) == 0);
}

// Guards against requests that run at most once on servers that may fail them.
TEST_CASE_FIXTURE(HealthPenaltyFixture,
                  "HealthPenalty, request that cannot be repeated, prefers "
                  "proven servers") {
  query.service_has_failures = true;
  CHECK(Penalty(ServerInUse{}) == 0);
  query.is_repeatable = false;
  CHECK(Penalty(ServerInUse{}) > 0);
  query.is_proven = true;
  CHECK(Penalty(ServerInUse{}) == 0);
}

// Guards against probes with requests that cannot be repeated, with several at
// once, and against no probes at all where nothing can be repeated.
TEST_CASE_FIXTURE(HealthPenaltyFixture,
                  "HealthPenalty, probing, one repeatable request at a time") {
  const ServerProbing probing{.since = now - milliseconds(100)};
  CHECK(Penalty(probing) == 0);
  query.is_busy = true;
  CHECK(Penalty(probing) > 100);
  query.is_busy = false;
  query.is_repeatable = false;
  CHECK(Penalty(probing) > 100);
  CHECK(Penalty(ServerProbing{.since = now - milliseconds(2000)}) == 0);
}

// Guards against an ejected server that is preferred to one that failed once,
// for which the directory adds 100, and against a reduced one without requests.
TEST_CASE_FIXTURE(HealthPenaltyFixture,
                  "HealthPenalty, ejected and reduced, are ordered") {
  const double ejected = Penalty(ServerEjected{.until = now});
  CHECK(ejected > 100);
  CHECK(ejected < 1e6);
  CHECK(Penalty(ServerReduced{.weight = 0.3}, 0.2) == 0);
  CHECK(Penalty(ServerReduced{.weight = 0.3}, 0.4) > 0);
  CHECK(Penalty(ServerReduced{.weight = 0.3}, 0.4) < 100);
}

}  // namespace
}  // namespace carawayrelay
