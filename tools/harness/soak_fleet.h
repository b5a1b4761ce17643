#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "harness/http_runner.h"
#include "harness/loopback_proxy.h"
#include "harness/process_group.h"
#include "harness/soak_plan.h"
#include "harness/stop_signal.h"

namespace carawayrelay::tools {

// Names in the configuration of a soak.
namespace soak_names {
inline constexpr const char* kHost = "soak.example";
inline constexpr const char* kOpenKey = "key-open";
inline constexpr const char* kLimitedKey = "key-limited";
inline constexpr const char* kLimitedWorkspace = "limited";
inline constexpr const char* kGoneKey = "key-gone";
inline constexpr const char* kGoneWorkspace = "gone";
inline constexpr double kLimitedRate = 10;
inline constexpr double kLimitedBurst = 10;
}  // namespace soak_names

// The real programs of one soak as processes on loopback, with the store, the
// backend servers and the operators played by stand-ins. Every connection to
// the store and to backend servers goes through the proxy.
class SoakFleet {
 public:
  // Uses ports from `first_port` on. The references must outlive the fleet.
  SoakFleet(std::string programs,
            const SoakPlan& plan,
            std::uint16_t first_port,
            ProcessGroup& processes,
            HttpRunner& http,
            StopSignal& stop);

  Result<void> Start();
  void Inject(const SoakFault& fault, TimePoint now);
  // Does what is due: restarts, ends of faults, entries that lapse.
  void Tick(TimePoint now);
  // Ends all faults that have an end.
  void Heal();
  // Whether all frontends are ready.
  bool IsReady();
  // Ends frontends and workers by SIGTERM. Adds what went wrong to `problems`.
  void Stop(std::vector<std::string>& problems);
  // Processes of ours that ended without being asked to.
  std::vector<std::string> Crashed();
  // The most memory that a frontend or worker has used.
  std::uint64_t PeakBytes();

  int frontends() const { return plan_.frontends; }
  std::string FrontendUrl(int index) const;
  // When the operators' change that withdrew the key was in the store.
  std::optional<TimePoint> key_withdrawn_at() const { return withdrawn_at_; }

 private:
  struct Runner {
    int starts = 0;
    std::uint16_t port = 0;
    std::uint16_t link_port = 0;
  };
  struct Due {
    TimePoint at{};
    std::function<void()> action;
  };

  std::string RunnerId(int index) const;
  Result<void> StartProcess(const std::string& name,
                            const std::vector<std::string>& arguments);
  Result<void> StartRelay(const std::string& name);
  Result<void> StartRunner(int index);
  void Restart(const std::string& name);
  void PublishRunners();
  void PublishOperators();
  void Control(std::uint16_t port, const std::string& fields);
  void After(std::chrono::milliseconds time, std::function<void()> action);

  const std::string programs_;
  const SoakPlan& plan_;
  ProcessGroup& processes_;
  HttpRunner& http_;
  StopSignal& stop_;
  LoopbackProxy proxy_;
  std::uint16_t next_port_;
  std::uint16_t store_port_ = 0;
  // By process name.
  std::map<std::string, nlohmann::json> settings_;
  std::vector<std::uint16_t> client_ports_;
  std::vector<std::uint16_t> ready_ports_;
  std::vector<Runner> runners_;
  // Entries of backend servers, those that crashed for a while.
  std::map<std::string, nlohmann::json> entries_;
  std::set<std::string> evacuated_;
  int config_version_ = 1;
  bool is_key_withdrawn_ = false;
  std::optional<TimePoint> withdrawn_at_;
  std::vector<Due> due_;
  // Processes that were asked to end.
  std::set<std::string> ending_;
};

}  // namespace carawayrelay::tools
