#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/batch_event.h"

namespace carawayrelay {

// The jobs that this entry has seen in the store and that have not ended.
// Decides when to read them again and which chunk to claim next. Makes no store
// requests itself; the batch dispatcher sends them. Runs on the `batch` thread.
class ActiveJobs {
 public:
  struct Options {
    size_t max_known_jobs = 2000;
    size_t page_size = 200;  // jobs per list request
    std::chrono::milliseconds list_interval{1000};
    // Minimum time between two scans of a job that had nothing to claim.
    std::chrono::milliseconds rescan_interval{500};
    // Minimum time between two scans of any jobs. Bounds the rate of store
    // reads of an entry that finds nothing to claim.
    std::chrono::milliseconds scan_spacing{50};
    // Minimum time between two checks of a job of which this entry holds
    // chunks. Bounds the delay until the entry notices a cancellation.
    std::chrono::milliseconds check_interval{1000};
    // Time between two scans of jobs that are not due otherwise. All chunks of
    // such a job may be done while the entry that should mark the job completed
    // has failed.
    std::chrono::milliseconds sweep_interval{10000};
    // Delay before the next scan of a job whose row is missing, or after a
    // failed store operation.
    std::chrono::milliseconds error_delay{1000};
  };

  // Number of chunks that this entry holds or is claiming.
  struct Load {
    size_t of_job = 0;
    double of_workspace = 0;  // chunks divided by the workspace's weight
  };

  explicit ActiveJobs(Options options) : options_(options) {}

  // Ignores the job when `max_known_jobs` jobs are known.
  void Add(const ActiveJob& job);
  void Remove(const std::string& job) { jobs_.erase(job); }
  void OnListed(const ActiveJobsListed& event, TimePoint now);
  // Returns false when the job has ended.
  bool OnScanned(const JobScanned& event, TimePoint now);
  // Drops the candidates of the job, which are out of date after a failed
  // claim. The next scan is due at once after a conflict, and otherwise after
  // `error_delay`.
  void OnClaimFailed(const std::string& job, ErrorCode error, TimePoint now);
  // Drops the candidates of the job and does not scan it for claims before
  // `until`.
  void Postpone(const std::string& job, TimePoint until);
  // Makes a scan of the job due at once, because the committed chunk may have
  // been its last one.
  void OnCommitted(const std::string& job, TimePoint now);
  // Drops the candidates of all jobs, which are out of date when the session of
  // this entry has changed.
  void ForgetCandidates();

  // Returns the list request that is due. At most one is in flight.
  std::optional<ListActiveJobs> NextListRequest(TimePoint now);
  struct DueCheck {
    std::string job;
    std::string workspace;
    // True: read the job row only. False: read the chunk rows as well.
    bool state_only = false;
  };
  // Returns the job to check next: one in `held` that may have been cancelled,
  // one that may be complete, or else, once per `sweep_interval`, the one whose
  // last check was longest ago.
  std::optional<DueCheck> NextDueCheck(const std::set<std::string>& held,
                                       TimePoint now);

  struct ClaimOrScan {
    std::string job;
    std::string workspace;
    // The chunk to claim; without a value, the job is to be scanned.
    std::optional<ClaimCandidate> candidate;
  };
  // Returns a chunk to claim, or a job to scan for one, among the jobs that use
  // a model in `routes`. Prefers the workspace with the least load, then its
  // job with the least load, then the job selected longest ago. `load_of(job,
  // workspace)` returns nothing for a job that must not get more chunks.
  template <class LoadOf>
  std::optional<ClaimOrScan> NextClaimOrScan(
      const std::set<std::string>& routes,
      LoadOf load_of,
      TimePoint now) {
    KnownJobEntry* best = nullptr;
    std::tuple<double, size_t, std::uint64_t> best_rank;
    for (auto& entry : jobs_) {
      if (!CanClaimOrScan(entry.second, routes, now)) {
        continue;
      }
      const std::optional<Load> load =
          load_of(entry.first, entry.second.workspace);
      if (!load) {
        continue;
      }
      const std::tuple rank{load->of_workspace, load->of_job,
                            entry.second.last_selected};
      if (best == nullptr || rank < best_rank) {
        best = &entry;
        best_rank = rank;
      }
    }
    return best == nullptr ? std::nullopt
                           : std::optional(TakeClaimOrScan(*best, now));
  }

 private:
  struct KnownJob {
    std::string workspace;
    std::set<std::string> models;
    std::deque<ClaimCandidate> candidates;
    TimePoint next_scan;
    TimePoint next_check;
    // A full scan is due, because all chunks may be done.
    bool may_be_complete = false;
    bool is_scanning = false;  // a scan or check is in flight
    // Value of `selection_count_` when the job was last selected.
    std::uint64_t last_selected = 0;
  };
  using KnownJobEntry = std::pair<const std::string, KnownJob>;

  bool CanClaimOrScan(const KnownJob& job,
                      const std::set<std::string>& routes,
                      TimePoint now) const;
  ClaimOrScan TakeClaimOrScan(KnownJobEntry& entry, TimePoint now);

  Options options_;
  std::map<std::string, KnownJob> jobs_;
  std::string list_after_;  // id of the last listed job; empty: start over
  TimePoint next_list_;
  bool is_listing_ = false;
  TimePoint next_scan_;  // of any job, for chunks to claim
  TimePoint next_sweep_;
  std::uint64_t selection_count_ = 0;  // results of NextClaimOrScan()
};

}  // namespace carawayrelay
