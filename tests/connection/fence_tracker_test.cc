#include <doctest/doctest.h>

#include "carawayrelay/connection.h"

namespace carawayrelay {
namespace {

struct FenceTrackerFixture {
  FenceTracker tracker{2};
};

// Guards against items of a former lease owner that run beside the new one's.
TEST_CASE_FIXTURE(FenceTrackerFixture,
                  "FenceBook, lower fence of the same chunk, is refused") {
  CHECK(tracker.Accept("j", 1, Fence{5}));
  CHECK(tracker.Accept("j", 1, Fence{5}));
  CHECK_FALSE(tracker.Accept("j", 1, Fence{4}));
  CHECK(tracker.Accept("j", 2, Fence{4}));
  CHECK(tracker.Accept("j", 1, Fence{6}));
  CHECK_FALSE(tracker.Accept("j", 1, Fence{5}));
}

// Guards against memory that grows with every chunk, and against forgetting
// the chunks in use.
TEST_CASE_FIXTURE(FenceTrackerFixture,
                  "FenceBook, more chunks than room, forgets the oldest") {
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
