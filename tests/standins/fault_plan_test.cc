#include "standins/fault_plan.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace carawayrelay::tools {
namespace {

struct FaultPlanFixture {
  bool IsServed(AccessKind kind, TimePoint at) {
    return std::holds_alternative<Serve>(faults.Decide(kind, at));
  }

  const TimePoint start = TimePoint{} + 1h;
  FaultPlan faults{{.writes_per_second = 2, .reads_per_second = 1}};
};

TEST_CASE_FIXTURE(
    FaultPlanFixture,
    "FaultPlan, writes over the limit, wait for the next second") {
  // Guards against measurements with more writes than the platform allows.
  CHECK(IsServed(AccessKind::kWrite, start));
  CHECK(IsServed(AccessKind::kWrite, start + 500ms));
  CHECK(std::holds_alternative<RefuseOverLimit>(
      faults.Decide(AccessKind::kWrite, start + 999ms)));
  CHECK(IsServed(AccessKind::kRead, start + 999ms));
  CHECK(IsServed(AccessKind::kWrite, start + 1s));
}

TEST_CASE_FIXTURE(FaultPlanFixture,
                  "FaultPlan, lost responses, concern that many writes only") {
  // Guards against reads that use up the faults meant for writes.
  faults.Apply({{"lose_responses", 1}, {"slow_ms", 7}});
  const FaultDecision read = faults.Decide(AccessKind::kRead, start);
  CHECK_FALSE(std::get<Serve>(read).lose_response);
  CHECK(std::get<Serve>(read).delay == 7ms);
  const FaultDecision first = faults.Decide(AccessKind::kWrite, start);
  CHECK(std::get<Serve>(first).lose_response);
  const FaultDecision second = faults.Decide(AccessKind::kWrite, start);
  CHECK_FALSE(std::get<Serve>(second).lose_response);
}

}  // namespace
}  // namespace carawayrelay::tools
