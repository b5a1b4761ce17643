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

// Clients of a soak. Sends streams, lookups, orders and batch jobs through
// random frontends, and checks every response against the text that a backend
// server must have produced for it. An order is retried only if its last
// attempt is guaranteed not to have run; streams and lookups may always be
// retried.
class SoakLoad {
 public:
  struct Counts {
    int requests = 0;  // without retries
    int served = 0;
    int refused = 0;    // last attempt is guaranteed not to have run
    int failed = 0;     // last attempt may have run
    int over_rate = 0;  // status 429
    int jobs = 0;
    int items = 0;  // results of batch items
  };

  // With `is_maintenance_only` each request that counts as failed is a problem.
  SoakLoad(SoakFleet& fleet,
           CurlHttpClient& http,
           std::uint64_t seed,
           bool is_maintenance_only);

  // Handles ended calls and starts those that are due. New requests and jobs
  // are started only with `may_start_new_work`; retries and reads of jobs
  // always are. Must be called every few milliseconds.
  void Poll(TimePoint now, bool may_start_new_work);
  // Whether no call is open and all accepted jobs are done.
  bool IsDone() const { return open_calls_ == 0 && open_jobs_ == 0; }
  // Starts as many streams as there are frontends, each through a random one.
  // counts().served shows how many of them were served.
  void Probe(TimePoint now);

  const Counts& counts() const { return counts_; }
  const std::vector<std::string>& problems() const { return problems_; }
  // Ids of the attempts that are guaranteed not to have run.
  const std::set<std::string>& not_run() const { return not_run_; }
  // Accepted jobs that are not done, with their number of results, for the
  // report.
  std::string DescribeOpenJobs() const;

 private:
  enum class Kind { kStream, kLookup, kOrder };
  struct Request {
    Kind kind = Kind::kStream;
    std::string name;  // common prefix of the ids of all attempts
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
    // Results by position, as first read. Later reads must return the same.
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
  // Shared, because the thread of the HTTP client may push after this object
  // has been destroyed.
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
