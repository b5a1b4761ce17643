#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>

namespace carawayrelay {

// A backend server that may take a request now.
struct BackendCandidate {
  // Stable over the candidate lists of one process.
  std::uint64_t id = 0;
  // Concurrent requests that the backend server allows; at least 1.
  int window = 1;
  // Requests that run there, of this and, with a lag, of other entries.
  int in_use = 0;
};

// Takes the candidates in the order of their ids, one after the other.
struct RoundRobin {
  std::uint64_t last_id = 0;
};

// Of two random candidates, the one with the lower load per window.
struct PowerOfTwoChoices {};

// Sends equal prefixes to the same candidate, for its prompt cache, unless it
// has more than `load_factor` times the mean load per window; the next
// candidate in the order of the hash follows.
struct PrefixAffinity {
  double load_factor = 1.25;
};

using ChoicePolicy =
    std::variant<RoundRobin, PowerOfTwoChoices, PrefixAffinity>;

// Returns the index of the chosen candidate, or nothing when there is none.
// Updates the position of RoundRobin.
std::optional<size_t> ChooseBackend(
    ChoicePolicy& policy,
    std::span<const BackendCandidate> candidates,
    std::uint64_t prefix_hash,
    std::mt19937_64& rng);

}  // namespace carawayrelay
