#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "harness/loopback_proxy.h"

namespace carawayrelay::tools {

// Faults of a soak, each of one process, link or of the store.
struct KillProcess {
  std::string name;  // restarted soon after
};
struct StopProcess {
  std::string name;  // SIGTERM; restarted once it has ended
};
struct PauseProcess {
  std::string name;
  std::chrono::milliseconds duration{0};
};
struct KillAllFrontends {};
// SIGHUP.
struct ReloadProcess {
  std::string name;
};
struct SetLinkFault {
  std::string name;
  LinkMode mode;
  std::chrono::milliseconds duration{0};
};
// Posts `fields` to the control of the store and `reset` after `time`.
struct SetStoreFault {
  std::string fields;
  std::string reset;
  std::chrono::milliseconds duration{0};
};
struct SetBackendFault {
  std::string name;
  std::string fields;
};
// Takes the key of one workspace away.
struct WithdrawKey {};
// A new version of the configuration without a change that clients see.
struct ChangeConfig {};
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

// What happens in one soak; it follows from the seed alone.
struct SoakPlan {
  std::uint64_t seed = 0;
  int frontends = 2;
  int backends = 3;
  int slots = 6;
  std::chrono::milliseconds load_duration{9000};
  // Only stops, reloads and changes of operators: no request may fail.
  bool is_maintenance_only = false;
  std::vector<TimedFault> faults;
};

SoakPlan MakeSoakPlan(std::uint64_t seed);
// One line for the report.
std::string ToText(const TimedFault& fault);

}  // namespace carawayrelay::tools
