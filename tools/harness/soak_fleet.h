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
#include "harness/curl_http_client.h"
#include "harness/loopback_proxy.h"
#include "harness/process_group.h"
#include "harness/soak_plan.h"
#include "harness/stop_signal.h"

namespace carawayrelay::tools {

// Hosts, API keys, workspaces and limits in the configuration of a soak.
namespace soak_names {
inline constexpr const char* kHost = "soak.example";
inline constexpr const char* kOpenKey = "key-open";
inline constexpr const char* kLimitedKey = "key-limited";
inline constexpr const char* kLimitedWorkspace = "limited";
inline constexpr const char* kWithdrawnKey = "key-gone";
inline constexpr const char* kWithdrawnKeyWorkspace = "gone";
inline constexpr double kLimitedRate = 10;  // requests per second
inline constexpr double kLimitedBurst = 10;
}  // namespace soak_names

// The processes of one soak on loopback: real frontends and workers, and
// stand-ins for the store and the backend servers. This class also makes the
// changes that operators and the platform make in the store. Every connection
// from a frontend or worker to the store or a backend server goes through a
// proxy, which injects link faults.
class SoakFleet {
 public:
  // Uses ports from `first_port` upwards. The references must outlive the
  // fleet.
  SoakFleet(std::string program_directory,
            const SoakPlan& plan,
            std::uint16_t first_port,
            ProcessGroup& processes,
            CurlHttpClient& http,
            StopSignal& stop);

  // Starts all processes and waits until all frontends are ready.
  Result<void> Start();
  void Inject(const SoakFault& fault, TimePoint now);
  // Runs the actions that are due: restarts of processes, ends of faults, and
  // removals of the registrations of crashed backend servers.
  void RunDueActions(TimePoint now);
  // Waits until all temporary faults have ended and all processes that faults
  // stopped have been restarted, or a time limit has passed.
  void EndFaults();
  bool IsReady();
  // Stops frontends and workers by SIGTERM. Appends to `problems` those that
  // did not stop or exited with a status other than 0.
  void Stop(std::vector<std::string>& problems);
  // Frontends and workers that are not running although no fault stopped them.
  // Empty while an action is pending, since it may be their restart.
  std::vector<std::string> CrashedProcesses();
  // Largest peak resident memory of the running frontends and workers, in
  // bytes.
  std::uint64_t PeakResidentBytes();

  int frontends() const { return plan_.frontends; }
  std::string FrontendUrl(int index) const;
  // Time at which the configuration without the key was in the store; no value
  // while the key is valid.
  std::optional<TimePoint> key_withdrawn_at() const {
    return key_withdrawn_at_;
  }

 private:
  struct Backend {
    int start_count = 0;
    std::uint16_t port = 0;
    // Port of the proxy that forwards to `port`; the registration names this
    // one.
    std::uint16_t proxy_port = 0;
  };
  struct DelayedAction {
    TimePoint at{};
    std::function<void()> action;
  };

  // Id under which the backend server is registered; each start gets a new one.
  std::string BackendId(int index) const;
  Result<void> StartProcess(const std::string& name,
                            const std::vector<std::string>& arguments);
  Result<void> StartRelay(const std::string& name);
  Result<void> StartBackend(int index);
  void Restart(const std::string& name);
  void PublishRegistrations();
  void PublishOperatorTable();
  void Control(std::uint16_t port, const std::string& fields);
  void RunAfter(std::chrono::milliseconds duration,
                std::function<void()> action);

  const std::string program_directory_;
  const SoakPlan& plan_;
  ProcessGroup& processes_;
  CurlHttpClient& http_;
  StopSignal& stop_;
  LoopbackProxy proxy_;
  std::uint16_t next_port_;
  std::uint16_t store_port_ = 0;
  // Settings of frontends and workers by process name.
  std::map<std::string, nlohmann::json> settings_;
  std::vector<std::uint16_t> client_ports_;
  std::vector<std::uint16_t> ready_ports_;
  std::vector<Backend> backends_;
  // Registrations by id of the backend server. A crashed one stays registered
  // for a while.
  std::map<std::string, nlohmann::json> registrations_;
  std::set<std::string> evacuated_zones_;
  int config_version_ = 1;
  bool is_key_withdrawn_ = false;
  std::optional<TimePoint> key_withdrawn_at_;
  std::vector<DelayedAction> delayed_actions_;
  // Processes that a fault stopped and whose restart is not scheduled yet.
  std::set<std::string> stopping_;
};

}  // namespace carawayrelay::tools
