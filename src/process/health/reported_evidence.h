#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "connection/health_report.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// What other frontends reported about backend servers in the last
// `kHealthEvidenceWindow`, by backend server and reporter.
class ReportedEvidence {
 public:
  struct Reporter {
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    TimePoint reported_at{};
    bool is_trusted = true;
    size_t accused = 0;  // as of the last JudgeReporters()
  };
  struct Record {
    // Outlives the record: it has the time of its newest report.
    Reporter* reporter = nullptr;
    TimePoint reported_at{};
    int answers = 0;
    int failures = 0;
    std::optional<TimePoint> last_answer;
    std::optional<TimePoint> last_failure;

    // Whether the reporter got more failures than answers.
    bool Accuses() const { return failures > 0 && failures >= answers; }
  };
  using Records = std::map<std::string, Record>;  // by reporter

  // Applies a report unless the same or a later one of the reporter was
  // applied; returns false then.
  bool Begin(const HealthReport& report, TimePoint now);
  // Applies one entry of a report that Begin() accepted. Returns whether the
  // reporter had reported no failure of the backend server before.
  bool Put(const HealthReport& report,
           const ServerEvidence& evidence,
           TimePoint now);
  void Forget(ServerKey server) { servers_.erase(server); }
  // Drops what is older than the window.
  void Tick(TimePoint now);
  // Decides which reporters count. A reporter that accuses more than `floor`
  // backend servers, and more than twice as many as the median of the `peers`
  // other frontends and of this one (`own_accused`), is likely to have a bad
  // link and is not trusted.
  void JudgeReporters(size_t floor, size_t peers, size_t own_accused);
  // Returns how many backend servers a frontend may accuse before it is not
  // trusted, as of the last JudgeReporters().
  size_t max_accused() const { return max_accused_; }

  // Returns nullptr if nobody reported about the backend server.
  const Records* Find(ServerKey server) const;
  size_t CountDistrusted() const;
  bool IsEmpty() const { return servers_.empty(); }

 private:
  std::map<ServerKey, Records> servers_;
  std::map<std::string, Reporter> reporters_;
  size_t max_accused_ = 0;
};

}  // namespace carawayrelay
