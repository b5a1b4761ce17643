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

// Names in the configuration of a soak.
namespace soak_names {
inline constexpr const char* kHost = "soak.example";
inline constexpr const char* kOpenKey = "key-open";
inline constexpr const char* kLimitedKey = "key-limited";
inline constexpr const char* kLimitedWorkspace = "limited";
inline constexpr const char* kWithdrawnKey = "key-gone";
inline constexpr const char* kWithdrawnKeyWorkspace = "gone";
inline constexpr double kLimitedRate = 10;
inline constexpr double kLimitedBurst = 10;
}  // namespace soak_names

// The real programs of one soak as processes on loopback, with the store, the
// backend servers and the operators played by stand-ins. Every connection to
// the store and to backend servers goes through the proxy.
class SoakFleet {
 public:
  // Uses ports from `first_port` on. The references must outlive the fleet.
  SoakFleet(std::string program_directory,
            const SoakPlan& plan,
            std::uint16_t first_port,
            ProcessGroup& processes,
            CurlHttpClient& http,
            StopSignal& stop);

  Result<void> Start();
  void Inject(const SoakFault& fault, TimePoint now);
  // Does what is due: restarts, ends of faults, entries that lapse.
  void RunDueActions(TimePoint now);
  // Ends all faults that have an end.
  void EndFaults();
  // Whether all frontends are ready.
  bool IsReady();
  // Ends frontends and workers by SIGTERM. Adds what went wrong to `problems`.
  void Stop(std::vector<std::string>& problems);
  // Processes of ours that ended without being asked to.
  std::vector<std::string> CrashedProcesses();
  // The most memory that a frontend or worker has used.
  std::uint64_t PeakResidentBytes();

  int frontends() const { return plan_.frontends; }
  std::string FrontendUrl(int index) const;
  // When the operators' change that withdrew the key was in the store.
  std::optional<TimePoint> key_withdrawn_at() const {
    return key_withdrawn_at_;
  }

 private:
  struct Backend {
    int start_count = 0;
    std::uint16_t port = 0;
    std::uint16_t proxy_port = 0;
  };
  struct DelayedAction {
    TimePoint at{};
    std::function<void()> action;
  };

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
  // By process name.
  std::map<std::string, nlohmann::json> settings_;
  std::vector<std::uint16_t> client_ports_;
  std::vector<std::uint16_t> ready_ports_;
  std::vector<Backend> backends_;
  // Entries of backend servers, those that crashed for a while.
  std::map<std::string, nlohmann::json> registrations_;
  std::set<std::string> evacuated_zones_;
  int config_version_ = 1;
  bool is_key_withdrawn_ = false;
  std::optional<TimePoint> key_withdrawn_at_;
  std::vector<DelayedAction> delayed_actions_;
  // Processes that were asked to end.
  std::set<std::string> stopping_;
};

}  // namespace carawayrelay::tools
