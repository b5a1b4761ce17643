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

// What this entry knows of the jobs that have not ended, and when it looks at
// them in the store. Decides which chunk to claim next.
class ActiveJobs {
 public:
  struct Options {
    size_t max_known_jobs = 2000;
    size_t page_size = 200;
    std::chrono::milliseconds list_interval{1000};
    // Between two scans of a job that had nothing to claim.
    std::chrono::milliseconds rescan_interval{500};
    // Between two scans of any job; bounds the reads of an entry without work.
    std::chrono::milliseconds scan_spacing{50};
    // Between two looks at a job of which chunks are held. Bounds the time
    // until a cancellation is seen.
    std::chrono::milliseconds check_interval{1000};
    // Between two looks at jobs without work for this entry, any of which may
    // have lost the entry that would have ended it.
    std::chrono::milliseconds sweep_interval{10000};
    std::chrono::milliseconds error_delay{1000};
  };

  // The chunks that this entry has of a job and of its workspace, held or
  // being claimed.
  struct Load {
    size_t of_job = 0;
    double of_workspace = 0;  // divided by the weight of the workspace
  };

  explicit ActiveJobs(Options options) : options_(options) {}

  void Add(const ActiveJob& job);
  void Remove(const std::string& job) { jobs_.erase(job); }
  void OnListed(const ActiveJobsListed& event, TimePoint now);
  // Returns false when the job has ended.
  bool OnScanned(const JobScanned& event, TimePoint now);
  // A claim failed: what is known of the job is out of date.
  void OnClaimFailed(const std::string& job, ErrorCode error, TimePoint now);
  // No work of the job is wanted until a time.
  void Postpone(const std::string& job, TimePoint until);
  // A chunk was committed; the job may be complete.
  void OnCommitted(const std::string& job, TimePoint now);
  // The session changed, which makes the candidates out of date.
  void ForgetCandidates();

  // The list request that is due.
  std::optional<ListActiveJobs> NextListRequest(TimePoint now);
  // The job to look at next: one of `held` for a cancellation, one that may be
  // complete, or one that was not looked at for long.
  struct DueCheck {
    std::string job;
    std::string workspace;
    bool state_only = false;
  };
  std::optional<DueCheck> NextDueCheck(const std::set<std::string>& held,
                                       TimePoint now);

  // Work for `routes`: a chunk to claim, or a job to scan for one. Prefers the
  // workspace, then the job with the least load. `load_of(job, workspace)`
  // returns nothing for a job of which no more chunks are wanted.
  struct ClaimOrScan {
    std::string job;
    std::string workspace;
    std::optional<ClaimCandidate> candidate;  // none: scan the job
  };
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
    bool may_be_complete = false;
    bool is_scanning = false;
    std::uint64_t last_selected = 0;
  };
  using KnownJobEntry = std::pair<const std::string, KnownJob>;

  bool CanClaimOrScan(const KnownJob& job,
                      const std::set<std::string>& routes,
                      TimePoint now) const;
  ClaimOrScan TakeClaimOrScan(KnownJobEntry& entry, TimePoint now);

  Options options_;
  std::map<std::string, KnownJob> jobs_;
  std::string list_after_;
  TimePoint next_list_;
  bool is_listing_ = false;
  TimePoint next_scan_;
  TimePoint next_sweep_;
  std::uint64_t selection_count_ = 0;
};

}  // namespace carawayrelay
