#include "process/limits/rate_holder.h"
#include "process/limits/rate_lender.h"
#include "process/limits/rate_members.h"
#include "serving/rate_fleet_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Guards against giving up a frontend that is only slow to report: rows that
// nobody could renew while the store was away say nothing about their owners.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, store away for long, members stay") {
  Reset(5, 1);
  for (Frontend& frontend : frontends) {
    frontend.has_store = false;
  }
  RunUntil(now() + milliseconds(60000));
  CHECK(frontends[0].rates->members().size() == 5);
}

// Guards against frontends that left for good and keep their part of the rates.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, frontend gone for good, is removed") {
  Reset(2, 1);
  frontends[1].is_up = false;
  RunUntil(now() + milliseconds(10000));
  CHECK(frontends[0].rates->members().size() == 1);
  CHECK(frontends[0].rates->members().part() == doctest::Approx(0.5));
  RunUntil(now() + milliseconds(25000));
  CHECK(table.size() == 1);
  CHECK(frontends[0].rates->members().part() == doctest::Approx(1));
}

// Guards against a frontend that joins, reads often, and removes the row of one
// that has not reported for some seconds.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, reads in quick succession, count as one") {
  RateMembers members("a");
  const StoredRow other{.key = {.key = "b"},
                        .value = EncodeRateMemberReport({.address = "2"}),
                        .version = 1};
  for (int i = 0; i < 60; ++i) {
    members.Apply({other}, 1, now());
    Advance(milliseconds(100));
  }
  CHECK(members.AbandonedRows().empty());
}

// Guards against a frontend whose row was removed while it was cut off from the
// store and that goes on to lend its part, which the others have taken over.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMemberReporter, own row removed, joins again") {
  Reset(3, 1);
  table.erase(NodeOf(1));
  ++version;
  RunUntil(now() + milliseconds(2200));
  CHECK_FALSE(frontends[1].rates->lender().IsLending(now()));
  RunUntil(now() + kJoinTime);
  CHECK(frontends[1].rates->lender().IsLending(now()));
}

// Guards against a new frontend that lends its part before the others have made
// theirs smaller.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMemberReporter, another frontend has not read the new "
                  "row, lends nothing") {
  Reset(2, 1);
  frontends[0].has_store = false;
  frontends.emplace_back();
  Start(2);
  RunUntil(now() + milliseconds(10000));
  CHECK_FALSE(frontends[2].rates->lender().IsLending(now()));
  frontends[0].has_store = true;
  RunUntil(now() + kJoinTime);
  CHECK(frontends[2].rates->lender().IsLending(now()));
}

// Guards against a row of another writer that ends the process or is asked.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, unreadable rows, do not count") {
  RateMembers members("a");
  const StoredRow own{.key = {.key = "a"},
                      .value = EncodeRateMemberReport({.address = "1"}),
                      .version = 1};
  for (const char* value :
       {"", "{", "[]", R"({"address":1})", R"({"address":""})"}) {
    CAPTURE(value);
    members.Apply(
        {own, {.key = {.key = "other"}, .value = value, .version = ++version}},
        version, now());
    CHECK(members.part() == 1);
    CHECK(members.peers().empty());
  }
  members.Apply({own,
                 {.key = {.key = "other"},
                  .value = R"({"address":"1","weight":"x","seen":-1})",
                  .version = ++version}},
                version, now());
  CHECK(members.part() == 0.5);
}

// Guards against small VMs that hold as many rates as large ones.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, different weights, hold rates in proportion") {
  int held_by_small = 0;
  constexpr size_t kFleets = 100;
  for (size_t fleet = 0; fleet < kFleets; ++fleet) {
    const std::string large = "a" + std::to_string(fleet);
    const std::string small = "b" + std::to_string(fleet);
    RateMembers members(large);
    members.Apply(
        {{.key = {.key = large},
          .value = EncodeRateMemberReport({.address = "1", .weight = 0.5}),
          .version = 1},
         {.key = {.key = small},
          .value = EncodeRateMemberReport({.address = "2", .weight = 0.1}),
          .version = 2}},
        2, now());
    for (size_t shard = 0; shard < kRateShards; ++shard) {
      const bool is_small =
          members.RankOf(small, shard) > members.RankOf(large, shard);
      CHECK(is_small == (members.CountAbove(shard) == 1));
      held_by_small += is_small ? 1 : 0;
    }
  }
  CHECK(held_by_small > kFleets * kRateShards / 6 * 0.8);
  CHECK(held_by_small < kFleets * kRateShards / 6 * 1.2);
}

