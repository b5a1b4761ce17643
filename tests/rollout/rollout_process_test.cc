#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rollout/rollout_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct RolloutProcessFixture : RolloutFixture {
  // Sends requests from all running frontends, about 150 a second. Those to
  // the new version fail if `is_bad`.
  void SendAll(bool is_bad) {
    ++steps;
    for (Item& item : processes) {
      Process& process = *item.process;
      if (item.role != RolloutRole::kFrontend || process.is_frozen) {
        continue;
      }
      const auto version = process.Send();
      if (!version) {
        ++unserved;
        continue;
      }
      ++total;
      if (*version == "v2") {
        ++canary;
        last_canary = now;
      }
      const bool fails = is_bad && *version == "v2";
      if (fails && ++bad == 50) {
        bad_50_at = now;
      }
      process.EndLast(fails ? AttemptResult::kFailed : AttemptResult::kAnswered,
                      now);
    }
  }
  void RunLoad(milliseconds time, bool is_bad = false) {
    Run(time, [&] { SendAll(is_bad); });
  }
  void StartFrontends(int count = 4) {
    for (int i = 0; i < count; ++i) {
      Add();
    }
    Run(milliseconds(500));
  }
  // Whether the requests to the new version keep the limit.
  bool KeepsShare() const {
    return static_cast<double>(canary) <= 0.1 * static_cast<double>(total) + 50;
  }

  int steps = 0;
  int unserved = 0;
  int bad = 0;
  std::uint64_t total = 0;
  std::uint64_t canary = 0;
  TimePoint last_canary{};
  TimePoint bad_50_at{};
};

// Guards against a good version that is not taken into service in time, and
// against requests to the old version at the end.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, good version, is complete in time") {
  StartFrontends();
  PutNewServers();
  RunLoad(milliseconds(1000));
  CHECK(canary == 0);
  total = 0;
  PutSpec();
  RunLoad(milliseconds(1000));
  CHECK(State() == "serving");
  RunLoad(milliseconds(7000));
  REQUIRE(Row());
  CHECK(Row()->step == RolloutStep::kObserve);
  CHECK(canary >= 50);
  CHECK(static_cast<double>(canary) <= 0.09 * static_cast<double>(total));
  RunLoad(milliseconds(3400));
  CHECK(State() == "complete");
  const std::uint64_t before = canary;
  total = 0;
  RunLoad(milliseconds(1000));
  CHECK(canary - before == total);
  CHECK(unserved == 0);
}

// Guards against a bad version that keeps its requests.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, version fails, is rolled back in time") {
  StartFrontends();
  PutNewServers();
  PutSpec();
  RunLoad(milliseconds(12000), /*is_bad=*/true);
  CHECK(State() == "rolled_back");
  CHECK(canary < 50);
  const std::uint64_t before = canary;
  RunLoad(milliseconds(3000), /*is_bad=*/true);
  CHECK(canary == before);
  CHECK(unserved == 0);
}

// Guards against a version that turns bad only under all requests and is
// completed.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, version fails after the switch, is rolled back") {
  StartFrontends();
  PutNewServers();
  PutSpec();
  bool is_switched = false;
  Run(milliseconds(12000), [&] {
    const auto row = Row();
    is_switched |= row && row->step == RolloutStep::kSwitch;
    SendAll(is_switched);
  });
  CHECK(is_switched);
  CHECK(State() == "rolled_back");
  // Without a 50th bad response, the version must have stopped before one.
  const TimePoint counted_from = bad >= 50 ? bad_50_at : last_canary;
  CHECK(last_canary - counted_from < milliseconds(3000));
  const std::uint64_t before = canary;
  RunLoad(milliseconds(2000), /*is_bad=*/true);
  CHECK(canary == before);
}

// Guards against a restarted frontend that takes a version into use which was
// rolled back, or the old one after the rollout.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, frontend started afterwards, uses the current "
                  "version only") {
  StartFrontends();
  PutNewServers();
  PutSpec();
  RunLoad(milliseconds(12000), /*is_bad=*/true);
  REQUIRE(State() == "rolled_back");
  processes.clear();
  canary = 0;
  StartFrontends();
  RunLoad(milliseconds(1000));
  CHECK(canary == 0);
  CHECK(total > 0);
  PutSpec();
  RunLoad(milliseconds(12500));
  REQUIRE(State() == "complete");
  processes.clear();
  StartFrontends();
  total = 0;
  canary = 0;
  RunLoad(milliseconds(1000));
  CHECK(canary == total);
  CHECK(total > 0);
}

