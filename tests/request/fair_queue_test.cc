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

  // Keeps `costs.size()` workspaces backlogged for `pops` calls of Pop() and
  // returns the cost served to each, divided by its weight.
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

// Guards against a workspace that receives less than its share because other
// workspaces send more or larger requests.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, backlogged workspaces, each gets its share") {
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
    // Each workspace is ahead or behind by at most the largest request cost
    // (100) plus the quantum (256), divided by the smallest weight.
    RC_ASSERT(most - least <= 2 * (100 + 256) / 0.5);
  });
}

// Guards against one workspace that fills the queue and causes refusals for the
// others.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, full, drops the newest of the longest flow") {
  FairQueue queue(VirtualTokenCounter{}, 3);
  CHECK_FALSE(Push(queue, "large"));
  CHECK_FALSE(Push(queue, "large"));
  CHECK_FALSE(Push(queue, "large"));
  CHECK(Push(queue, "small") == RequestId{3});
  CHECK(queue.size() == 3);
}

// Guards against an idle workspace that accumulates credit and then takes all
// capacity.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, workspace was idle, gets no credit for it") {
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

// Guards against iterating over billions of rounds in Pop().
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, huge cost and tiny weight, pops immediately") {
  FairQueue queue(DeficitRoundRobin{.quantum = 1}, 10);
  Push(queue, "a", 1e9, 0.001);
  Push(queue, "b", 1e9, 0.002);
  CHECK(queue.Pop()->workspace == "b");
  CHECK(queue.Pop()->workspace == "a");
  CHECK_FALSE(queue.Pop());
}

// Guards against running a request after its client received a refusal.
TEST_CASE_FIXTURE(FairQueueFixture,
                  "FairQueue, removed request, is not popped") {
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
