#include "harness/soak.h"

#include <spdlog/fmt/fmt.h>

#include <atomic>
#include <filesystem>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "harness/port_block.h"
#include "harness/soak_fleet.h"
#include "harness/soak_history.h"
#include "harness/soak_load.h"

namespace carawayrelay::tools {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{5};
constexpr milliseconds kReadyTimeout{15000};
constexpr milliseconds kJobsTimeout{30000};
constexpr milliseconds kProbeTimeout{6000};
// Limit of the peak resident memory of each frontend or worker.
constexpr std::uint64_t kMaxResidentBytes = std::uint64_t{60} << 20;

struct SeedReport {
  SoakPlan plan;
  SoakLoad::Counts counts;
  // Runs that the backend servers started.
  size_t runs = 0;
  // Output of the processes.
  std::string directory;
  std::vector<std::string> problems;
};

class SeedRun {
 public:
  SeedRun(const std::string& program_directory,
          SoakPlan plan,
          std::uint16_t first_port)
      : program_directory_(program_directory), first_port_(first_port) {
    report_.plan = std::move(plan);
  }

  SeedReport Run() {
    Result<std::unique_ptr<ProcessGroup>> processes = ProcessGroup::Make();
    Result<std::unique_ptr<CurlHttpClient>> http = CurlHttpClient::Make();
    if (!processes || !http) {
      report_.problems.emplace_back(
          "cannot create the output directory or the HTTP client");
      return std::move(report_);
    }
    report_.directory = processes.value()->directory();
    SoakFleet fleet(program_directory_, report_.plan, first_port_,
                    *processes.value(), *http.value(), stop_);
    if (const Result<void> started = fleet.Start(); !started) {
      report_.problems.push_back(started.error().message);
      return std::move(report_);
    }
    SoakLoad load(fleet, *http.value(), report_.plan.seed,
                  report_.plan.is_maintenance_only);
    RunLoad(fleet, load);
    CheckRecovery(fleet, load);
    fleet.Stop(report_.problems);
    report_.counts = load.counts();
    AppendProblems(load.problems());
    CheckHistory(fleet, load, *processes.value());
    return std::move(report_);
  }

 private:
  void AppendProblems(const std::vector<std::string>& problems) {
    report_.problems.insert(report_.problems.end(), problems.begin(),
                            problems.end());
  }

