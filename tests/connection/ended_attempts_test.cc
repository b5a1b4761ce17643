#include <doctest/doctest.h>

#include "carawayrelay/connection.h"

namespace carawayrelay {
namespace {

struct EndedAttemptsFixture {
  EndedAttempts ended{2};

  static EndedAttempts::Key KeyOf(std::uint64_t attempt) {
    return {ConnectionId{1}, AttemptId{attempt}};
  }
};

// Guards against memory use that grows with each attempt.
TEST_CASE_FIXTURE(
    EndedAttemptsFixture,
    "EndedAttempts, more attempts than capacity, evicts the oldest") {
  ended.Insert(KeyOf(1));
  ended.Insert(KeyOf(2));
  ended.Insert(KeyOf(2));
  CHECK(ended.Contains(KeyOf(1)));
  ended.Insert(KeyOf(3));
  CHECK_FALSE(ended.Contains(KeyOf(1)));
  CHECK(ended.Contains(KeyOf(2)));
  CHECK_FALSE(ended.Contains({ConnectionId{2}, AttemptId{2}}));
}

}  // namespace
}  // namespace carawayrelay
