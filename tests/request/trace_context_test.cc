#include <doctest/doctest.h>

#include "carawayrelay/request.h"

namespace carawayrelay {
namespace {

struct TraceContextFixture {
  std::mt19937_64 rng{3};
  const std::string header =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
};

TEST_CASE_FIXTURE(TraceContextFixture,
                  "TraceContext, valid header, round-trips unchanged") {
  const auto context = ParseTraceparent(header);
  REQUIRE(context);
  CHECK(context->sampled);
  CHECK(ToTraceparent(*context) == header);
}

// Guards against joining unrelated traces under an invalid trace id.
TEST_CASE_FIXTURE(TraceContextFixture,
                  "TraceContext, malformed headers, are rejected") {
  for (const char* bad :
       {"", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x"}) {
    CHECK_FALSE(ParseTraceparent(bad));
  }
}

TEST_CASE_FIXTURE(TraceContextFixture,
                  "TraceContext, child, keeps the trace and has a new span") {
  const auto parent = ParseTraceparent(header);
  const TraceContext child = MakeChild(parent, rng);
  CHECK(child.trace_id == parent->trace_id);
  CHECK(child.span_id != parent->span_id);
  CHECK(MakeChild(std::nullopt, rng).span_id != 0);
}

}  // namespace
}  // namespace carawayrelay
