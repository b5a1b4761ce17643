#include "harness/soak_fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "harness/fleet_settings.h"
#include "harness/free_ports.h"
#include "platform/desired_state.h"
#include "request/overloaded.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{10000};
constexpr milliseconds kRestartDelay{300};
// Entries of backend servers that crashed stay so long.
constexpr milliseconds kEntryLapse{1500};
constexpr milliseconds kEntriesLag{20};
constexpr milliseconds kKeyRevocation{5000};
constexpr milliseconds kStopGrace{8000};
constexpr milliseconds kControlLimit{3000};

std::string RoleOf(const std::string& name) {
  return name.substr(0, name.find('-'));
}

int IndexOf(const std::string& name) {
  return std::stoi(name.substr(name.find('-') + 1));
}

json Route(const char* name, const char* kind, bool can_resume) {
  return {{"name", name},
          {"host", soak_names::kHost},
          {"prefix", std::string("/") + name + "/"},
          {"routeType", kind},
          {"canResume", can_resume},
          {"timeoutMs", 5000},
          {"latencyGoalMs", 500},
          {"maxAttempts", 3},
          {"service", "soak"},
          {"runAimMs", 15000},
          {"keepS", 120}};
}

json Workspace(const std::string& name,
               const std::vector<std::string>& keys,
               double rate,
               double burst) {
  return {
      {"name", name}, {"apiKeys", keys}, {"ratePerS", rate}, {"burst", burst}};
}

}  // namespace

SoakFleet::SoakFleet(std::string programs,
                     const SoakPlan& plan,
                     std::uint16_t first_port,
                     ProcessGroup& processes,
                     HttpRunner& http,
                     StopSignal& stop)
    : programs_(std::move(programs)),
      plan_(plan),
      processes_(processes),
      http_(http),
      stop_(stop),
      next_port_(first_port) {}

std::string SoakFleet::RunnerId(int index) const {
  return RunnerName(index) + "-start-" +
         std::to_string(runners_[static_cast<size_t>(index)].starts);
}

std::string SoakFleet::FrontendUrl(int index) const {
  return "http://" + LoopbackAddress(client_ports_[static_cast<size_t>(index)]);
}

Result<void> SoakFleet::StartProcess(
    const std::string& name,
    const std::vector<std::string>& arguments) {
  ending_.erase(name);
  return processes_.Start(name, arguments);
}

Result<void> SoakFleet::StartRelay(const std::string& name) {
  const std::string path = processes_.directory() + "/" + name + ".json";
  std::ofstream(path) << settings_.at(name).dump(2) << '\n';
  return StartProcess(
      name, {programs_ + "/carawayrelay", RoleOf(name), "--settings", path});
}

Result<void> SoakFleet::StartRunner(int index) {
  Runner& runner = runners_[static_cast<size_t>(index)];
  ++runner.starts;
  const std::string id = RunnerId(index);
  entries_[id] = {
      {"service", "soak"},       {"address", LoopbackAddress(runner.link_port)},
      {"zone", ZoneName(index)}, {"version", "v1"},
      {"capacity", plan_.slots}, {"state", "ready"},
      {"coldLeftMs", 0},         {"sequence", 1}};
  return StartProcess(
      RunnerName(index),
      {programs_ + "/carawayrelay-standins", "runner",
       "--listen=" + LoopbackAddress(runner.port), "--name=" + id,
       "--runner_id=" + id, "--slots=" + std::to_string(plan_.slots)});
}

