#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "harness/loopback_proxy.h"

namespace carawayrelay::tools {

// Faults of a soak. Each affects processes, a link or the store.

// Sends SIGKILL. The process is restarted after a short delay.
struct KillProcess {
  std::string name;
};
// Sends SIGTERM. The process is restarted a short delay after it has ended.
struct StopProcess {
  std::string name;
};
// Sends SIGSTOP, and SIGCONT after `duration`.
struct PauseProcess {
  std::string name;
  std::chrono::milliseconds duration{0};
};
struct KillAllFrontends {};
// Sends SIGHUP, a request to reload; the process must continue to serve.
struct ReloadProcess {
  std::string name;
};
// Sets the mode of a link for `duration`.
struct SetLinkFault {
  std::string name;
  LinkMode mode;
  std::chrono::milliseconds duration{0};
};
// Posts `fields` to /control of the store, and `reset` after `duration`.
struct SetStoreFault {
  std::string fields;
  std::string reset;
  std::chrono::milliseconds duration{0};
};
// Posts `fields` to /control of a backend server.
struct SetBackendFault {
  std::string name;
  std::string fields;
};
// Removes the API key of one workspace from the configuration.
struct WithdrawKey {};
// Publishes a new version of the configuration with the same content.
struct ChangeConfig {};
// Takes a zone out of service for `duration`.
struct EvacuateZone {
  std::string zone;
  std::chrono::milliseconds duration{0};
};

using SoakFault = std::variant<KillProcess,
                               StopProcess,
                               PauseProcess,
                               KillAllFrontends,
                               ReloadProcess,
                               SetLinkFault,
                               SetStoreFault,
                               SetBackendFault,
                               WithdrawKey,
                               ChangeConfig,
                               EvacuateZone>;

// Names of the processes and links of a soak.
std::string FrontendName(int index);
std::string WorkerName(int index);
std::string BackendName(int index);
std::string StoreLink(const std::string& process);
std::string BackendLink(int index);
std::string ZoneName(int index);

struct TimedFault {
  std::chrono::milliseconds at{0};  // from the start of the load
  SoakFault fault;
};

// Fleet and faults of one soak, which follow from the seed alone.
struct SoakPlan {
  std::uint64_t seed = 0;
  int frontends = 2;
  int backends = 3;
  int slots = 6;  // of each backend server
  std::chrono::milliseconds load_duration{9000};
  // Whether all faults are planned maintenance: stops by SIGTERM, reloads and
  // configuration changes. Then no request may fail.
  bool is_maintenance_only = false;
  std::vector<TimedFault> faults;
};

SoakPlan MakeSoakPlan(std::uint64_t seed);
// One line for the report.
std::string ToText(const TimedFault& fault);

}  // namespace carawayrelay::tools
