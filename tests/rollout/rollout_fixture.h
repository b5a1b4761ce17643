#pragma once

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "process/rollout/rollout_coordinator.h"
#include "process/rollout/rollout_follower.h"
#include "process/rollout/rollout_reporter.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {

// Several processes of one service around the same store stand-in, each with a
// clock and a connection to the store of its own, so that they can be frozen,
// cut off and killed.
struct RolloutFixture {
  using StoreFault = ServingFixture::StoreFault;

  // The rollout modules of one process as the event loop thread has them.
  struct Process {
    Process(RolloutFixture& fixture,
            const std::string& name,
            RolloutRole role,
            std::uint64_t seed)
        : operators(store.sender(),
                    clock,
                    std::chrono::milliseconds(1000),
                    [](TimePoint) {}),
          backend_watch({.table = "servers"},
                        store.sender(),
                        clock,
                        [this](const std::vector<StoredRow>& rows,
                               bool is_full,
                               TimePoint at) {
                          backends.Apply(rows, is_full, std::nullopt, at);
                        }),
          backends(seed),
          follower(fixture.settings,
                   role,
                   seed,
                   operators,
                   backends,
                   store,
                   clock),
          reporter(name, follower, backends, store, clock),
          coordinator(name, seed, follower, operators, store, clock) {
      follower.SetFrontends(fixture.frontends);
      clock.Set(fixture.now);
    }

    EventLoopClock clock;
    std::deque<OutboundCall> started;
    OutboundCalls calls{[this](OutboundCall call) {
                          started.push_back(std::move(call));
                          return true;
                        },
                        [this](OutboundCallId id) {
                          std::erase_if(started, [id](const auto& call) {
                            return call.id == id;
                          });
                        }};
    StoreClient store{"10.0.0.1:1", calls, clock};
    OperatorWatch operators;
    TableWatch backend_watch;
    BackendDirectory backends;
    RolloutFollower follower;
    RolloutReporter reporter;
    RolloutCoordinator coordinator;
    bool is_frozen = false;
    // How the store treats the calls of this process.
    StoreFault fault = StoreFault::kNone;
    std::map<std::string, int> sent;  // by version

    // Sends one request. Returns the version that got it, or nothing.
    std::optional<std::string> Send() {
      BackendDirectory::Backend* backend =
          backends.Choose({.service = "s", .zone = "z"}, clock.now());
      if (backend == nullptr) {
        return std::nullopt;
      }
      backends.NoteSent(*backend, clock.now());
      last_backend = backend->registration.id;
      ++sent[backend->registration.software_version];
      return backend->registration.software_version;
    }
    // Ends the latest request.
    void EndLast(AttemptResult result, TimePoint at) {
      BackendDirectory::Backend* backend = backends.Find(last_backend);
      reporter.ObserveEnd({.backend_id = last_backend,
                           .service = "s",
                           .route = "r",
                           .result = result,
                           .total = std::chrono::milliseconds(100)},
                          at);
      if (backend != nullptr) {
        --backend->own_calls;
      }
    }
    void TickAll(TimePoint at, bool is_frontend) {
      operators.Tick(at);
      backend_watch.Tick(at);
      backends.Tick(at);
      follower.Tick(at);
      if (is_frontend) {
        reporter.Tick(at);
        coordinator.Tick(at);
      }
    }
    std::string last_backend;
  };

  RolloutFixture() {
    rows.Put("op", "", "config", R"({"version":1,"services":[{"name":"s"}]})");
    for (int i = 0; i < 40; ++i) {
      PutServer("old-" + std::to_string(i), "v1", 10 + i);
    }
  }

  void PutServer(
      const std::string& id,
      const std::string& version,
      int number,
      std::chrono::milliseconds cold = std::chrono::milliseconds(0)) {
    rows.Put("servers", "", id,
             nlohmann::json{{"service", "s"},
                            {"address", "10.1.0." + std::to_string(number) +
                                            (version == "v1" ? ":1" : ":2")},
                            {"zone", "z"},
                            {"version", version},
                            {"capacity", 8},
                            {"state", "ready"},
                            {"born", version == "v1" ? 1000 : 2000},
                            {"coldLeftMs", cold.count()}}
                 .dump());
  }
  void PutNewServers(
      std::chrono::milliseconds cold = std::chrono::milliseconds(0)) {
    for (int i = 0; i < 40; ++i) {
      PutServer("new-" + std::to_string(i), "v2", 10 + i, cold);
    }
  }
  void PutSpec(const std::string& to = "v2", int seconds = 12) {
    rows.Put(
        "op", "", "rollout/s",
        nlohmann::json{{"service", "s"}, {"to", to}, {"durationS", seconds}}
            .dump());
  }
  Process& Add(RolloutRole role = RolloutRole::kFrontend) {
    ++added;
    const std::string name = "node-" + std::to_string(added);
    processes.push_back(
        {role, std::make_unique<Process>(*this, name, role, added), name});
    return *processes.back().process;
  }

