#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/process.h"
#include "harness/curl_http_client.h"
#include "harness/soak_fleet.h"

namespace carawayrelay::tools {

// The clients of a soak: streams, lookups, orders and batch jobs through
// frontends at random, with repeats as the promises of the answers allow. It
// checks every answer against what the backend servers must have made.
class SoakLoad {
 public:
  struct Counts {
    int requests = 0;
    int served = 0;
    int refused = 0;  // with a promise, and not served by a repeat
    int failed = 0;   // without a promise
    int over_rate = 0;
    int jobs = 0;
    int items = 0;
  };

  // `planned_work` makes each failed request a problem.
  SoakLoad(SoakFleet& fleet,
           CurlHttpClient& http,
           std::uint64_t seed,
           bool is_maintenance_only);

  // Starts what is due and takes what has ended. Call it often.
  void Poll(TimePoint now, bool may_start_new_work);
  // Whether nothing runs and all accepted jobs are done.
  bool IsDone() const { return open_calls_ == 0 && open_jobs_ == 0; }
  // One stream through each frontend; how many of them were served is counted.
  void Probe(TimePoint now);

  const Counts& counts() const { return counts_; }
  const std::vector<std::string>& problems() const { return problems_; }
  // Ids of requests that were answered as not run.
  const std::set<std::string>& not_run() const { return not_run_; }
  // Batch jobs that are not done, for the report.
  std::string DescribeOpenJobs() const;

 private:
  enum class Kind { kStream, kLookup, kOrder };
  struct Request {
    Kind kind = Kind::kStream;
    std::string name;  // of all attempts
    std::string key;
    int events = 0;
    int attempts = 0;
    TimePoint started{};
  };
  struct Job {
    std::string id;
    std::vector<std::string> items;
    bool is_accepted = false;
    bool is_done = false;
    int attempts = 0;
    // Results by position, as first seen.
    std::vector<std::string> seen;
    TimePoint next_at{};
    bool has_open_call = false;
  };
  struct Completion {
    std::string name;  // of the request or job
    std::string attempt;
    CallResult result;
  };

  void StartRequest(TimePoint now);
  void Send(Request& request);
  void StartJob();
  void SendJob(Job& job);
  void PollJob(Job& job);
  void OnRequestCompletion(const Completion& completion, TimePoint now);
  void OnJobCompletion(const Completion& completion, TimePoint now);
  void OnJobResults(Job& job, const CallResult& result);
  void CheckServed(const Request& request,
                   const std::string& attempt,
                   const CallResult& result);
  void Start(const std::string& name,
             const std::string& attempt,
             CallSpec spec);
  std::string PickFrontendUrl();
  void AddProblem(const std::string& text);

  SoakFleet& fleet_;
  CurlHttpClient& http_;
  std::mt19937_64 random_;
  const std::string id_prefix_;
  const bool is_maintenance_only_;
  // Shared, because the thread of the runner may push after this is gone.
  std::shared_ptr<Ring<Completion>> completions_;
  std::map<std::string, Request> requests_;
  std::map<std::string, Job> jobs_;
  int open_calls_ = 0;
  int open_jobs_ = 0;
  int last_number_ = 0;
  TimePoint next_request_{};
  TimePoint next_job_{};
  std::set<std::string> not_run_;
  Counts counts_;
  std::vector<std::string> problems_;
};

}  // namespace carawayrelay::tools