Result<void> SoakFleet::Start() {
  store_port_ = next_port_++;
  BOOST_OUTCOME_TRY(StartProcess(
      "platform", {programs_ + "/carawayrelay-standins", "platform",
                   "--listen=" + LoopbackAddress(store_port_),
                   "--writes_per_second=5000", "--reads_per_second=20000",
                   "--entries_lag_ms=" + std::to_string(kEntriesLag.count())}));
  const auto link = [&](const std::string& name,
                        std::uint16_t target) -> Result<std::uint16_t> {
    const std::uint16_t port = next_port_++;
    BOOST_OUTCOME_TRY(proxy_.AddLink(name, port, target));
    return port;
  };
  for (int i = 0; i < plan_.runners; ++i) {
    Runner runner{.port = next_port_++};
    BOOST_OUTCOME_TRY(runner.link_port, link(RunnerLink(i), runner.port));
    runners_.push_back(runner);
    const std::string worker = WorkerName(i);
    BOOST_OUTCOME_TRY(const std::uint16_t store,
                      link(StoreLink(worker), store_port_));
    settings_[worker] = {{"node", worker},
                         {"zone", ZoneName(i)},
                         {"runner_address", LoopbackAddress(runner.link_port)},
                         {"store_address", LoopbackAddress(store)},
                         {"stop_grace_ms", kStopGrace.count()}};
  }
  for (int i = 0; i < plan_.frontends; ++i) {
    const std::string name = FrontendName(i);
    client_ports_.push_back(next_port_++);
    ready_ports_.push_back(next_port_++);
    BOOST_OUTCOME_TRY(const std::uint16_t store,
                      link(StoreLink(name), store_port_));
    settings_[name] = {
        {"node", name},
        {"zone", ZoneName(i)},
        {"listen_clients", LoopbackAddress(client_ports_.back())},
        {"listen_ready", LoopbackAddress(ready_ports_.back())},
        {"store_address", LoopbackAddress(store)},
        {"key_revocation_ms", kKeyRevocation.count()},
        {"stop_grace_ms", kStopGrace.count()}};
  }
  if (!stop_.PollUntil([&] { return IsListening(store_port_); }, kStartLimit)) {
    return Error{ErrorCode::kUnavailable, "the store does not start"};
  }
  for (int i = 0; i < plan_.runners; ++i) {
    BOOST_OUTCOME_TRY(StartRunner(i));
  }
  PublishOperators();
  PublishRunners();
  for (const auto& [name, settings] : settings_) {
    BOOST_OUTCOME_TRY(StartRelay(name));
  }
  if (!stop_.PollUntil([&] { return IsReady(); }, kStartLimit)) {
    return Error{ErrorCode::kUnavailable, "the frontends do not become ready"};
  }
  return Success();
}

void SoakFleet::Control(std::uint16_t port, const std::string& fields) {
  CallSpec spec{.method = "POST",
                .url = "http://" + LoopbackAddress(port) + "/control",
                .body = fields,
                .time_limit = kControlLimit};
  http_.Run(std::move(spec));
}

void SoakFleet::PublishRunners() {
  Control(store_port_,
          json{{"tables", {{platform::kBackendsTable, entries_}}}}.dump());
}

void SoakFleet::PublishOperators() {
  json workspaces = json::array();
  workspaces.push_back(Workspace("open", {soak_names::kOpenKey}, 0, 0));
  workspaces.push_back(
      Workspace(soak_names::kLimitedWorkspace, {soak_names::kLimitedKey},
                soak_names::kLimitedRate, soak_names::kLimitedBurst));
  workspaces.push_back(Workspace(
      soak_names::kGoneWorkspace,
      is_key_withdrawn_ ? std::vector<std::string>{}
                        : std::vector<std::string>{soak_names::kGoneKey},
      0, 0));
  const json config = {
      {"version", config_version_},
      {"routes", json::array({Route("stream", "streaming", true),
                              Route("order", "non_idempotent", false),
                              Route("lookup", "idempotent", false),
                              Route("bulk", "bulk", false)})},
      {"services", json::array({{{"name", "soak"}}})},
      {"tenants", workspaces}};
  json rows = {{platform::kConfigKey, config}};
  for (const std::string& zone : evacuated_) {
    rows[platform::kEvacuatePrefix + zone] = "{}";
  }
  Control(store_port_,
          json{{"tables", {{platform::kOperatorTable, rows}}}}.dump());
}

void SoakFleet::After(milliseconds time, std::function<void()> action) {
  due_.push_back({.at = BootClock::now() + time, .action = std::move(action)});
}

void SoakFleet::Tick(TimePoint now) {
  std::vector<Due> ready;
  for (auto it = due_.begin(); it != due_.end();) {
    if (it->at <= now) {
      ready.push_back(std::move(*it));
      it = due_.erase(it);
    } else {
      ++it;
    }
  }
  for (const Due& due : ready) {
    due.action();
  }
  // Processes that were asked to end start again.
  for (const std::string& name : std::set<std::string>(ending_)) {
    if (!processes_.IsRunning(name)) {
      ending_.erase(name);
      After(kRestartDelay, [this, name] { Restart(name); });
    }
  }
}

