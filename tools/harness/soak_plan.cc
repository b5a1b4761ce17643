#include "harness/soak_plan.h"

#include <algorithm>
#include <random>
#include <utility>

#include "request/overloaded.h"

namespace carawayrelay::tools {
namespace {

using std::chrono::milliseconds;

constexpr int kZones = 2;
// Every so many-th seed has planned work only.
constexpr std::uint64_t kPlannedEvery = 4;

class FaultDraw {
 public:
  FaultDraw(const SoakPlan& plan, std::mt19937_64& random)
      : plan_(plan), random_(random) {}

  int Number(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  milliseconds Time(int from, int to) { return milliseconds(Number(from, to)); }

  SoakFault Planned() {
    switch (Number(0, 4)) {
      case 0:
        return StopProcess{WorkerName(Number(0, plan_.runners - 1))};
      case 1:
        return ReloadProcess{Relay()};
      case 2:
        return ChangeConfig{};
      default:
        return StopProcess{FrontendName(Number(0, plan_.frontends - 1))};
    }
  }

  SoakFault Any() {
    switch (Number(0, 15)) {
      case 0:
        return KillProcess{FrontendName(Number(0, plan_.frontends - 1))};
      case 1:
        return KillProcess{WorkerName(Number(0, plan_.runners - 1))};
      case 2:
      case 3:
        return KillProcess{RunnerName(Number(0, plan_.runners - 1))};
      case 4:
        return PauseProcess{Relay(), Time(300, 2500)};
      case 5:
        return PauseProcess{RunnerName(Number(0, plan_.runners - 1)),
                            Time(300, 2500)};
      case 6:
        return KillAllFrontends{};
      case 7:
      case 8:
        return DisturbLink{StoreLink(Relay()), Mode(), Time(300, 3000)};
      case 9:
      case 10:
        return DisturbLink{RunnerLink(Number(0, plan_.runners - 1)), Mode(),
                           Time(300, 3000)};
      case 11:
      case 12:
        return Store();
      case 13:
        return DisturbRunner{RunnerName(Number(0, plan_.runners - 1)),
                             Number(0, 1) == 0 ? R"({"break_streams":4})"
                                               : R"({"fail_runs":4})"};
      case 14:
        return EvacuateZone{ZoneName(Number(0, kZones - 1)), Time(1000, 3000)};
      default:
        return Planned();
    }
  }

 private:
  std::string Relay() {
    return Number(0, 1) == 0 ? FrontendName(Number(0, plan_.frontends - 1))
                             : WorkerName(Number(0, plan_.runners - 1));
  }
  LinkMode Mode() {
    switch (Number(0, 4)) {
      case 0:
        return DelayBytes{Time(50, 600)};
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
  SoakFault Store() {
    switch (Number(0, 4)) {
      case 0:
        return DisturbStore{R"({"outage":true})", R"({"outage":false})",
                            Time(300, 2500)};
      case 1:
        return DisturbStore{R"({"slow_ms":400})", R"({"slow_ms":0})",
                            Time(500, 3000)};
      case 2:
        return DisturbStore{R"({"lose_ratio":0.4})", R"({"lose_ratio":0})",
                            Time(500, 3000)};
      case 3:
        return DisturbStore{R"({"drop_ratio":0.4})", R"({"drop_ratio":0})",
                            Time(500, 3000)};
      default:
        return DisturbStore{R"({"forget_history":true})", "{}", Time(10, 20)};
    }
  }

  const SoakPlan& plan_;
  std::mt19937_64& random_;
};

std::string ToText(const LinkMode& mode) {
  return std::visit(
      Overloaded{
          [](const PassBytes&) { return std::string("passes"); },
          [](const DelayBytes& m) {
            return "delays by " + std::to_string(m.delay.count()) + " ms";
          },
          [](const DropBytes& m) {
            return std::string("drops bytes") + (m.to_target ? " there" : "") +
                   (m.from_target ? " back" : "");
          },
          [](const ResetConnections&) { return std::string("resets"); },
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
std::string RunnerName(int index) {
  return "runner-" + std::to_string(index);
}
std::string StoreLink(const std::string& process) {
  return "store/" + process;
}
std::string RunnerLink(int index) {
  return "link/" + RunnerName(index);
}
std::string ZoneName(int index) {
  return "zone-" + std::to_string(index % kZones);
}

SoakPlan MakeSoakPlan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  SoakPlan plan{.seed = seed};
  FaultDraw draw(plan, random);
  plan.frontends = draw.Number(2, 4);
  plan.runners = draw.Number(3, 5);
  plan.slots = draw.Number(4, 8);
  plan.is_planned_work = seed % kPlannedEvery == 0;
  const int count =
      plan.is_planned_work ? draw.Number(2, 4) : draw.Number(3, 8);
  const int end = static_cast<int>(plan.load_time.count()) - 2500;
  for (int i = 0; i < count; ++i) {
    plan.faults.push_back(
        {.at = draw.Time(500, end),
         .fault = plan.is_planned_work ? draw.Planned() : draw.Any()});
  }
  if (!plan.is_planned_work && draw.Number(0, 2) == 0) {
    // A frontend that loses the store before the key is withdrawn and for
    // longer than the key may be used.
    plan.faults.push_back(
        {.at = milliseconds(200),
         .fault = DisturbLink{
             StoreLink(FrontendName(draw.Number(0, plan.frontends - 1))),
             DropBytes{}, plan.load_time}});
  }
  // Early, so that the load goes on for long enough after it.
  plan.faults.push_back({.at = draw.Time(300, 1500), .fault = WithdrawKey{}});
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return plan;
}

std::string ToText(const TimedFault& fault) {
  const auto for_time = [](milliseconds time) {
    return " for " + std::to_string(time.count()) + " ms";
  };
  const std::string what = std::visit(
      Overloaded{
          [](const KillProcess& f) { return "kill " + f.name; },
          [](const StopProcess& f) { return "stop " + f.name; },
          [&](const PauseProcess& f) {
            return "pause " + f.name + for_time(f.time);
          },
          [](const KillAllFrontends&) { return std::string("kill frontends"); },
          [](const ReloadProcess& f) { return "reload " + f.name; },
          [&](const DisturbLink& f) {
            return f.name + " " + ToText(f.mode) + for_time(f.time);
          },
          [&](const DisturbStore& f) {
            return "store " + f.fields + for_time(f.time);
          },
          [](const DisturbRunner& f) { return f.name + " " + f.fields; },
          [](const WithdrawKey&) { return std::string("withdraw a key"); },
          [](const ChangeConfig&) {
            return std::string("change the configuration");
          },
          [&](const EvacuateZone& f) {
            return "evacuate " + f.zone + for_time(f.time);
          },
      },
      fault.fault);
  return std::to_string(fault.at.count()) + " ms: " + what;
}

}  // namespace carawayrelay::tools
