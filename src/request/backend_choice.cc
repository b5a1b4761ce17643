#include "request/backend_choice.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using Candidates = std::span<const BackendCandidate>;

double LoadOf(const BackendCandidate& candidate) {
  return static_cast<double>(candidate.in_use) / candidate.window;
}

size_t Choose(RoundRobin& policy, Candidates candidates) {
  size_t first = 0;
  std::optional<size_t> next;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].id < candidates[first].id) {
      first = i;
    }
    if (candidates[i].id > policy.last_id &&
        (!next || candidates[i].id < candidates[*next].id)) {
      next = i;
    }
  }
  const size_t chosen = next.value_or(first);
  policy.last_id = candidates[chosen].id;
  return chosen;
}

size_t Choose(const PowerOfTwoChoices& policy,
              Candidates candidates,
              std::mt19937_64& rng) {
  if (candidates.size() == 1) {
    return 0;
  }
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  std::uniform_int_distribution<size_t> pick_other(0, candidates.size() - 2);
  const size_t a = pick(rng);
  size_t b = pick_other(rng);
  b += b >= a ? 1 : 0;
  return LoadOf(candidates[b]) < LoadOf(candidates[a]) ? b : a;
}

// Uses the finalizer of splitmix64, so that adjacent ids get unrelated scores.
std::uint64_t Score(std::uint64_t prefix_hash, std::uint64_t id) {
  std::uint64_t x = prefix_hash ^ (id * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

size_t Choose(const PrefixAffinity& policy,
              Candidates candidates,
              std::uint64_t prefix_hash) {
  double in_use = 1;
  double window = 0;
  for (const BackendCandidate& candidate : candidates) {
    in_use += candidate.in_use;
    window += candidate.window;
  }
  const double bound = std::max(1.0, policy.load_factor) * in_use / window;
  std::optional<size_t> best;
  std::uint64_t best_score = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    // The bound is rounded up so that at least one candidate is always below
    // it.
    if (candidates[i].in_use >= std::ceil(bound * candidates[i].window)) {
      continue;
    }
    const std::uint64_t score = Score(prefix_hash, candidates[i].id);
    if (!best || score > best_score) {
      best = i;
      best_score = score;
    }
  }
  return best.value_or(0);
}

}  // namespace

std::optional<size_t> ChooseBackend(ChoicePolicy& policy,
                                    Candidates candidates,
                                    std::uint64_t prefix_hash,
                                    std::mt19937_64& rng) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  assert(std::all_of(candidates.begin(), candidates.end(),
                     [](const auto& c) { return c.window > 0; }));
  return std::visit(
      Overloaded{
          [&](RoundRobin& p) { return Choose(p, candidates); },
          [&](PowerOfTwoChoices& p) { return Choose(p, candidates, rng); },
          [&](PrefixAffinity& p) { return Choose(p, candidates, prefix_hash); },
      },
      policy);
}

}  // namespace carawayrelay
