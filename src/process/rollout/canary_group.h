#pragma once

#include <set>
#include <string>
#include <vector>

namespace carawayrelay {

// A backend server of the canary version.
struct CanaryCandidate {
  std::string id;
  bool is_cold = false;
};

// Selects the backend servers that get the canary requests. They are so few
// that each has about the load of one of the `old_servers`, but at least two,
// because a fault that only one shows must be told from a bad version. All
// processes select the same ones. `turn` selects others, so that more servers
// are seen over time. Warm servers go first.
std::set<std::string> SelectCanaryGroup(std::vector<CanaryCandidate> candidates,
                                        size_t old_servers,
                                        double share,
                                        size_t turn);

}  // namespace carawayrelay
