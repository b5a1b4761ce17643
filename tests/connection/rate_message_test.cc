#include "connection/rate_message.h"

#include <variant>

#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct RateMessageFixture {};

// Guards against fields that get lost between two frontends.
TEST_CASE_FIXTURE(RateMessageFixture,
                  "RateMessage, written and read, is the same") {
  const auto request = DecodeRateMessage(EncodeRateMessage(
      RateRequest{.id = RateRequestId{0xfedcba9876543210}, .workspace = "w"}));
  REQUIRE(request);
  CHECK(std::get<RateRequest>(request.value()).id ==
        RateRequestId{0xfedcba9876543210});
  CHECK(std::get<RateRequest>(request.value()).workspace == "w");
  const auto decision = DecodeRateMessage(
      EncodeRateMessage(RateDecision{.id = RateRequestId{7},
                                     .outcome = RateOutcome::kExceeded,
                                     .retry_after = milliseconds(250)}));
  REQUIRE(decision);
  const auto& read = std::get<RateDecision>(decision.value());
  CHECK(read.id == RateRequestId{7});
  CHECK(read.outcome == RateOutcome::kExceeded);
  CHECK(read.retry_after == milliseconds(250));
}

// Guards against a datagram of another program that ends the process.
TEST_CASE_FIXTURE(RateMessageFixture,
                  "RateMessage, random bytes, never throws") {
  CheckProperty("random bytes", [](const std::string& bytes) {
    static_cast<void>(DecodeRateMessage(bytes));
  });
}

// Guards against a damaged datagram that ends the process.
TEST_CASE_FIXTURE(RateMessageFixture,
                  "RateMessage, one changed byte, never throws") {
  CheckProperty("changed byte", [] {
    std::string bytes = EncodeRateMessage(
        RateRequest{.id = RateRequestId{9}, .workspace = "workspace"});
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    static_cast<void>(DecodeRateMessage(bytes));
  });
}

}  // namespace
}  // namespace carawayrelay
