#include <doctest/doctest.h>

#include "carawayrelay/connection.h"

namespace carawayrelay {
namespace {

struct AttemptMemoryFixture {
  AttemptMemory memory{2};

  static AttemptMemory::Key KeyOf(std::uint64_t attempt) {
    return {ConnectionId{1}, AttemptId{attempt}};
  }
};

// Guards against memory that grows with each attempt.
TEST_CASE_FIXTURE(
    AttemptMemoryFixture,
    "AttemptMemory, more attempts than room, forgets the oldest") {
  memory.Remember(KeyOf(1));
  memory.Remember(KeyOf(2));
  memory.Remember(KeyOf(2));
  CHECK(memory.Contains(KeyOf(1)));
  memory.Remember(KeyOf(3));
  CHECK_FALSE(memory.Contains(KeyOf(1)));
  CHECK(memory.Contains(KeyOf(2)));
  CHECK_FALSE(memory.Contains({ConnectionId{2}, AttemptId{2}}));
}

}  // namespace
}  // namespace carawayrelay
