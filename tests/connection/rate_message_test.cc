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
                                     .retry_after = milliseconds(250),
                                     .is_settling = true}));
  REQUIRE(decision);
  const auto& read = std::get<RateDecision>(decision.value());
  CHECK(read.id == RateRequestId{7});
  CHECK(read.outcome == RateOutcome::kExceeded);
  CHECK(read.retry_after == milliseconds(250));
  CHECK(read.is_settling);
}

// Guards against a recall that ends the loans of the wrong process.
TEST_CASE_FIXTURE(RateMessageFixture,
                  "RateMessage, recall written and read, is the same") {
  const auto recall = DecodeRateMessage(EncodeRateMessage(RateLoanRecall{
      .node = "n", .process = RateProcessId{0xfedcba9876543210}}));
  REQUIRE(recall);
  CHECK(std::get<RateLoanRecall>(recall.value()).node == "n");
  CHECK(std::get<RateLoanRecall>(recall.value()).process ==
        RateProcessId{0xfedcba9876543210});
  const auto recalled = DecodeRateMessage(EncodeRateMessage(
      RateLoanRecalled{.node = "m", .process = RateProcessId{3}}));
  REQUIRE(recalled);
  CHECK(std::get<RateLoanRecalled>(recalled.value()).node == "m");
  CHECK(std::get<RateLoanRecalled>(recalled.value()).process ==
        RateProcessId{3});
}

// Guards against a part of a rate that is lent with other values than it is
// used with.
TEST_CASE_FIXTURE(RateMessageFixture,
                  "RateMessage, loans written and read, are the same") {
  RateShardSet shards;
  shards.set(0).set(kRateShards - 1);
  const auto request = DecodeRateMessage(EncodeRateMessage(
      RateLoanRequest{.node = "n",
                      .process = RateProcessId{0xfedcba9876543210},
                      .sent_at = std::chrono::microseconds(123456789012),
                      .shards = shards}));
  REQUIRE(request);
  const auto& asked = std::get<RateLoanRequest>(request.value());
  CHECK(asked.node == "n");
  CHECK(asked.process == RateProcessId{0xfedcba9876543210});
  CHECK(asked.sent_at == std::chrono::microseconds(123456789012));
  CHECK(asked.shards == shards);
  const RateLoan loan{.node = "m",
                      .process = RateProcessId{4},
                      .holder = RateProcessId{5},
                      .request_sent_at = std::chrono::microseconds(6),
                      .duration = milliseconds(1000),
                      .part = 1.0 / 7,
                      .shards = shards};
  const auto read = DecodeRateMessage(EncodeRateMessage(loan));
  REQUIRE(read);
  const auto& lent = std::get<RateLoan>(read.value());
  CHECK(lent.node == loan.node);
  CHECK(lent.process == loan.process);
  CHECK(lent.holder == loan.holder);
  CHECK(lent.request_sent_at == loan.request_sent_at);
  CHECK(lent.duration == loan.duration);
  CHECK(lent.part == loan.part);
  CHECK(lent.shards == loan.shards);
  const auto returned = DecodeRateMessage(
      EncodeRateMessage(RateLoanReturn{.node = "n",
                                       .process = RateProcessId{7},
                                       .sent_at = std::chrono::microseconds(8),
                                       .shards = shards}));
  REQUIRE(returned);
  CHECK(std::get<RateLoanReturn>(returned.value()).shards == shards);
  CHECK(std::get<RateLoanReturn>(returned.value()).sent_at ==
        std::chrono::microseconds(8));
}

// Guards against a damaged loan of more than a whole rate.
TEST_CASE_FIXTURE(RateMessageFixture,
                  "RateMessage, loan out of range, is refused") {
  for (const double part : {-1.0, 0.0, 1.5}) {
    CHECK_FALSE(DecodeRateMessage(EncodeRateMessage(
        RateLoan{.duration = milliseconds(1), .part = part})));
  }
  CHECK_FALSE(DecodeRateMessage(EncodeRateMessage(
      RateLoan{.duration = std::chrono::hours(1), .part = 1})));
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
