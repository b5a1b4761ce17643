#include <doctest/doctest.h>

#include "carawayrelay/connection.h"

namespace carawayrelay {
namespace {

struct FenceTrackerFixture {
  FenceTracker tracker{2};
};

// Guards against running items of a former lease owner concurrently with those
// of the current owner.
TEST_CASE_FIXTURE(FenceTrackerFixture,
                  "FenceTracker, lower fence of the same chunk, is rejected") {
  CHECK(tracker.Accept("j", 1, Fence{5}));
  CHECK(tracker.Accept("j", 1, Fence{5}));
  CHECK_FALSE(tracker.Accept("j", 1, Fence{4}));
  CHECK(tracker.Accept("j", 2, Fence{4}));
  CHECK(tracker.Accept("j", 1, Fence{6}));
  CHECK_FALSE(tracker.Accept("j", 1, Fence{5}));
}

// Guards against memory use that grows with each chunk, and against evicting
// the chunks in use.
TEST_CASE_FIXTURE(
    FenceTrackerFixture,
    "FenceTracker, more chunks than capacity, evicts least recently used") {
  tracker.Accept("j", 1, Fence{5});
  tracker.Accept("j", 2, Fence{5});
  tracker.Accept("j", 1, Fence{5});
  tracker.Accept("j", 3, Fence{5});
  CHECK(tracker.size() == 2);
  CHECK_FALSE(tracker.Accept("j", 1, Fence{4}));
  CHECK(tracker.Accept("j", 2, Fence{4}));
}

}  // namespace
}  // namespace carawayrelay
