#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "carawayrelay/request.h"
#include "property.h"

namespace carawayrelay {
namespace {

struct BackendChoiceFixture {
  std::mt19937_64 rng{7};

  // Assigns `count` requests that never end and returns the candidates with
  // their resulting load.
  std::vector<BackendCandidate> Fill(ChoicePolicy policy,
                                     std::vector<BackendCandidate> candidates,
                                     int count,
                                     std::uint64_t prefix_hash) {
    for (int i = 0; i < count; ++i) {
      ++candidates[*ChooseBackend(policy, candidates, prefix_hash, rng)].in_use;
    }
    return candidates;
  }
};

TEST_CASE_FIXTURE(BackendChoiceFixture,
                  "ChooseBackend, no candidates, returns nothing") {
  ChoicePolicy policy = PowerOfTwoChoices{};
  CHECK_FALSE(ChooseBackend(policy, {}, 1, rng));
}

// Guards against skipping a candidate when other candidates leave or return.
TEST_CASE_FIXTURE(BackendChoiceFixture,
                  "RoundRobin, candidate leaves, continues with the next id") {
  ChoicePolicy policy = RoundRobin{};
  const std::vector<BackendCandidate> all = {{.id = 3}, {.id = 1}, {.id = 2}};
  const std::vector<BackendCandidate> fewer = {{.id = 3}, {.id = 1}};
  CHECK(ChooseBackend(policy, all, 0, rng) == 1);
  CHECK(ChooseBackend(policy, fewer, 0, rng) == 0);
  CHECK(ChooseBackend(policy, all, 0, rng) == 1);
}

// Guards against overloading a small backend server next to a large one.
TEST_CASE_FIXTURE(BackendChoiceFixture,
                  "PowerOfTwoChoices, unequal windows, load is proportional") {
  const auto loaded =
      Fill(PowerOfTwoChoices{},
           {{.id = 1, .window = 4}, {.id = 2, .window = 40}}, 22, 0);
  CHECK(loaded[0].in_use <= 3);
}

// Guards against overloading one backend server with requests for a popular
// prefix.
TEST_CASE_FIXTURE(BackendChoiceFixture,
                  "PrefixAffinity, single prefix, load stays bounded") {
  CheckProperty("bounded load", [this] {
    const int n = *rc::gen::inRange(1, 8);
    std::vector<BackendCandidate> candidates;
    double window = 0;
    for (int i = 0; i < n; ++i) {
      candidates.push_back({.id = static_cast<std::uint64_t>(i) + 1,
                            .window = *rc::gen::inRange(1, 20)});
      window += candidates.back().window;
    }
    const int count = *rc::gen::inRange(1, 100);
    const auto loaded = Fill(PrefixAffinity{1.25}, candidates, count,
                             *rc::gen::arbitrary<std::uint64_t>());
    for (const BackendCandidate& c : loaded) {
      RC_ASSERT(c.in_use <= 1.25 * count / window * c.window + 1);
    }
  });
}

// Guards against prompt cache misses after an unrelated candidate leaves.
TEST_CASE_FIXTURE(BackendChoiceFixture,
                  "PrefixAffinity, other candidate leaves, keeps the choice") {
  ChoicePolicy policy = PrefixAffinity{};
  std::vector<BackendCandidate> all;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    all.push_back({.id = id, .window = 8});
  }
  for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
    const size_t chosen = *ChooseBackend(policy, all, prefix, rng);
    std::vector<BackendCandidate> fewer = all;
    fewer.erase(fewer.begin() + static_cast<long>((chosen + 1) % all.size()));
    const size_t again = *ChooseBackend(policy, fewer, prefix, rng);
    CHECK(fewer[again].id == all[chosen].id);
  }
}

}  // namespace
}  // namespace carawayrelay
