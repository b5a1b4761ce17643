#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/version.h"
#include "harness/curl_http_client.h"
#include "harness/process_group.h"
#include "harness/stop_signal.h"

namespace carawayrelay::tools {

struct EntryPlan {
  std::string node;
  std::string zone;
  // Memory that the entry is told of; that of this machine without a value.
  std::optional<int> memory_megabytes = std::nullopt;
};

struct BackendPlan {
  std::string node;  // of the agent; the process of the stand-in is
                     // "<node>-backend"
  std::string zone;
  RouteKind kind = RouteKind::kModel;
  std::vector<std::string> routes;
  // Concurrency window of the agent: its largest size, and its size while the
  // backend server is assumed to be cold.
  int max_window = 32;
  int cold_window = 4;
  // A first token that takes longer resets the window to `cold_window`. Lies
  // between the time of the engine stand-in when it is cold, over 100 ms, and
  // when it is warm.
  std::chrono::milliseconds slow_first_token{80};
  std::vector<std::string> standin_flags;
};

struct FleetPlan {
  // Directory with the carawayrelay and carawayrelay-standins programs.
  std::string program_directory;
  std::vector<EntryPlan> entries;
  std::vector<BackendPlan> backends;
  std::vector<std::string> platform_flags;
};

// Ports on 127.0.0.1 on which an entry listens.
struct EntryPorts {
  std::uint16_t clients = 0;
  std::uint16_t admin = 0;
  std::uint16_t link = 0;
};

// Ports on 127.0.0.1 of an agent (`link`) and its backend server.
struct BackendPorts {
  std::uint16_t link = 0;
  std::uint16_t backend = 0;
};

// A small fleet of real processes on loopback, with stand-ins for the platform
// and the backend servers. A process that is restarted uses the same ports.
class Fleet {
 public:
  static constexpr std::chrono::milliseconds kStartTimeout{10000};

  // The references must outlive the fleet.
  static Result<std::unique_ptr<Fleet>> Make(FleetPlan plan,
                                             ProcessGroup& processes,
                                             CurlHttpClient& http,
                                             StopSignal& stop);

  // Starts the platform, the backend servers with their agents, and the
  // entries; then applies `config` and waits until all entries are ready.
  Result<void> Start(const ConfigDocument& config);
  // Stops entries, agents and stand-ins by SIGTERM, in this order. `limit`
  // applies to each process; one that exceeds it is killed. Fails when a
  // process was killed or exited with a status other than 0.
  Result<void> Stop(std::chrono::milliseconds limit);

  Result<void> StartPlatform();
  // These start one process and wait until it listens. `node` must be in the
  // plan.
  Result<void> StartBackend(const std::string& node);
  Result<void> StartAgent(const std::string& node);
  Result<void> StartEntry(const std::string& node);
  Result<void> WaitUntilReady(const std::string& entry);

  // Replaces the configuration through an entry. Returns the new version.
  Result<std::uint64_t> ApplyConfig(const std::string& entry,
                                    const ConfigDocument& config);
  // Sets the platform's list of VMs to all nodes except those in `removed`, and
  // marks those in `leaving` as about to stop.
  Result<void> PublishVms(const std::vector<std::string>& removed,
                          const std::vector<std::string>& leaving);
  // Posts `fields` to /control of a stand-in: "platform" or the node of a
  // backend server.
  Result<nlohmann::json> Control(const std::string& standin,
                                 const nlohmann::json& fields);
  Result<nlohmann::json> GetJson(const std::string& url);

  std::string PlatformUrl() const;
  std::string EntryUrl(const std::string& node) const;
  std::string AdminUrl(const std::string& node) const;
  std::string BackendUrl(const std::string& node) const;
  const EntryPorts& PortsOfEntry(const std::string& node) const;
  const BackendPorts& PortsOfBackend(const std::string& node) const;
  static std::string BackendProcess(const std::string& node) {
    return node + "-backend";
  }
  const FleetPlan& plan() const { return plan_; }

 private:
  Fleet(FleetPlan plan,
        ProcessGroup& processes,
        CurlHttpClient& http,
        StopSignal& stop);

  size_t EntryIndex(const std::string& node) const;
  size_t BackendIndex(const std::string& node) const;
  Result<void> StartAndWait(const std::string& name,
                            const std::vector<std::string>& arguments,
                            std::uint16_t port);
  Result<void> StartStandin(const std::string& subcommand,
                            const std::string& name,
                            std::uint16_t port,
                            const std::vector<std::string>& flags);
  Result<void> StartRelayProcess(const std::string& subcommand,
                                 const std::string& node,
                                 const nlohmann::json& settings,
                                 std::uint16_t port);
  Result<nlohmann::json> CallJson(const CallSpec& spec);
  Result<void> StopNamedProcess(const std::string& name,
                                std::chrono::milliseconds limit);

  FleetPlan plan_;
  ProcessGroup& processes_;
  CurlHttpClient& http_;
  StopSignal& stop_;
  std::uint16_t platform_port_ = 0;
  std::vector<EntryPorts> entry_ports_;
  std::vector<BackendPorts> backend_ports_;
};

}  // namespace carawayrelay::tools