// Guards against a query that comes again and counts as another request.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateHolder, query comes again, same answer and count") {
  workspaces[0].burst = 1;
  workspaces[0].rate_per_second = 1;
  RateHolder holder;
  holder.SetConfig(std::make_shared<ServingConfig>(
      ServingConfig::Parts{.workspaces = workspaces}));
  RateShardSet all;
  all.set();
  holder.AddLoan(
      {.node = "a",
       .request_sent_at = std::chrono::duration_cast<std::chrono::microseconds>(
           now().time_since_epoch()),
       .duration = milliseconds(60000),
       .part = 1,
       .shards = all},
      now());
  Advance(milliseconds(30000));
  int count = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    const RateRequest request{.id = RateRequestId{id}, .workspace = "w"};
    const RateOutcome outcome = holder.Decide(request, now()).outcome;
    CHECK(holder.Decide(request, now()).outcome == outcome);
    count += outcome == RateOutcome::kGranted ? 1 : 0;
  }
  CHECK(count == 6);  // the burst and five seconds of the rate
}

// Guards against a part that is granted from by its former and its new holder
// in one window: a part that moves brings no tokens.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateHolder, part lent anew, begins without tokens") {
  RateHolder holder;
  holder.SetConfig(std::make_shared<ServingConfig>(
      ServingConfig::Parts{.workspaces = workspaces}));
  RateShardSet all;
  all.set();
  const auto lend = [&] {
    holder.AddLoan({.node = "a",
                    .request_sent_at =
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            now().time_since_epoch()),
                    .duration = milliseconds(1000),
                    .part = 1,
                    .shards = all},
                   now());
  };
  std::uint64_t id = 0;
  const auto decide = [&] {
    return holder.Decide({.id = RateRequestId{++id}, .workspace = "w"}, now())
        .outcome;
  };
  CHECK(decide() == RateOutcome::kUnknown);
  lend();
  CHECK(decide() == RateOutcome::kExceeded);
  Advance(milliseconds(500));
  CHECK(decide() == RateOutcome::kGranted);
  Advance(milliseconds(501));
  CHECK(decide() == RateOutcome::kUnknown);
  Advance(milliseconds(5000));
  lend();
  CHECK(decide() == RateOutcome::kExceeded);
}

// Guards against requests that wait behind a workspace over its rate, and
// against refusing at once while a rate is not whole: the holder tells the two
// apart.
TEST_CASE_FIXTURE(
    RateFleetFixture,
    "RateHolder, over the rate, settling until it was whole for a "
    "window") {
  RateHolder holder;
  holder.SetConfig(std::make_shared<ServingConfig>(
      ServingConfig::Parts{.workspaces = workspaces}));
  RateShardSet all;
  all.set();
  const auto lend = [&](const char* node, double part) {
    holder.AddLoan({.node = node,
                    .request_sent_at =
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            now().time_since_epoch()),
                    .duration = milliseconds(60000),
                    .part = part,
                    .shards = all},
                   now());
  };
  std::uint64_t id = 0;
  const auto is_settling = [&] {
    for (int n = 0; n < 1000; ++n) {
      const RateDecision decision =
          holder.Decide({.id = RateRequestId{++id}, .workspace = "w"}, now());
      if (decision.outcome == RateOutcome::kExceeded) {
        return decision.is_settling;
      }
    }
    FAIL("the rate has no limit");
    return false;
  };
  lend("a", 0.5);
  CHECK(is_settling());
  Advance(milliseconds(6000));
  CHECK(is_settling());
  lend("b", 0.5);
  CHECK(is_settling());
  Advance(milliseconds(5001));
  CHECK_FALSE(is_settling());
}

// Guards against a part that is lent to two frontends at a time.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateLender, requests of several frontends, lent to one") {
  RateLender lender;
  RateShardSet all;
  all.set();
  const auto request_of = [&](const char* node, std::uint64_t process) {
    return RateLoanRequest{.node = node,
                           .process = RateProcessId{process},
                           .sent_at = milliseconds(100)};
  };
  const milliseconds duration(1000);
  CHECK(lender.Lend(request_of("a", 1), all, duration, now()).none());
  lender.StartAt(now());
  CHECK(lender.Lend(request_of("a", 1), all, duration, now()).all());
  CHECK(lender.Lend(request_of("b", 2), all, duration, now()).none());
  Advance(milliseconds(900));
  CHECK(lender.Lend(request_of("a", 1), all, duration, now()).all());
  Advance(milliseconds(900));
  CHECK(lender.Lend(request_of("b", 2), all, duration, now()).none());
  SUBCASE("the loan ends") {
    Advance(milliseconds(100));
    CHECK(lender.Lend(request_of("b", 2), all, duration, now()).all());
  }
  SUBCASE("the holder was started again") {
    CHECK(lender.Lend(request_of("a", 3), all, duration, now()).all());
  }
  SUBCASE("the loan is returned") {
    RateLoanReturn loan_return{.node = "a",
                               .process = RateProcessId{1},
                               .sent_at = milliseconds(99),
                               .shards = all};
    lender.Return(loan_return);  // an older one
    CHECK(lender.Lend(request_of("b", 2), all, duration, now()).none());
    loan_return.sent_at = milliseconds(100);
    lender.Return(loan_return);
    CHECK(lender.Lend(request_of("b", 2), all, duration, now()).all());
  }
}

}  // namespace
}  // namespace carawayrelay