// Guards against requests to a version that no spec has named, by processes
// that start after its servers.
TEST_CASE_FIXTURE(
    RolloutProcessFixture,
    "Rollout, process starts with both versions, uses the older") {
  PutNewServers();
  StartFrontends();
  RunLoad(milliseconds(2000));
  CHECK(canary == 0);
  CHECK(total > 0);
}

// Guards against calls to the store by deployments without a rollout spec.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, no spec, reads the rows once") {
  StartFrontends(1);
  std::set<std::string> targets;
  Run(milliseconds(5000), [&] {
    for (const OutboundCall& call : processes[0].process->started) {
      targets.insert(call.target.substr(0, call.target.find('&')));
    }
  });
  for (const std::string& target : targets) {
    CHECK_MESSAGE(target.find("rollout") == std::string::npos, target);
  }
  CHECK(Status().empty());
  CHECK(rows.Keys("rollouts", "").empty());
}

// Guards against specs that cannot be carried out and never end.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, invalid spec, has a defined end") {
  StartFrontends();
  const auto state_of = [&](const std::string& spec, milliseconds time) {
    rows.Put("op", "", "rollout/s", spec);
    RunLoad(time);
    return State();
  };
  CHECK(state_of(R"({"service":"s","durationS":12})", milliseconds(3000)) ==
        "rolled_back");
  CHECK(state_of(R"({"service":"s","to":"v2","durationS":0})",
                 milliseconds(3000)) == "rolled_back");
  CHECK(state_of("no json", milliseconds(3000)) == "rolled_back");
  CHECK(state_of(R"({"service":"s","to":"v1","durationS":12})",
                 milliseconds(3000)) == "serving");
  // There are no servers of the version.
  CHECK(state_of(R"({"service":"s","to":"v9","durationS":12})",
                 milliseconds(12000)) == "rolled_back");
  rows.Put("op", "", "rollout/none",
           R"({"service":"none","to":"v2","durationS":12})");
  RunLoad(milliseconds(3000));
  CHECK(rows.Get("status", "", "rollout/none").find("rolled_back") !=
        std::string::npos);
  CHECK(unserved == 0);
  CHECK(canary == 0);
}

// Guards against a rollout that goes on without its spec.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, spec deleted, is rolled back") {
  StartFrontends();
  PutNewServers();
  PutSpec();
  RunLoad(milliseconds(4000));
  CHECK(canary > 0);
  rows.Remove("op", "", "rollout/s");
  RunLoad(milliseconds(200));
  const std::uint64_t before = canary;
  RunLoad(milliseconds(3000));
  CHECK(canary == before);
  CHECK(State() == "rolled_back");
}

// Guards against two rollouts of one service at once.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, newer spec, first rolls back the running one") {
  StartFrontends();
  PutNewServers();
  PutSpec();
  RunLoad(milliseconds(4000));
  rows.Put("op", "", "rollout/s",
           R"({"service":"s","to":"v3","durationS":12})");
  std::vector<std::string> seen;
  Run(milliseconds(4000), [&] {
    SendAll(false);
    if (seen.empty() || seen.back() != Status()) {
      seen.push_back(Status());
    }
  });
  REQUIRE(seen.size() == 3);
  CHECK(seen[1].find("rolled_back") != std::string::npos);
  CHECK(seen[1].find("v2") != std::string::npos);
  CHECK(seen[2].find("serving") != std::string::npos);
  CHECK(seen[2].find("v3") != std::string::npos);
}

// Guards against a rollout that stops or goes backwards when its coordinator is
// killed or frozen, whatever the step.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, coordinator frozen in each step, another goes on") {
  for (const int at : {100, 2000, 6000, 8400, 9500}) {
    CAPTURE(at);
    processes.clear();
    rows.Remove("op", "", "rollout/s");
    rows.Remove("rollouts", "", "s");
    rows.Remove("status", "", "rollout/s");
    StartFrontends(5);
    PutNewServers();
    PutSpec();
    RolloutStep last = RolloutStep::kObserve;
    bool went_back = false;
    const auto step = [&] {
      SendAll(false);
      if (const auto row = Row()) {
        went_back |= row->step < last;
        last = row->step;
      }
    };
    Run(milliseconds(at), step);
    Process* coordinator = Coordinator();
    REQUIRE(coordinator != nullptr);
    coordinator->is_frozen = true;
    Run(milliseconds(12000 - at), step);
    CHECK(State() == "complete");
    coordinator->is_frozen = false;
    Run(milliseconds(3000), step);
    CHECK(State() == "complete");
    CHECK_FALSE(went_back);
  }
}