  void RunLoad(SoakFleet& fleet, SoakLoad& load) {
    const TimePoint start = BootClock::now();
    size_t next = 0;
    while (BootClock::now() < start + report_.plan.load_duration) {
      const TimePoint now = BootClock::now();
      const auto& faults = report_.plan.faults;
      while (next < faults.size() && now >= start + faults[next].at) {
        fleet.Inject(faults[next++].fault, now);
      }
      fleet.RunDueActions(now);
      load.Poll(now, /*may_start_new_work=*/true);
      AppendProblems(DescribeNewCrashes(fleet.CrashedProcesses()));
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Reports each process that ended unexpectedly only once.
  std::vector<std::string> DescribeNewCrashes(
      const std::vector<std::string>& crashed) {
    std::vector<std::string> problems;
    for (const std::string& name : crashed) {
      if (reported_crashes_.insert(name).second) {
        problems.push_back(name + " ended unexpectedly");
      }
    }
    return problems;
  }

  // Checks that after the faults all frontends become ready, requests are
  // served and all accepted jobs complete.
  void CheckRecovery(SoakFleet& fleet, SoakLoad& load) {
    fleet.EndFaults();
    const auto wait = [&](milliseconds limit, auto done) {
      const TimePoint end = BootClock::now() + limit;
      while (BootClock::now() < end) {
        load.Poll(BootClock::now(), /*may_start_new_work=*/false);
        if (done()) {
          return true;
        }
        std::this_thread::sleep_for(kPollInterval);
      }
      return false;
    };
    if (!wait(kReadyTimeout, [&] { return fleet.IsReady(); })) {
      report_.problems.emplace_back(
          "not all frontends became ready after the faults");
    }
    const int served = load.counts().served;
    load.Probe(BootClock::now());
    if (!wait(kProbeTimeout, [&] {
          return load.counts().served >= served + fleet.frontends();
        })) {
      report_.problems.emplace_back(
          "not all probe requests were served after the faults");
    }
    if (!wait(kJobsTimeout, [&] { return load.IsDone(); })) {
      report_.problems.push_back(
          "accepted jobs did not complete after the faults:" +
          load.DescribeOpenJobs());
    }
    if (const std::uint64_t bytes = fleet.PeakResidentBytes();
        bytes > kMaxResidentBytes) {
      report_.problems.push_back(
          "peak memory of a frontend or worker is over the limit: " +
          std::to_string(bytes >> 20) + " MiB");
    }
  }

  void CheckHistory(const SoakFleet& fleet,
                    const SoakLoad& load,
                    const ProcessGroup& processes) {
    std::vector<std::string> files;
    files.reserve(static_cast<size_t>(report_.plan.backends));
    for (int i = 0; i < report_.plan.backends; ++i) {
      files.push_back(processes.OutputPath(BackendName(i)));
    }
    const SoakHistory history(files);
    report_.runs = history.runs();
    history.CheckRuns(load.not_run(), report_.problems);
    history.CheckRate(soak_names::kLimitedWorkspace, soak_names::kLimitedRate,
                      soak_names::kLimitedBurst, report_.problems);
    if (fleet.key_withdrawn_at()) {
      history.CheckWithdrawnKey(soak_names::kWithdrawnKeyWorkspace,
                                *fleet.key_withdrawn_at(), report_.problems);
    }
  }

  const std::string& program_directory_;
  const std::uint16_t first_port_;
  // Signals are sent to the whole process, so only one of the StopSignal
  // objects receives each of them.
  StopSignal stop_;
  SeedReport report_;
  std::set<std::string> reported_crashes_;
};

void Print(const SeedReport& report) {
  const SoakLoad::Counts& c = report.counts;
  fmt::print(
      "seed {}: {}; {} frontends, {} backend servers; {} requests, {} served, "
      "{} over the rate, {} refused, {} failed; {} jobs, {} items; {} runs{}\n",
      report.plan.seed, report.problems.empty() ? "passed" : "FAILED",
      report.plan.frontends, report.plan.backends, c.requests, c.served,
      c.over_rate, c.refused, c.failed, c.jobs, c.items, report.runs,
      report.plan.is_maintenance_only ? "; planned maintenance only" : "");
  if (report.problems.empty()) {
    return;
  }
  for (const TimedFault& fault : report.plan.faults) {
    fmt::print("  fault at {}\n", ToText(fault));
  }
  for (const std::string& problem : report.problems) {
    fmt::print("  {}\n", problem);
  }
  fmt::print("  output of the processes: {}\n", report.directory);
}

}  // namespace

int RunSoak(const SoakOptions& options, StopSignal& stop) {
  std::mutex mutex;
  int passed = 0;
  int failed = 0;
  std::atomic<int> next{0};
  const auto run_seeds = [&] {
    const auto ports = PortBlock::Claim();
    if (!ports) {
      fmt::print("{}\n", ports.error().message);
      return;
    }
    for (int i = next++; i < options.seeds && !stop.HasArrived(); i = next++) {
      SeedRun run(
          options.program_directory,
          MakeSoakPlan(options.first_seed + static_cast<std::uint64_t>(i)),
          ports.value()->first_port());
      const SeedReport report = run.Run();
      std::lock_guard lock(mutex);
      Print(report);
      std::fflush(stdout);
      ++(report.problems.empty() ? passed : failed);
      if (report.problems.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(report.directory, ignored);
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(options.lanes));
  for (int i = 0; i < options.lanes; ++i) {
    threads.emplace_back(run_seeds);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  fmt::print("{} passed, {} failed\n", passed, failed);
  return failed == 0 && passed == options.seeds ? 0 : 1;
}

}  // namespace carawayrelay::tools
