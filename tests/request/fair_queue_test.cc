#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "carawayrelay/request.h"
#include "property.h"

namespace carawayrelay {
namespace {

struct FairQueueFixture {
  std::uint64_t next_id = 1;

  std::optional<RequestId> Push(FairQueue& queue,
                                const std::string& workspace,
                                double cost = 1,
                                double weight = 1) {
    return queue.Push({.id = RequestId{next_id++},
                       .workspace = workspace,
                       .weight = weight,
                       .cost = cost});
  }

  // Keeps `costs.size()` workspaces waiting and returns the cost that each was
  // served, relative to its weight.
  std::map<std::string, double> ServeBacklogged(
      FairPolicy policy,
      const std::vector<double>& costs,
      const std::vector<double>& weights,
      int pops) {
    FairQueue queue(policy, 10000);
    std::map<std::string, double> served;
    for (size_t w = 0; w < costs.size(); ++w) {
      served[std::to_string(w)] = 0;
      for (int i = 0; i < 3; ++i) {
        Push(queue, std::to_string(w), costs[w], weights[w]);
      }
    }
    for (int i = 0; i < pops; ++i) {
      const QueuedRequest next = *queue.Pop();
      served[next.workspace] += next.cost / next.weight;
      Push(queue, next.workspace, next.cost, next.weight);
    }
    return served;
  }
};

// Guards against a workspace that gets less than its share because others send
// larger requests or more of them.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, backlogged workspaces, worst served has its "
                  "share") {
  CheckProperty("worst share", [this] {
    const int n = *rc::gen::inRange(2, 6);
    const auto costs = *rc::gen::container<std::vector<double>>(
        n, rc::gen::map(rc::gen::inRange(1, 100),
                        [](int c) { return static_cast<double>(c); }));
    const auto weights = *rc::gen::container<std::vector<double>>(
        n, rc::gen::elementOf(std::vector<double>{0.5, 1, 2}));
    const FairPolicy policy = *rc::gen::elementOf(
        std::vector<FairPolicy>{DeficitRoundRobin{}, VirtualTokenCounter{}});
    const auto served = ServeBacklogged(policy, costs, weights, 20000);
    double least = served.begin()->second;
    double most = least;
    for (const auto& [workspace, amount] : served) {
      least = std::min(least, amount);
      most = std::max(most, amount);
    }
    // At most one request or quantum apart, for the smallest weight.
    RC_ASSERT(most - least <= 2 * (100 + 256) / 0.5);
  });
}

// Guards against a large sender that fills the queue and has others refused.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, full, drops the newest of the largest lane") {
  FairQueue queue(VirtualTokenCounter{}, 3);
  CHECK_FALSE(Push(queue, "large"));
  CHECK_FALSE(Push(queue, "large"));
  CHECK_FALSE(Push(queue, "large"));
  CHECK(Push(queue, "small") == RequestId{3});
  CHECK(queue.size() == 3);
}

// Guards against an idle workspace that saves up a claim to all capacity.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, back from idle, gets no credit for idle time") {
  FairQueue queue(VirtualTokenCounter{}, 100);
  for (int i = 0; i < 20; ++i) {
    Push(queue, "busy");
    queue.Pop();
  }
  for (int i = 0; i < 4; ++i) {
    Push(queue, "busy");
    Push(queue, "idle");
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 4; ++i) {
    ++served[queue.Pop()->workspace];
  }
  CHECK(served["busy"] >= 1);
}

// Guards against a very long search for the next turn.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, huge cost and tiny weight, pops at once") {
  FairQueue queue(DeficitRoundRobin{.quantum = 1}, 10);
  Push(queue, "a", 1e9, 0.001);
  Push(queue, "b", 1e9, 0.002);
  CHECK(queue.Pop()->workspace == "b");
  CHECK(queue.Pop()->workspace == "a");
  CHECK_FALSE(queue.Pop());
}

// Guards against a request that runs after its caller was refused.
TEST_CASE_FIXTURE(FairQueueFixture, "FairQueue, removed, is not popped") {
  FairQueue queue(FifoOrder{}, 10);
  Push(queue, "a");
  Push(queue, "a");
  CHECK(queue.Remove(RequestId{1}, "a"));
  CHECK_FALSE(queue.Remove(RequestId{1}, "a"));
  CHECK(queue.Pop()->id == RequestId{2});
  CHECK(queue.empty());
}

}  // namespace
}  // namespace carawayrelay
