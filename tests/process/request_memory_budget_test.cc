#include "process/transport/request_memory_budget.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace carawayrelay {
namespace {

struct RequestMemoryBudgetFixture {
  // Growth that counts as progress.
  static constexpr size_t kStep = 4096;

  using AccountPtr = std::unique_ptr<RequestMemoryBudget::Account>;

  std::shared_ptr<RequestMemoryBudget> budget =
      RequestMemoryBudget::Make(10 * kStep);
  std::string evicted;

  AccountPtr Open(const std::string& name) {
    return budget->Open([this, name] { evicted += name; });
  }
};

// Guards against small requests that are refused because of a large one that
// made its progress at the same time.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, exhausted, evicts the largest") {
  const AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  const AccountPtr c = Open("c");
  CHECK(a->Resize(2 * kStep));
  CHECK(b->Resize(7 * kStep));
  CHECK(c->Resize(2 * kStep));
  CHECK(evicted == "b");
  CHECK_FALSE(b->Resize(7 * kStep + 1));
  CHECK_FALSE(b->SetComplete());
  CHECK(budget->counters().held_bytes == 4 * kStep);
  CHECK(budget->counters().refused_requests == 1);
}

// Guards against many small requests that stall and fill the budget: the large
// one that arrives at a steady pace is not the one to refuse.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, small ones stall and a large one "
                  "arrives, evicts the small ones") {
  const AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  const AccountPtr large = Open("l");
  CHECK(a->Resize(4 * kStep));
  CHECK(b->Resize(4 * kStep));
  for (size_t steps = 1; steps <= 9; ++steps) {
    CHECK(large->Resize(steps * kStep));
  }
  CHECK(evicted == "ab");
}

// Guards against the same when the small ones receive a byte now and then,
// which is no progress.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, small ones trickle and a large one "
                  "arrives, evicts the small ones") {
  const AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  const AccountPtr large = Open("l");
  CHECK(a->Resize(4 * kStep));
  CHECK(b->Resize(4 * kStep));
  for (size_t steps = 1; steps <= 9; ++steps) {
    a->Resize(4 * kStep + steps);
    b->Resize(4 * kStep + steps);
    CHECK(large->Resize(steps * kStep));
  }
  CHECK(evicted.find('l') == std::string::npos);
  CHECK(budget->counters().refused_requests >= 2);
}

// Guards against large requests that displace a small one between two of its
// packets.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, many large ones arrive, keeps the "
                  "small one") {
  const AccountPtr small = Open("s");
  std::vector<AccountPtr> large;
  CHECK(small->Resize(1));
  for (size_t i = 0; i < 30; ++i) {
    large.push_back(Open("l"));
    CHECK(large.back()->Resize(3 * kStep));
  }
  CHECK(evicted.find('s') == std::string::npos);
  CHECK(small->Resize(2));
}

// Guards against a request that is larger than the budget.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, larger than all, is refused") {
  const AccountPtr a = Open("a");
  CHECK_FALSE(a->Resize(10 * kStep + 1));
  CHECK(evicted.empty());
  budget->SetMaxBytes(11 * kStep);
  CHECK(a->Resize(10 * kStep + 1));
}

// Guards against the eviction of a request that may already run, and against
// bytes that are not returned.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, complete request, is not evicted") {
  AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  CHECK(a->Resize(9 * kStep));
  CHECK(a->SetComplete());
  CHECK_FALSE(b->Resize(2 * kStep));
  CHECK(evicted.empty());
  a.reset();
  CHECK(b->Resize(2 * kStep));
  CHECK(budget->counters().held_bytes == 2 * kStep);
}

}  // namespace
}  // namespace carawayrelay
