#include "harness/soak_plan.h"

#include <algorithm>
#include <random>
#include <utility>

#include "request/overloaded.h"

namespace carawayrelay::tools {
namespace {

using std::chrono::milliseconds;

constexpr int kZones = 2;
// Every seed that is a multiple of this has planned maintenance only.
constexpr std::uint64_t kMaintenanceSeedInterval = 4;

class FaultGenerator {
 public:
  FaultGenerator(const SoakPlan& plan, std::mt19937_64& random)
      : plan_(plan), random_(random) {}

  int DrawNumber(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  milliseconds DrawDuration(int from, int to) {
    return milliseconds(DrawNumber(from, to));
  }

  SoakFault MaintenanceFault() {
    switch (DrawNumber(0, 4)) {
      case 0:
        return StopProcess{WorkerName(DrawNumber(0, plan_.backends - 1))};
      case 1:
        return ReloadProcess{RelayProcessName()};
      case 2:
        return ChangeConfig{};
      default:
        return StopProcess{FrontendName(DrawNumber(0, plan_.frontends - 1))};
    }
  }

  SoakFault AnyFault() {
    switch (DrawNumber(0, 15)) {
      case 0:
        return KillProcess{FrontendName(DrawNumber(0, plan_.frontends - 1))};
      case 1:
        return KillProcess{WorkerName(DrawNumber(0, plan_.backends - 1))};
      case 2:
      case 3:
        return KillProcess{BackendName(DrawNumber(0, plan_.backends - 1))};
      case 4:
        return PauseProcess{RelayProcessName(), DrawDuration(300, 2500)};
      case 5:
        return PauseProcess{BackendName(DrawNumber(0, plan_.backends - 1)),
                            DrawDuration(300, 2500)};
      case 6:
        return KillAllFrontends{};
      case 7:
      case 8:
        return SetLinkFault{StoreLink(RelayProcessName()), FaultyLinkMode(),
                            DrawDuration(300, 3000)};
      case 9:
      case 10:
        return SetLinkFault{BackendLink(DrawNumber(0, plan_.backends - 1)),
                            FaultyLinkMode(), DrawDuration(300, 3000)};
      case 11:
      case 12:
        return StoreFault();
      case 13:
        return SetBackendFault{BackendName(DrawNumber(0, plan_.backends - 1)),
                               DrawNumber(0, 1) == 0 ? R"({"break_streams":4})"
                                                     : R"({"fail_runs":4})"};
      case 14:
        return EvacuateZone{ZoneName(DrawNumber(0, kZones - 1)),
                            DrawDuration(1000, 3000)};
      default:
        return MaintenanceFault();
    }
  }

 private:
  std::string RelayProcessName() {
    return DrawNumber(0, 1) == 0
               ? FrontendName(DrawNumber(0, plan_.frontends - 1))
               : WorkerName(DrawNumber(0, plan_.backends - 1));
  }
  LinkMode FaultyLinkMode() {
    switch (DrawNumber(0, 4)) {
      case 0:
        return DelayBytes{DrawDuration(50, 600)};
      case 1:
        return DropBytes{.to_target = true, .from_target = false};
      case 2:
        return DropBytes{.to_target = false, .from_target = true};
      case 3:
        return DropBytes{};
      default:
        return ResetConnections{};
    }
  }
  SoakFault StoreFault() {
    switch (DrawNumber(0, 4)) {
      case 0:
        return SetStoreFault{R"({"outage":true})", R"({"outage":false})",
                             DrawDuration(300, 2500)};
      case 1:
        return SetStoreFault{R"({"slow_ms":400})", R"({"slow_ms":0})",
                             DrawDuration(500, 3000)};
      case 2:
        return SetStoreFault{R"({"lose_ratio":0.4})", R"({"lose_ratio":0})",
                             DrawDuration(500, 3000)};
      case 3:
        return SetStoreFault{R"({"drop_ratio":0.4})", R"({"drop_ratio":0})",
                             DrawDuration(500, 3000)};
      default:
        return SetStoreFault{R"({"forget_history":true})", "{}",
                             DrawDuration(10, 20)};
    }
  }

  const SoakPlan& plan_;
  std::mt19937_64& random_;
};

std::string ToText(const LinkMode& mode) {
  return std::visit(
      Overloaded{
          [](const PassBytes&) { return std::string("passes bytes"); },
          [](const DelayBytes& m) {
            return "delays bytes by " + std::to_string(m.delay.count()) + " ms";
          },
          [](const DropBytes& m) {
            return std::string("drops bytes") +
                   (m.to_target ? " (to target)" : "") +
                   (m.from_target ? " (from target)" : "");
          },
          [](const ResetConnections&) {
            return std::string("resets connections");
          },
      },
      mode);
}

}  // namespace

std::string FrontendName(int index) {
  return "frontend-" + std::to_string(index);
}
std::string WorkerName(int index) {
  return "worker-" + std::to_string(index);
}
std::string BackendName(int index) {
  return "runner-" + std::to_string(index);
}
std::string StoreLink(const std::string& process) {
  return "store/" + process;
}
std::string BackendLink(int index) {
  return "link/" + BackendName(index);
}
std::string ZoneName(int index) {
  return "zone-" + std::to_string(index % kZones);
}

SoakPlan MakeSoakPlan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  SoakPlan plan{.seed = seed};
  FaultGenerator generator(plan, random);
  plan.frontends = generator.DrawNumber(2, 4);
  plan.backends = generator.DrawNumber(3, 5);
  plan.slots = generator.DrawNumber(4, 8);
  plan.is_maintenance_only = seed % kMaintenanceSeedInterval == 0;
  const int count = plan.is_maintenance_only ? generator.DrawNumber(2, 4)
                                             : generator.DrawNumber(3, 8);
  const int end = static_cast<int>(plan.load_duration.count()) - 2500;
  for (int i = 0; i < count; ++i) {
    plan.faults.push_back({.at = generator.DrawDuration(500, end),
                           .fault = plan.is_maintenance_only
                                        ? generator.MaintenanceFault()
                                        : generator.AnyFault()});
  }
  if (!plan.is_maintenance_only && generator.DrawNumber(0, 2) == 0) {
    // One frontend loses the store before the key is withdrawn, and for longer
    // than a withdrawn key may be accepted. It must reject the key although it
    // cannot read the change.
    plan.faults.push_back(
        {.at = milliseconds(200),
         .fault = SetLinkFault{StoreLink(FrontendName(generator.DrawNumber(
                                   0, plan.frontends - 1))),
                               DropBytes{}, plan.load_duration}});
  }
  // Early, so that the load continues beyond the revocation limit of the key.
  plan.faults.push_back(
      {.at = generator.DrawDuration(300, 1500), .fault = WithdrawKey{}});
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return plan;
}

std::string ToText(const TimedFault& fault) {
  const auto duration_text = [](milliseconds duration) {
    return " for " + std::to_string(duration.count()) + " ms";
  };
  const std::string what = std::visit(
      Overloaded{
          [](const KillProcess& f) { return "kill " + f.name; },
          [](const StopProcess& f) { return "stop " + f.name; },
          [&](const PauseProcess& f) {
            return "pause " + f.name + duration_text(f.duration);
          },
          [](const KillAllFrontends&) {
            return std::string("kill all frontends");
          },
          [](const ReloadProcess& f) { return "reload " + f.name; },
          [&](const SetLinkFault& f) {
            return f.name + " " + ToText(f.mode) + duration_text(f.duration);
          },
          [&](const SetStoreFault& f) {
            return "store " + f.fields + duration_text(f.duration);
          },
          [](const SetBackendFault& f) { return f.name + " " + f.fields; },
          [](const WithdrawKey&) {
            return std::string("withdraw the key of a workspace");
          },
          [](const ChangeConfig&) {
            return std::string("change the configuration");
          },
          [&](const EvacuateZone& f) {
            return "evacuate " + f.zone + duration_text(f.duration);
          },
      },
      fault.fault);
  return std::to_string(fault.at.count()) + " ms: " + what;
}

}  // namespace carawayrelay::tools
