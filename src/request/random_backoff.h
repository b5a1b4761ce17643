#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace carawayrelay {

// Returns the pause before the next attempt of something that failed
// `failures` times in a row before this failure. The longest pause is `first`,
// doubled with each failure up to `max_doublings` times; the pause is random
// between half of it and all of it, because processes that failed together must
// not try again together.
inline std::chrono::milliseconds RandomBackoff(std::chrono::milliseconds first,
                                               int failures,
                                               int max_doublings,
                                               std::mt19937_64& random) {
  const std::chrono::milliseconds longest =
      first * (1 << std::min(failures, max_doublings));
  std::uniform_int_distribution<std::int64_t> pause(longest.count() / 2,
                                                    longest.count());
  return std::chrono::milliseconds(pause(random));
}

}  // namespace carawayrelay