// Guards against requests to a canary version by a process that cannot learn
// that it was rolled back.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, frontend cut off, sends nothing to the canary "
                  "version") {
  StartFrontends();
  PutNewServers();
  PutSpec();
  RunLoad(milliseconds(4000));
  Process& cut = *processes[0].process;
  cut.fault = StoreFault::kLoseCall;
  RunLoad(milliseconds(2100));
  const int before = cut.sent["v2"];
  RunLoad(milliseconds(1500));
  CHECK(cut.sent["v2"] == before);
  CHECK(before > 0);
}

// Guards against good versions that are rolled back because their servers are
// cold at first, or one of them fails all requests.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, cold servers and one that fails, is complete") {
  StartFrontends();
  PutNewServers(milliseconds(4000));
  PutSpec();
  std::string failing;
  Run(milliseconds(12000), [&] {
    for (Item& item : processes) {
      Process& process = *item.process;
      const auto version = process.Send();
      if (!version) {
        continue;
      }
      if (failing.empty() && *version == "v2") {
        failing = process.last_backend;
      }
      const bool fails = process.last_backend == failing;
      if (fails) {
        process.backends.NoteFailure(*process.backends.Find(failing), "test",
                                     now);
      }
      process.EndLast(fails ? AttemptResult::kFailed : AttemptResult::kAnswered,
                      now);
    }
  });
  CHECK_FALSE(failing.empty());
  CHECK(State() == "complete");
}

// Guards against items that run beside servers of a canary version, or beside
// old servers when these stop.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, worker, uses one version at a time") {
  StartFrontends();
  Process& worker = Add(RolloutRole::kWorker);
  PutNewServers();
  PutSpec();
  const auto uses = [&](const std::string& id) {
    const BackendDirectory::Backend* backend = worker.backends.Find(id);
    return backend != nullptr && worker.backends.IsUsable(*backend);
  };
  RunLoad(milliseconds(4000));
  CHECK(uses("old-1"));
  CHECK_FALSE(uses("new-1"));
  Run(milliseconds(8000), [&] {
    SendAll(false);
    CHECK_FALSE((uses("old-1") && uses("new-1")));
    if (State() == "complete") {
      CHECK_FALSE(uses("old-1"));
    }
  });
  CHECK(State() == "complete");
  CHECK(uses("new-1"));
}

// Guards against a version that fails only a part of its responses and is found
// too late with many frontends, each of which sends few requests.
TEST_CASE_FIXTURE(RolloutProcessFixture,
                  "Rollout, 28 frontends and 30% failures, is rolled back") {
  frontends = 28;
  StartFrontends(28);
  PutNewServers();
  RunLoad(milliseconds(500));
  total = canary = 0;
  PutSpec();
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::optional<TimePoint> ended_at;
  const TimePoint began = now;
  int bad_after_end = 0;
  Run(milliseconds(12000), [&] {
    for (Item& item : processes) {
      // 5.4 requests/s of each of 28 frontends.
      if (uniform(random) >= 0.108) {
        continue;
      }
      const auto version = item.process->Send();
      REQUIRE(version);
      const bool is_new = *version == "v2";
      ++total;
      canary += is_new ? 1 : 0;
      item.process->EndLast(is_new && uniform(random) < 0.3
                                ? AttemptResult::kFailed
                                : AttemptResult::kAnswered,
                            now);
      bad_after_end += ended_at && is_new ? 1 : 0;
    }
    if (!ended_at && State() == "rolled_back") {
      ended_at = now;
    }
  });
  REQUIRE(ended_at);
  CHECK(*ended_at - began < milliseconds(9000));
  CHECK(bad_after_end == 0);
  CHECK(KeepsShare());
  CHECK(canary > 10);
  MESSAGE("28 frontends: " << canary << " of " << total
                           << " requests to the bad version, rolled back after "
                           << (*ended_at - began) / milliseconds(1) << " ms");
}

}  // namespace
}  // namespace carawayrelay
