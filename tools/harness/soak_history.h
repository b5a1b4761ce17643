#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// What the backend servers of a soak did, from the histories that they wrote,
// against the promises that the relay made.
class SoakHistory {
 public:
  // Reads the history files; lines that are no events are skipped.
  explicit SoakHistory(const std::vector<std::string>& files);

  // Orders that ran more than once and requests that ran although they were
  // answered as not run.
  void CheckRuns(const std::set<std::string>& not_run,
                 std::vector<std::string>& problems) const;
  // Runs of a workspace whose key was withdrawn.
  void CheckWithdrawnKey(const std::string& workspace,
                         TimePoint withdrawn_at,
                         std::vector<std::string>& problems) const;
  // Requests of a workspace in any window of the check of rates.
  void CheckRate(const std::string& workspace,
                 double rate,
                 double burst,
                 std::vector<std::string>& problems) const;
  size_t runs() const { return runs_.size(); }

 private:
  struct Run {
    TimePoint at{};
    std::string id;
    std::string kind;
    std::string workspace;
    int after = 0;
    bool shows_key = false;
  };
  std::vector<Run> runs_;  // in the order of time
};

}  // namespace carawayrelay::tools
