#include "process/serving/graceful_stop.h"

#include <doctest/doctest.h>

#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct GracefulStopFixture {
  TimePoint start{std::chrono::hours(1)};
};

// Guards against a planned stop that cuts an accepted request: whatever the
// grace period and the time limit are, an accepted request ends before the
// stop.
TEST_CASE_FIXTURE(GracefulStopFixture,
                  "GracefulStop, any request, accepted only if it ends before "
                  "the stop") {
  CheckProperty("accepted requests end in time", [this] {
    GracefulStop stop{milliseconds(*rc::gen::inRange(0, 20000))};
    const milliseconds limit(*rc::gen::inRange(0, 20000));
    stop.Begin(start);
    const TimePoint arrived = start + milliseconds(*rc::gen::inRange(0, 20000));
    if (stop.AllowsUntil(arrived + limit)) {
      RC_ASSERT(!stop.IsOver(arrived + limit));
    }
  });
}

TEST_CASE_FIXTURE(GracefulStopFixture,
                  "GracefulStop, before the signal, allows everything") {
  const GracefulStop stop{milliseconds(8000)};
  CHECK(stop.AllowsUntil(start + std::chrono::hours(1)));
  CHECK_FALSE(stop.IsOver(start + std::chrono::hours(1)));
}

// Guards against requests that are refused although they end long before the
// stop.
TEST_CASE_FIXTURE(
    GracefulStopFixture,
    "GracefulStop, time limit ends well before the stop, allowed") {
  GracefulStop stop{milliseconds(8000)};
  stop.Begin(start);
  CHECK(stop.AllowsUntil(start + milliseconds(7000)));
  CHECK_FALSE(stop.AllowsUntil(start + milliseconds(7200)));
}

}  // namespace
}  // namespace carawayrelay
