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
    "FaultPlan, writes over the limit, are refused until the next second") {
  // Guards against a stand-in that accepts more writes per second than the
  // platform, with which measurements would look better than they are.
  CHECK(IsServed(AccessKind::kWrite, start));
  CHECK(IsServed(AccessKind::kWrite, start + 500ms));
  CHECK(std::holds_alternative<RefuseOverLimit>(
      faults.Decide(AccessKind::kWrite, start + 999ms)));
  CHECK(IsServed(AccessKind::kRead, start + 999ms));
  CHECK(IsServed(AccessKind::kWrite, start + 1s));
}

TEST_CASE_FIXTURE(
    FaultPlanFixture,
    "FaultPlan, one response to lose, affects only the next write") {
  // Guards against reads that use up the faults meant for writes, and against
  // faults that continue after the requested number.
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
