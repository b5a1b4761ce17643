#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Checks the runs of a soak, as the backend servers recorded them, against the
// guarantees of the relay. Each check appends the violations to `problems`.
class SoakHistory {
 public:
  // Reads the history files of the backend servers. Skips lines that are not
  // events of the start of a run.
  explicit SoakHistory(const std::vector<std::string>& files);

  // Checks that no order ran more than once, that no request of `not_run` ran,
  // and that no backend server received the API key of a client.
  void CheckRuns(const std::set<std::string>& not_run,
                 std::vector<std::string>& problems) const;
  // Checks that no request of `workspace` ran later than the revocation limit
  // after its key was withdrawn.
  void CheckWithdrawnKey(const std::string& workspace,
                         TimePoint withdrawn_at,
                         std::vector<std::string>& problems) const;
  // Checks that `workspace` did not exceed `rate` (requests per second) and
  // `burst` in any window of time, with a tolerance. A request that ran several
  // times counts once.
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
    // Event after which the run resumes a stream; 0 when it starts at the
    // first.
    int after = 0;
    // Whether the request reached the backend server with an API key.
    bool shows_key = false;
  };
  std::vector<Run> runs_;  // by increasing time
};

}  // namespace carawayrelay::tools
