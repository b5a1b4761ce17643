#include "process/pace/observed_pace.h"

#include <set>
#include <string>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct ObservedPaceFixture : ServingFixture {
  BackendDirectory backends{1};

  ObservedPaceFixture() {
    backends.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1"),
                    BackendRow("c", "1.1.1.3:1")},
                   true, std::nullopt, now());
  }
  // Reports an answered attempt whose durations are `factor` times the usual.
  void Answer(const std::string& id, double factor) {
    const auto scaled = [factor](int ms) {
      return milliseconds(static_cast<int>(ms * factor));
    };
    backends.NoteAttempt({.backend_id = id,
                          .service = "llm",
                          .events = 20,
                          .first_event = scaled(100),
                          .total = scaled(1000)},
                         now());
  }
  std::set<std::string> Chosen() {
    std::set<std::string> ids;
    for (int i = 0; i < 60; ++i) {
      ids.insert(backends.Choose({.service = "llm", .zone = "zone-1"}, now())
                     ->registration.id);
    }
    return ids;
  }
};

// Guards against a slow server that gets as many requests as the others because
// it sends no pace figure.
TEST_CASE_FIXTURE(
    ObservedPaceFixture,
    "ObservedPace, one server answers slowly, others are chosen") {
  for (int i = 0; i < 20; ++i) {
    Answer("a", 1);
    Answer("b", 2.5);
    Answer("c", 1);
  }
  CHECK(Chosen() == std::set<std::string>{"a", "c"});
  Advance(std::chrono::minutes(2));
  CHECK(Chosen().size() == 3);
}

// Guards against a selection that follows the noise of the durations.
TEST_CASE_FIXTURE(ObservedPaceFixture,
                  "ObservedPace, servers answer alike, all are chosen") {
  for (int i = 0; i < 20; ++i) {
    Answer("a", 0.9);
    Answer("b", 1.1);
    Answer("c", 1);
  }
  CHECK(Chosen().size() == 3);
}

// Guards against attempts that say nothing about the pace of a server.
TEST_CASE_FIXTURE(ObservedPaceFixture,
                  "ObservedPace, attempts not answered, do not count") {
  ObservedPace observed;
  AttemptOutcome outcome{.service = "llm",
                         .events = 20,
                         .first_event = milliseconds(100),
                         .total = milliseconds(1000)};
  for (int i = 0; i < 16; ++i) {
    CHECK_FALSE(observed.Add(outcome));
  }
  CHECK(observed.Add(outcome).value_or(0) == doctest::Approx(1));
  outcome.result = AttemptResult::kTimedOut;
  CHECK_FALSE(observed.Add(outcome));
  outcome.result = AttemptResult::kAnswered;
  outcome.events = 1;
  CHECK_FALSE(observed.Add(outcome));
}

}  // namespace
}  // namespace carawayrelay
