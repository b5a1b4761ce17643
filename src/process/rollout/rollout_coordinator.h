#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "process/rollout/rollout_follower.h"
#include "process/rollout/rollout_plan.h"
#include "process/rollout/version_report.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/operator_watch.h"
#include "process/store/store_client.h"
#include "process/store/table_watch.h"

namespace carawayrelay {

// Starts rollouts and decides on their steps while this process has the lease
// of a rollout. Every frontend has one. The lease ends on the store's clock,
// and each write expects the version of the row on which it was decided, so
// that a coordinator that was frozen changes nothing. Used on the event loop
// thread.
class RolloutCoordinator {
 public:
  // `node` is the name of this process. The referenced objects must outlive
  // this one.
  RolloutCoordinator(std::string node,
                     std::uint64_t seed,
                     const RolloutFollower& follower,
                     const OperatorWatch& operators,
                     StoreClient& store,
                     const EventLoopClock& clock);

  // Must be called in each iteration of the event loop.
  void Tick(TimePoint now);

 private:
  // What this process has done about the rollout of a service.
  struct Work {
    std::uint64_t spec_version = 0;
    std::chrono::milliseconds spec_seen{0};  // on the store's clock
    bool is_writing = false;
    bool is_publishing = false;
    // Version of the row that was written over; its successor is awaited until
    // `row_due`.
    std::uint64_t replaced_version = 0;
    TimePoint row_due{};
    TimePoint next_try{};
    TimePoint next_decision{};
    // The rollout and step whose status row was written.
    std::uint64_t published_spec = 0;
    RolloutStep published_step = RolloutStep::kObserve;
  };

  void TickService(const std::string& service,
                   const ServiceVersions& versions,
                   TimePoint now);
  void Start(const std::string& service,
             const ServiceVersions& versions,
             Work& work,
             TimePoint now);
  void Lead(const std::string& service,
            const ServiceVersions& versions,
            Work& work,
            TimePoint now);
  RolloutInputs InputsOf(const std::string& service,
                         const ServiceVersions& versions,
                         TimePoint now) const;
  void Publish(const std::string& service, const RolloutRow& row, Work& work);
  // Writes the row under the condition that it is still the one in `versions`.
  void WriteRow(const std::string& service,
                const ServiceVersions& versions,
                const RolloutRow& row,
                Work& work,
                TimePoint now);
  void ApplyReports(const std::vector<StoredRow>& rows, bool is_full);
  std::chrono::milliseconds RandomDelay(std::chrono::milliseconds limit);

  const std::string node_;
  const RolloutFollower& follower_;
  const OperatorWatch& operators_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  std::mt19937_64 random_;
  std::map<std::string, Work> work_;              // by service
  std::map<std::string, VersionReport> reports_;  // by row key
  bool is_leading_ = false;
  TableWatch report_watch_;
};

}  // namespace carawayrelay
