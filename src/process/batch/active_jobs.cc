#include "process/batch/active_jobs.h"

#include <algorithm>
#include <utility>

namespace carawayrelay {

void ActiveJobs::Add(const ActiveJob& job) {
  if (jobs_.size() < options_.max_known_jobs) {
    jobs_.try_emplace(
        job.id, KnownJob{.workspace = job.workspace,
                         .models = {job.models.begin(), job.models.end()}});
  }
}

void ActiveJobs::OnListed(const ActiveJobsListed& event, TimePoint now) {
  is_listing_ = false;
  next_list_ = now + options_.list_interval;
  if (!event.jobs) {
    return;
  }
  for (const ActiveJob& job : event.jobs.value()) {
    Add(job);
  }
  list_after_ = event.jobs.value().size() < options_.page_size
                    ? std::string()
                    : event.jobs.value().back().id;
}

bool ActiveJobs::OnScanned(const JobScanned& event, TimePoint now) {
  const auto it = jobs_.find(event.job);
  if (it != jobs_.end()) {
    it->second.is_scanning = false;
  }
  if (!event.scan) {
    if (it != jobs_.end()) {
      it->second.next_scan = now + options_.error_delay;
      it->second.may_be_complete = true;
    }
    return true;
  }
  const JobScan& scan = event.scan.value();
  if (scan.status == JobScanStatus::kEnded) {
    jobs_.erase(event.job);
    return false;
  }
  if (it == jobs_.end()) {
    return true;
  }
  KnownJob& job = it->second;
  if (scan.status == JobScanStatus::kMissing) {
    // Usually the creator of the job has written the index row, but not the job
    // row yet.
    job.next_scan = now + options_.error_delay;
    return true;
  }
  if (!scan.candidates.empty()) {
    job.candidates.assign(scan.candidates.begin(), scan.candidates.end());
  }
  return true;
}

void ActiveJobs::OnClaimFailed(const std::string& job,
                               ErrorCode error,
                               TimePoint now) {
  Postpone(job,
           error == ErrorCode::kConflict ? now : now + options_.error_delay);
}

void ActiveJobs::Postpone(const std::string& job, TimePoint until) {
  const auto it = jobs_.find(job);
  if (it != jobs_.end()) {
    it->second.candidates.clear();
    it->second.next_scan = until;
  }
}

void ActiveJobs::OnCommitted(const std::string& job, TimePoint now) {
  const auto it = jobs_.find(job);
  if (it != jobs_.end()) {
    it->second.may_be_complete = true;
    it->second.next_check = now;
  }
}

void ActiveJobs::ForgetCandidates() {
  for (auto& [id, job] : jobs_) {
    job.candidates.clear();
  }
}

std::optional<ListActiveJobs> ActiveJobs::NextListRequest(TimePoint now) {
  if (is_listing_ || now < next_list_) {
    return std::nullopt;
  }
  is_listing_ = true;
  return ListActiveJobs{list_after_, options_.page_size};
}

std::optional<ActiveJobs::DueCheck> ActiveJobs::NextDueCheck(
    const std::set<std::string>& held,
    TimePoint now) {
  for (auto& [id, job] : jobs_) {
    const bool is_due = job.may_be_complete || held.contains(id);
    if (!is_due || job.is_scanning || now < job.next_check) {
      continue;
    }
    job.is_scanning = true;
    job.next_check = now + options_.check_interval;
    const bool state_only = !std::exchange(job.may_be_complete, false);
    return DueCheck{id, job.workspace, state_only};
  }
  if (now < next_sweep_) {
    return std::nullopt;
  }
  KnownJobEntry* oldest = nullptr;
  for (auto& entry : jobs_) {
    if (!entry.second.is_scanning &&
        (oldest == nullptr ||
         entry.second.next_check < oldest->second.next_check)) {
      oldest = &entry;
    }
  }
  next_sweep_ = now + options_.sweep_interval;
  if (oldest == nullptr) {
    return std::nullopt;
  }
  oldest->second.is_scanning = true;
  oldest->second.next_check = now + options_.check_interval;
  return DueCheck{oldest->first, oldest->second.workspace, false};
}

bool ActiveJobs::CanClaimOrScan(const KnownJob& job,
                                const std::set<std::string>& routes,
                                TimePoint now) const {
  if (job.is_scanning || std::none_of(job.models.begin(), job.models.end(),
                                      [&](const std::string& model) {
                                        return routes.contains(model);
                                      })) {
    return false;
  }
  return !job.candidates.empty() || (now >= job.next_scan && now >= next_scan_);
}

ActiveJobs::ClaimOrScan ActiveJobs::TakeClaimOrScan(KnownJobEntry& entry,
                                                    TimePoint now) {
  KnownJob& job = entry.second;
  job.last_selected = ++selection_count_;
  ClaimOrScan next{.job = entry.first, .workspace = job.workspace};
  if (!job.candidates.empty()) {
    next.candidate = std::move(job.candidates.front());
    job.candidates.pop_front();
  } else {
    job.is_scanning = true;
    job.next_scan = now + options_.rescan_interval;
    next_scan_ = now + options_.scan_spacing;
  }
  return next;
}

}  // namespace carawayrelay