  // Lets `time` pass in steps of 20 ms. `on_step` is called in each.
  template <class OnStep>
  void Run(std::chrono::milliseconds time, OnStep on_step) {
    constexpr std::chrono::milliseconds kStep{20};
    for (auto left = time; left.count() > 0; left -= kStep) {
      now += kStep;
      for (auto& item : processes) {
        Process& process = *item.process;
        if (process.is_frozen) {
          continue;
        }
        process.clock.Set(now);
        RunStore(process);
        process.TickAll(now, item.role == RolloutRole::kFrontend);
        RunStore(process);
      }
      on_step();
    }
  }
  void Run(std::chrono::milliseconds time) {
    Run(time, [] {});
  }

  // Answers the calls of the process, and watches that have changes or waited
  // long enough.
  void RunStore(Process& process) {
    std::deque<OutboundCall> calls = std::exchange(process.started, {});
    for (OutboundCall& call : calls) {
      auto [it, is_new] = since.try_emplace({&process, call.id}, now);
      const bool waits = call.target.starts_with("/rows-feed") &&
                         !rows.HasChanges(call.target) &&
                         now - it->second < std::chrono::milliseconds(480);
      if (waits && process.fault == StoreFault::kNone) {
        process.started.push_back(std::move(call));
        continue;
      }
      since.erase(it);
      Answer(process, call);
    }
  }
  void Answer(Process& process, const OutboundCall& call) {
    if (process.fault == StoreFault::kRefuse) {
      Deliver(process, CallHead{.id = call.id, .status = 503});
      End(process, call.id);
      return;
    }
    RowStore::Response answer;
    if (process.fault != StoreFault::kLoseCall) {
      answer = rows.Handle(call.method, call.target, call.body);
      ++store_calls;
    }
    if (process.fault != StoreFault::kNone) {
      Deliver(process, CallEnd{.id = call.id,
                               .was_sent = true,
                               .reason = "Timeout was reached"});
      return;
    }
    Deliver(process, CallHead{.id = call.id, .status = answer.status});
    Deliver(process, CallData{.id = call.id, .bytes = answer.body});
    End(process, call.id);
  }
  static void Deliver(Process& process, CallEvent event) {
    process.calls.Deliver(event);
  }
  static void End(Process& process, OutboundCallId id) {
    Deliver(process, CallEnd{.id = id, .is_complete = true, .was_sent = true});
  }

  std::string Status() const { return rows.Get("status", "", "rollout/s"); }
  std::string State() const {
    const auto status = nlohmann::json::parse(Status(), nullptr, false);
    return status.is_object() ? status.value("state", "") : "";
  }
  std::optional<RolloutRow> Row() const {
    const auto row = DecodeRolloutRow(rows.Get("rollouts", "", "s"));
    return row ? std::optional(row.value()) : std::nullopt;
  }
  // The process that has the lease, or nullptr.
  Process* Coordinator() {
    const auto row = Row();
    for (size_t i = 0; row && i < processes.size(); ++i) {
      if (row->owner == processes[i].name) {
        return processes[i].process.get();
      }
    }
    return nullptr;
  }

  struct Item {
    RolloutRole role;
    std::unique_ptr<Process> process;
    std::string name;
  };

  RolloutSettings settings{.share = 0.1,
                           .slack = 50,
                           .deadline = std::chrono::milliseconds(5000)};
  TimePoint now = TimePoint(std::chrono::hours(1));
  size_t frontends = 4;
  std::uint64_t added = 0;
  int store_calls = 0;
  RowStore rows{[this] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
  }};
  std::map<std::pair<Process*, OutboundCallId>, TimePoint> since;
  std::vector<Item> processes;
};

}  // namespace carawayrelay
