#include <doctest/doctest.h>

#include "carawayrelay/connection.h"
#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct ConcurrencyWindowFixture {
  const ConcurrencyWindow::Limits limits{.cold = 2,
                                         .max = 4,
                                         .slow_first_token = milliseconds(100)};
  ConcurrencyWindow window{limits};
  TimePoint now{std::chrono::hours(1)};

  void FirstToken(milliseconds delay) {
    const TimePoint started = now;
    now += delay;
    window.OnFirstToken(started, now);
  }
};

// Guards against growing the window of a cold backend server after every single
// first token.
TEST_CASE_FIXTURE(
    ConcurrencyWindowFixture,
    "ConcurrencyWindow, fast first tokens, grows once per window") {
  for (const int size : {2, 3, 3, 3, 4, 4, 4, 4, 4, 4}) {
    FirstToken(milliseconds(1));
    CHECK(window.size() == size);
  }
  CHECK_FALSE(window.IsCold());
}

// Guards against overloading a backend server that became cold without notice.
TEST_CASE_FIXTURE(ConcurrencyWindowFixture,
                  "ConcurrencyWindow, slow token or failure, resets to cold") {
  for (int i = 0; i < 10; ++i) {
    FirstToken(milliseconds(1));
  }
  const TimePoint before = now;
  FirstToken(milliseconds(101));
  CHECK(window.size() == limits.cold);
  CHECK(window.IsCold());
  // Calls that started before the reset do not grow the smaller window.
  window.OnFirstToken(before - milliseconds(1), now);
  window.OnResponse(before);
  window.OnResponse(before);
  CHECK(window.size() == limits.cold);
  FirstToken(milliseconds(1));
  FirstToken(milliseconds(1));
  CHECK(window.size() == 3);
  window.OnFailure(now);
  CHECK(window.size() == limits.cold);
}

TEST_CASE_FIXTURE(ConcurrencyWindowFixture,
                  "ConcurrencyWindow, random samples, stays within limits") {
  CheckProperty("window within limits", [&](std::vector<unsigned char> delays) {
    window = ConcurrencyWindow(limits);
    int good = 0;
    for (const unsigned char delay : delays) {
      const int before = window.size();
      FirstToken(milliseconds(delay));
      const bool is_slow = delay > limits.slow_first_token.count();
      good = is_slow ? 0 : good + 1;
      RC_ASSERT(window.size() <= limits.max);
      RC_ASSERT(window.size() <= before + 1);
      // Each growth step takes at least `limits.cold` fast first tokens.
      RC_ASSERT(window.size() <= limits.cold + good / limits.cold);
      RC_ASSERT(!is_slow || window.size() == limits.cold);
    }
  });
}

}  // namespace
}  // namespace carawayrelay
