#include "process/transport/request_memory_budget.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

namespace carawayrelay {
namespace {

struct RequestMemoryBudgetFixture {
  using AccountPtr = std::unique_ptr<RequestMemoryBudget::Account>;

  std::shared_ptr<RequestMemoryBudget> budget = RequestMemoryBudget::Make(100);
  std::string evicted;

  AccountPtr Open(const std::string& name) {
    return budget->Open([this, name] { evicted += name; });
  }
};

// Guards against small requests that are refused because of a large one.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, exhausted, evicts the largest") {
  const AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  const AccountPtr c = Open("c");
  CHECK(a->Resize(30));
  CHECK(b->Resize(60));
  CHECK(c->Resize(20));
  CHECK(evicted == "b");
  CHECK_FALSE(b->Resize(61));
  CHECK_FALSE(b->SetComplete());
  CHECK(budget->counters().held_bytes == 50);
  CHECK(budget->counters().refused_requests == 1);
}

// Guards against a large request that displaces smaller ones.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, charged request is the largest, is "
                  "refused") {
  const AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  CHECK(a->Resize(40));
  CHECK_FALSE(b->Resize(70));
  CHECK(evicted.empty());
}

// Guards against the eviction of a request that may already run, and against
// bytes that are not returned.
TEST_CASE_FIXTURE(RequestMemoryBudgetFixture,
                  "RequestMemoryBudget, complete request, is not evicted") {
  AccountPtr a = Open("a");
  const AccountPtr b = Open("b");
  CHECK(a->Resize(90));
  CHECK(a->SetComplete());
  CHECK_FALSE(b->Resize(20));
  CHECK(evicted.empty());
  a.reset();
  CHECK(b->Resize(20));
  CHECK(budget->counters().held_bytes == 20);
}

}  // namespace
}  // namespace carawayrelay
