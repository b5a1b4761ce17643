#include "process/rollout/canary_group.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace carawayrelay {
namespace {

constexpr size_t kMinGroup = 2;

}  // namespace

std::set<std::string> SelectCanaryGroup(std::vector<CanaryCandidate> candidates,
                                        size_t old_servers,
                                        double share,
                                        size_t turn) {
  const auto rank = [](const CanaryCandidate& candidate) {
    return std::tuple(candidate.is_cold,
                      XXH3_64bits(candidate.id.data(), candidate.id.size()));
  };
  std::ranges::sort(candidates, [&](const auto& a, const auto& b) {
    return rank(a) < rank(b);
  });
  const size_t warm = static_cast<size_t>(std::ranges::count_if(
      candidates, [](const auto& candidate) { return !candidate.is_cold; }));
  const auto size =
      std::clamp(static_cast<size_t>(share * static_cast<double>(old_servers)),
                 std::min(kMinGroup, candidates.size()), candidates.size());
  // The turns stay among the warm servers while they fill a group.
  const size_t pool = warm >= size ? warm : candidates.size();
  std::set<std::string> group;
  for (size_t i = 0; i < size; ++i) {
    group.insert(candidates[(turn * size + i) % pool].id);
  }
  return group;
}

}  // namespace carawayrelay
