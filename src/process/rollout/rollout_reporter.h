#pragma once

#include <map>
#include <string>
#include <vector>

#include "process/forward/attempt_outcome.h"
#include "process/forward/backend_directory.h"
#include "process/rollout/rollout_follower.h"
#include "process/rollout/version_report.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_client.h"

namespace carawayrelay {

// Collects what the attempts of this frontend show about the versions of a
// service while a rollout runs, and writes it to the frontend's row in the
// store. Used on the event loop thread.
class RolloutReporter {
 public:
  static constexpr const char* kTable = "rollout_reports";
  // Events after which the pace of a stream is taken. A slow version must be
  // found before its streams have ended.
  static constexpr std::uint64_t kPaceEvents = 6;

  // The referenced objects must outlive this one.
  RolloutReporter(std::string node,
                  const RolloutFollower& follower,
                  BackendDirectory& backends,
                  StoreClient& store,
                  const EventLoopClock& clock);

  // Returns the parts of the table in which the rows of the frontends are.
  static std::vector<std::string> Parts();
  static RowKey KeyOf(const std::string& service, const std::string& node);

  // Records what is known of an attempt after an event of its stream.
  void ObserveProgress(const AttemptOutcome& outcome, TimePoint now);
  // Records an attempt that ended.
  void ObserveEnd(const AttemptOutcome& outcome, TimePoint now);
  // Writes the report if it is due.
  void Tick(TimePoint now);

 private:
  struct Report {
    VersionReport report;
    TimePoint next_write{};
    TimePoint written_at{};
    bool is_writing = false;
    bool has_row = false;
  };

  // Returns the statistics that the attempt belongs to, or nullptr if no
  // rollout of its service runs. Sets `is_canary`, and `is_cold` if its
  // durations do not count.
  VersionStats* StatsOf(const AttemptOutcome& outcome,
                        TimePoint now,
                        bool& is_cold,
                        bool& is_canary);
  Report& ReportOf(const std::string& service, const ServiceVersions& versions);
  std::uint64_t CountRunning(const std::string& service,
                             const std::string& version) const;
  void Write(const std::string& service, Report& report, TimePoint now);
  void Remove(const std::string& service);

  const std::string node_;
  const RolloutFollower& follower_;
  BackendDirectory& backends_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  std::map<std::string, Report> reports_;  // by service
};

}  // namespace carawayrelay