void SoakFleet::Restart(const std::string& name) {
  if (processes_.IsRunning(name)) {
    return;
  }
  if (RoleOf(name) != "runner") {
    (void)StartRelay(name);
    return;
  }
  const int index = IndexOf(name);
  const std::string before = RunnerId(index);
  (void)StartRunner(index);
  PublishRunners();
  After(kEntryLapse, [this, before] {
    entries_.erase(before);
    PublishRunners();
  });
}

void SoakFleet::Inject(const SoakFault& fault, TimePoint) {
  const auto end_by = [this](const std::string& name, int signal) {
    if (processes_.Signal(name, signal)) {
      ending_.insert(name);
    }
  };
  std::visit(Overloaded{
                 [&](const KillProcess& f) { end_by(f.name, SIGKILL); },
                 [&](const StopProcess& f) { end_by(f.name, SIGTERM); },
                 [&](const PauseProcess& f) {
                   if (processes_.Signal(f.name, SIGSTOP)) {
                     After(f.time, [this, name = f.name] {
                       (void)processes_.Signal(name, SIGCONT);
                     });
                   }
                 },
                 [&](const KillAllFrontends&) {
                   for (int i = 0; i < plan_.frontends; ++i) {
                     end_by(FrontendName(i), SIGKILL);
                   }
                 },
                 [&](const ReloadProcess& f) {
                   (void)processes_.Signal(f.name, SIGHUP);
                 },
                 [&](const DisturbLink& f) {
                   proxy_.SetMode(f.name, f.mode);
                   After(f.time, [this, name = f.name] {
                     proxy_.SetMode(name, PassBytes{});
                   });
                 },
                 [&](const DisturbStore& f) {
                   Control(store_port_, f.fields);
                   After(f.time, [this, reset = f.reset] {
                     Control(store_port_, reset);
                   });
                 },
                 [&](const DisturbRunner& f) {
                   Control(runners_[static_cast<size_t>(IndexOf(f.name))].port,
                           f.fields);
                 },
                 [&](const WithdrawKey&) {
                   is_key_withdrawn_ = true;
                   ++config_version_;
                   PublishOperators();
                   withdrawn_at_ = BootClock::now() + kEntriesLag;
                 },
                 [&](const ChangeConfig&) {
                   ++config_version_;
                   PublishOperators();
                 },
                 [&](const EvacuateZone& f) {
                   evacuated_.insert(f.zone);
                   PublishOperators();
                   After(f.time, [this, zone = f.zone] {
                     evacuated_.erase(zone);
                     PublishOperators();
                   });
                 },
             },
             fault);
}

void SoakFleet::Heal() {
  const bool healed = stop_.PollUntil(
      [&] {
        Tick(BootClock::now());
        return due_.empty() && ending_.empty();
      },
      kStopGrace + kStartLimit);
  (void)healed;  // what does not come back shows in IsReady()
}

bool SoakFleet::IsReady() {
  return std::all_of(
      ready_ports_.begin(), ready_ports_.end(), [&](std::uint16_t port) {
        CallSpec spec{.url = "http://" + LoopbackAddress(port) + "/readyz",
                      .time_limit = milliseconds(500)};
        return http_.Run(std::move(spec)).http_status == 200;
      });
}

std::vector<std::string> SoakFleet::Crashed() {
  std::vector<std::string> names;
  for (const auto& [name, settings] : settings_) {
    const bool is_restarting = ending_.contains(name) || !due_.empty();
    if (!processes_.IsRunning(name) && !is_restarting) {
      names.push_back(name);
    }
  }
  return names;
}

std::uint64_t SoakFleet::PeakBytes() {
  std::uint64_t peak = 0;
  for (const auto& [name, settings] : settings_) {
    peak = std::max(peak, processes_.PeakBytes(name));
  }
  return peak;
}

void SoakFleet::Stop(std::vector<std::string>& problems) {
  for (const auto& [name, settings] : settings_) {
    (void)processes_.Signal(name, SIGTERM);
  }
  for (const auto& [name, settings] : settings_) {
    const Result<int> status =
        processes_.WaitForExit(name, kStopGrace + milliseconds(1000));
    if (!status) {
      problems.push_back(name + " does not stop: " + status.error().message);
    } else if (status.value() != 0) {
      problems.push_back(name + " ended with status " +
                         std::to_string(status.value()));
    }
  }
}

}  // namespace carawayrelay::tools
