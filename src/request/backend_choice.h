#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>

namespace carawayrelay {

// A backend server that is available for a new request.
struct BackendCandidate {
  // Identifies the same backend server in every candidate list of a process.
  std::uint64_t id = 0;
  // Maximum number of concurrent requests of the backend server; at least 1.
  int window = 1;
  // Requests running on the backend server. The part sent by other entries is
  // taken from status messages and lags behind.
  int in_use = 0;
};

// Chooses the candidates in turn, in the order of their ids.
struct RoundRobin {
  std::uint64_t last_id = 0;
};

// Draws two random candidates and chooses the one with the lower ratio of
// running requests to window.
struct PowerOfTwoChoices {};

// Sends requests with equal prefixes to the same candidate, so that they hit
// its prompt cache. A candidate whose load per window exceeds `load_factor`
// times the mean is skipped in favor of the next one in hash order.
struct PrefixAffinity {
  double load_factor = 1.25;
};

using ChoicePolicy =
    std::variant<RoundRobin, PowerOfTwoChoices, PrefixAffinity>;

// Returns the index of the chosen candidate, or nothing when `candidates` is
// empty. Updates the position that RoundRobin keeps.
std::optional<size_t> ChooseBackend(
    ChoicePolicy& policy,
    std::span<const BackendCandidate> candidates,
    std::uint64_t prefix_hash,
    std::mt19937_64& rng);

}  // namespace carawayrelay
